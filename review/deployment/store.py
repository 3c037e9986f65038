"""Runs the project's stand-in for the platform's store; its argument is IP:port."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "src"))

from fighead.platform.standin_daemon import serve_store  # noqa: E402
from fighead.settings import read_address  # noqa: E402

serve_store(read_address(sys.argv[1]), 0)
