"""Choice of the model for a request."""
