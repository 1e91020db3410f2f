"""Reverse proxy that forwards callers' requests to upstreams unchanged."""
