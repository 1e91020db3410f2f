"""Tests of admission limits at an entry."""
