"""The server that callers use."""
