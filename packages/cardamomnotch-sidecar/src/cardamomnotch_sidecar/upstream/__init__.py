"""Clients of the upstream."""
