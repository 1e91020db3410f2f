"""Requests at an entry, and attempts at a sidecar, as state tables."""
