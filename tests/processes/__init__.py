"""Tests of processes."""
