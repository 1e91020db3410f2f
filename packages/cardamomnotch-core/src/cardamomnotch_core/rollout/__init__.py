"""Gradual rollout of new versions and withdrawal of bad ones."""
