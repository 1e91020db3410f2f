"""Load notices between entries, and the paths that they take."""
