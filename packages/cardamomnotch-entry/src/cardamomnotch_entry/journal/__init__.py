"""The request journal at an entry: owning partitions, and bringing records."""
