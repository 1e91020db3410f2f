"""Recorded traces and their generator."""
