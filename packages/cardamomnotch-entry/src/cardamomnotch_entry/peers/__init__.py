"""Exchanging revisions with other entries."""
