"""Tests of the relay over sockets."""
