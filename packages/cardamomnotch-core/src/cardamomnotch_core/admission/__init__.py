"""Admission control of attempts at a sidecar."""
