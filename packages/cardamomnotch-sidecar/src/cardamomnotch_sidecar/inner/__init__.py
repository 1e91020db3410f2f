"""The server that entries call."""
