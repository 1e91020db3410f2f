"""Tests of the relay over local sockets."""
