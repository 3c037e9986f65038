"""Runs the command line with ``python -m fighead``."""

from .cli import main

main()
