"""Replays of recorded traces against stated outcomes."""
