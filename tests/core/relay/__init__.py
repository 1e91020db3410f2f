"""Tests of the relay's decisions."""
