# ruff: noqa: ANN001, ANN003, ANN201, ANN204, D102, D103, SIM115
"""Runs the project's stand-in for the platform's store: ``store.py IP PORT``.

It refuses values of more than ``ValueBytes``, which PROTOCOL.md allows at most.
"""

import base64
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "src"))

from twisted.web.resource import Resource  # noqa: E402
from twisted.web.server import Site  # noqa: E402

from fighead.platform import standin_daemon  # noqa: E402
from fighead.settings import ListenAddress  # noqa: E402

VALUE_BYTES = 1_048_576


class LimitedStore(Resource):
    """The stand-in behind a check of the size of what is written."""

    isLeaf = True  # noqa: N815

    def __init__(self, inner):
        super().__init__()
        self._inner = inner

    def render(self, request):
        if request.path == b"/fighead/kv-txn":
            body = json.loads(request.content.read())
            request.content.seek(0)
            for row in body.get("Writes", ()):
                if len(base64.b64decode(row["Value"])) > VALUE_BYTES:
                    request.setResponseCode(400)
                    return b"{}"
        return self._inner.render(request)


if __name__ == "__main__":
    standin_daemon.Site = lambda inner: Site(LimitedStore(inner))
    standin_daemon.serve_store(ListenAddress(sys.argv[1], int(sys.argv[2])), 0)
