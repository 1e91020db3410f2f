"""The server that entries call, and the calls back to them."""
