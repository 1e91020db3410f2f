"""Lets the sidecar run as a module."""

from .cli import main

main()
