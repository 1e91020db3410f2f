"""Tests of rollout."""
