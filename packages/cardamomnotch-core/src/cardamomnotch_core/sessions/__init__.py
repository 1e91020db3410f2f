"""Sessions, which keep their version."""
