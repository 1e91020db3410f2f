"""Tests of the protocol between processes."""
