"""The entry: between callers and the gates, and the command line."""
