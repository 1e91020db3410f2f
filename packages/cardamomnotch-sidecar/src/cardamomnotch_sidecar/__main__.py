"""Entry point of ``python -m cardamomnotch_sidecar``."""

from .cli import main

main()
