"""Outcomes that the journal has not committed yet."""
