"""The entry, which routes requests to sidecars, and its command line."""
