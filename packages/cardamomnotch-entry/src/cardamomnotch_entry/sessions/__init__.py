"""Session tokens between callers and the entry."""
