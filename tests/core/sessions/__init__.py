"""Tests of sessions."""
