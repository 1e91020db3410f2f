"""Runs the command line with ``python -m cardamomnotch_entry``."""

from .cli import main

main()
