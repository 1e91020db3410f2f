"""Tests of the quality package."""
