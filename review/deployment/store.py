"""Runs the project's stand-in for the platform's store; its argument is IP:port.

As the page on the store has it, a value has ``VALUE_BYTES`` at most. A write of a
larger one is refused, and changes nothing.
"""

import base64
import json
import pathlib
import sys
import typing as t

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "src"))

from fighead.platform import standin_daemon  # noqa: E402
from fighead.platform.standin_store import KvStandIn  # noqa: E402
from fighead.settings import read_address  # noqa: E402

#: ``ValueBytes`` of the settings.
VALUE_BYTES = 1048576


class LimitedStore(KvStandIn):
    """A store that refuses values that are too large."""

    async def _admit(self, request: t.Any) -> bool:
        if not await super()._admit(request):
            return False
        if request.path != b"/fighead/kv-txn":
            return True
        body = json.loads(request.content.read())
        request.content.seek(0)
        sizes = [len(base64.b64decode(row["Value"])) for row in body.get("Writes", [])]
        if max(sizes, default=0) <= VALUE_BYTES:
            return True
        keys = [row["Key"] for row in body["Writes"]]
        print(f"refused: {max(sizes)} bytes in a write of {keys}", flush=True)
        request.setResponseCode(400)
        return False


standin_daemon.KvStandIn = LimitedStore
standin_daemon.serve_store(read_address(sys.argv[1]), 0)
