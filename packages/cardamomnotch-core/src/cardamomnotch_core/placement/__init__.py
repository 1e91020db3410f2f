"""Which engine loads which version."""
