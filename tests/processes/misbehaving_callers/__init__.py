"""Tests with callers that do not stay inside the limits, one at a time."""
