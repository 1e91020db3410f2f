"""Tests of docs."""
