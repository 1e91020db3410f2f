"""Rating of answers, beside the callers' requests."""
