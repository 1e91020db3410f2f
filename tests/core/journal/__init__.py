"""Tests of the request journal."""
