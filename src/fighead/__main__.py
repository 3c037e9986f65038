"""Entry point of ``python -m fighead``."""

from .cli import main

main()
