"""Calls to the upstream behind the gate."""
