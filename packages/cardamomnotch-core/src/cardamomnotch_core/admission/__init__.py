"""Admission control: which attempts a sidecar lets through to its upstream."""
