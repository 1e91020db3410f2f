"""Pollers and watchers that feed the entry's node."""
