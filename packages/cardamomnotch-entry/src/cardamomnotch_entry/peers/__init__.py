"""Exchange of configuration revisions between entries."""
