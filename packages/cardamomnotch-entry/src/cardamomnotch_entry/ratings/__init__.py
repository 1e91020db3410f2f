"""Rating of a sample of answers by the rating service."""
