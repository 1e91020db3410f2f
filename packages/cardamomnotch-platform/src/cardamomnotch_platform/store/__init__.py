"""The key-value store, by the JSON form of its published API."""
