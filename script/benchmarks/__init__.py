"""Benchmarks, one per module; each module defines ``run() -> Report``."""
