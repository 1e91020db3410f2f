"""Placement of model versions on engines."""
