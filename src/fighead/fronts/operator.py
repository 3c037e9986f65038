"""The front for operators: commands and queries behind a token."""

import functools
import hmac
import random
import typing as t

from attrs import frozen
from klein import Klein
from prometheus_client import generate_latest
from twisted.web.iweb import IRequest

from ..caller import suggest
from ..codec import from_json
from ..commands.apply import Change, apply_change, read_current
from ..desk import Desk
from ..exceptions import AuthenticationError, FigheadError
from ..ledger import BurnLedger
from ..queries.burn import BurnReport, compute_burn, read_buckets
from ..queries.status import read_history, read_status
from .answer import OK, send, send_error

#: Largest body of an operator's call.
MAX_BODY_BYTES = 2 << 20


@frozen
class Done:
    """A command was carried out."""

    done: bool = True


def _authenticated(handler: t.Callable[..., t.Any]) -> t.Callable[..., t.Any]:
    """Refuse calls without the token, and turn errors into typed answers."""

    @functools.wraps(handler)
    async def handle(self: "OperatorFront", request: IRequest, **names: str) -> bytes:
        try:
            self._check_token(request)
            return await handler(self, request, **names)
        except FigheadError as exc:
            return send_error(request, exc)

    return handle


class OperatorFront:
    """Turns HTTP requests of operators into commands and queries.

    :param own_states: Returns the states of the resources this entry owns.
    :param drain: Begins the planned stop of this entry.
    """

    app = Klein()

    def __init__(
        self,
        desk: Desk,
        ledger: BurnLedger,
        token: str,
        rng: random.Random,
        own_states: t.Callable[[], t.Iterable[t.Any]],
        drain: t.Callable[[], None],
    ) -> None:
        self.desk = desk
        self._ledger = ledger
        self._token = token
        self._random = rng
        self._own_states = own_states
        self._drain = drain

    @app.route("/v1/revision", methods=["PUT"])
    @_authenticated
    async def apply(self, request: IRequest) -> bytes:
        """Change the inventory and rules."""
        change = from_json(request.content.read(MAX_BODY_BYTES), Change)
        revision = await apply_change(
            self.desk.store, self.desk.clock, self._random, change
        )
        return send(request, OK, revision)

    @app.route("/v1/drain", methods=["POST"])
    @_authenticated
    async def drain(self, request: IRequest) -> bytes:
        """Begin the planned stop of this entry."""
        self._drain()
        return send(request, OK, Done())

    @app.route("/v1/revision", methods=["GET"])
    @_authenticated
    async def revision(self, request: IRequest) -> bytes:
        """Return the current revision as the store holds it."""
        _, current = await read_current(self.desk.store)
        return send(request, OK, current)

    @app.route("/v1/history", methods=["GET"])
    @_authenticated
    async def history(self, request: IRequest) -> bytes:
        """Return all accepted revisions."""
        return send(request, OK, await read_history(self.desk.store))

    @app.route("/v1/status", methods=["GET"])
    @_authenticated
    async def status(self, request: IRequest) -> bytes:
        """Return what this entry knows."""
        return send(request, OK, read_status(self.desk, self._own_states()))

    @app.route("/v1/callers", methods=["GET"])
    @_authenticated
    async def callers(self, request: IRequest) -> bytes:
        """Return unknown spellings with the nearest declared names."""
        revision = self.desk.view.revision
        declared = revision.inventory.callers.values() if revision else ()
        return send(request, OK, suggest(self.desk.sightings, declared))

    @app.route("/v1/burn", methods=["GET"])
    @_authenticated
    async def burn(self, request: IRequest) -> bytes:
        """Return the burn of every kind over all windows."""
        revision = self.desk.view.revision
        now = self.desk.clock.now()
        if revision is None:
            return send(request, OK, BurnReport(now, ()))
        buckets = await read_buckets(self.desk.store)
        own = (*self._ledger.closed, self._ledger.current())
        rows = compute_burn((*buckets, *own), revision.inventory, now)
        return send(request, OK, BurnReport(now, rows))

    @app.route("/metrics", methods=["GET"])
    @_authenticated
    async def metrics(self, request: IRequest) -> bytes:
        """Return the metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return generate_latest()

    def _check_token(self, request: IRequest) -> None:
        given = (request.getHeader("Authorization") or "").removeprefix("Bearer ")
        if not hmac.compare_digest(given.encode(), self._token.encode()):
            raise AuthenticationError(
                "The call carries no valid token.",
                "Send 'Authorization: Bearer TOKEN' with [operator_front] token.",
            )
