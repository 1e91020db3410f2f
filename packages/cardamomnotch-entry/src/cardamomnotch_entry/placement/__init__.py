"""Placement of versions on engines, planned by one entry at a time."""
