"""Store changes and their confirmed age, passed on between entries."""
