"""Tests of the entry's command line."""
