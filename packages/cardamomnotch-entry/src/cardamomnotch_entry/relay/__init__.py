"""Relaying of callers' requests to upstreams, byte for byte."""
