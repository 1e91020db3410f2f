"""Tests of the runtime shared by the processes."""
