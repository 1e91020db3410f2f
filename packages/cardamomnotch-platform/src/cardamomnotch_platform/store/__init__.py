"""Clients of the key-value store, and the data kept in it."""
