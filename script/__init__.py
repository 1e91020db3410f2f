"""Benchmarks, demos and reference pages for developers."""
