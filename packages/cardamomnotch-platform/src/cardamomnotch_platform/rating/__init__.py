"""The service that rates answers."""
