"""Stand-ins of the review's cases, and what starts the entries."""
