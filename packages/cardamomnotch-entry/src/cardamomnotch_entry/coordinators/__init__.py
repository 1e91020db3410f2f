"""Pollers and watchers whose results become events of the entry's node."""
