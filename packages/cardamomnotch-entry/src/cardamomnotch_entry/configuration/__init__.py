"""Writing changes of the lists to the store."""
