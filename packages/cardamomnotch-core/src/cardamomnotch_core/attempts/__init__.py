"""State of requests at an entry and of attempts at a sidecar."""
