"""Pollers and watchers whose findings the whole entry shares."""
