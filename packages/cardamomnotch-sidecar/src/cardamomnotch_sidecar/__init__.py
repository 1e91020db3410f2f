"""The sidecar: the single gate before one upstream."""
