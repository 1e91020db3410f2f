"""Limits on what a process holds for callers that it does not control."""
