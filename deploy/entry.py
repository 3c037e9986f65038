"""Starts an entry from the source tree of this repository."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from fighead.platform.daemon import serve  # noqa: E402

serve()
