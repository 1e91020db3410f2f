"""Tests of session tokens."""
