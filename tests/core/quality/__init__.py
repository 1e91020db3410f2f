"""Tests of quality."""
