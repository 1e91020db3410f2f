"""Session tokens of callers."""
