"""Rollouts of new versions: shares, statistics, sessions and states."""
