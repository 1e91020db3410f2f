"""Placement orders to the engine, sent only by its own sidecar."""
