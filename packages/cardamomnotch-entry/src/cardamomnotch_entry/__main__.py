"""Lets the command line run as a module."""

from .cli import main

main()
