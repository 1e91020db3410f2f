"""Writing configuration changes to the store."""
