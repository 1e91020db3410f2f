"""Outcomes that the journal does not have yet."""
