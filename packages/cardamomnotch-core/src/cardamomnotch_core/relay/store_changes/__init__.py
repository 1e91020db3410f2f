"""Changes read from the store, and the routes that they set up."""
