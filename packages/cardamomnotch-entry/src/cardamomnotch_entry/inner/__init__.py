"""Calls between this entry and the sidecars."""
