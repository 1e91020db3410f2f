"""Capacity of workspaces, shared fairly when it is short."""
