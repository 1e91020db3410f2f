"""Measurements, one module each; every module has ``run() -> Report``."""
