"""Bringing new versions in, and bad ones out."""
