"""Relaying of requests to upstreams by route, without I/O."""
