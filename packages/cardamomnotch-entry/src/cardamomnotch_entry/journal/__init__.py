"""The entry's side of the request journal: partitions and proposals."""
