"""Tests of the shared parts."""
