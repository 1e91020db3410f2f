"""Tests that replay recorded traces and check the results."""
