"""The front for operators: commands and queries over HTTP, protected by a token."""

import functools
import hmac
import random
import typing as t

from attrs import frozen
from klein import Klein
from prometheus_client import generate_latest
from twisted.web.iweb import IRequest

from ..caller import suggest_names
from ..codec import from_json
from ..commands.apply import Change, apply_change, read_current
from ..decisions.intake import estimate_decoding
from ..exceptions import (
    AuthenticationError,
    FigheadError,
    NotRunError,
    StoreOutcomeUnknownError,
)
from ..front_context import FrontContext
from ..ledger import BurnLedger
from ..queries.burn import BurnReport, compute_burn, read_buckets
from ..queries.status import read_history, read_status
from .answer import OK, send_error, send_json
from .charge import charge_work
from .refusal import answer_or_refuse, release_frames

#: Maximum size of a request body: 2 MiB.
MAX_BODY_BYTES = 2 << 20


@frozen
class Done:
    """JSON body of the answer to a command that returns nothing else."""

    done: bool = True


def _authenticated(handler: t.Callable[..., t.Any]) -> t.Callable[..., t.Any]:
    """Wrap a handler: require the token, answer errors and refusals as JSON."""

    @functools.wraps(handler)
    async def handle(
        self: "OperatorFront", request: IRequest, **path_params: str
    ) -> bytes:
        try:
            self._check_token(request)
            return await answer_or_refuse(
                request,
                handler(self, request, **path_params),
                lambda: _refuse(request),
            )
        except FigheadError as exc:
            release_frames(exc)
            return send_error(request, exc)

    return handle


class OperatorFront:
    """Handles operators' HTTP requests by running commands and queries.

    :param token: Secret that each request must carry as a bearer token.
    :param owned_states: Returns the states of the instances and lines that this entry
        owns.
    :param drain: Starts a graceful shutdown of this entry without waiting for it.
    """

    app = Klein()

    def __init__(
        self,
        context: FrontContext,
        ledger: BurnLedger,
        token: str,
        rng: random.Random,
        owned_states: t.Callable[[], t.Iterable[t.Any]],
        drain: t.Callable[[], None],
    ) -> None:
        self.context = context
        self._ledger = ledger
        self._token = token
        self._random = rng
        self._owned_states = owned_states
        self._drain = drain

    @app.route("/v1/revision", methods=["PUT"])
    @_authenticated
    async def apply(self, request: IRequest) -> bytes:
        """Apply a :class:`.Change` and answer with the revision that it made."""
        content = request.content.read(MAX_BODY_BYTES)
        charge_work(request, estimate_decoding(len(content)))
        change = from_json(content, Change)
        revision = await apply_change(
            self.context.store, self.context.clock, self._random, change
        )
        return send_json(request, OK, revision)

    @app.route("/v1/drain", methods=["POST"])
    @_authenticated
    async def drain(self, request: IRequest) -> bytes:
        """Start a graceful shutdown of this entry and answer at once."""
        self._drain()
        return send_json(request, OK, Done())

    @app.route("/v1/revision", methods=["GET"])
    @_authenticated
    async def revision(self, request: IRequest) -> bytes:
        """Answer with the current revision, read from the store."""
        _, current = await read_current(self.context.store)
        return send_json(request, OK, current)

    @app.route("/v1/history", methods=["GET"])
    @_authenticated
    async def history(self, request: IRequest) -> bytes:
        """Answer with the accepted revisions that the history still has."""
        return send_json(request, OK, await read_history(self.context.store))

    @app.route("/v1/status", methods=["GET"])
    @_authenticated
    async def status(self, request: IRequest) -> bytes:
        """Answer with the :class:`.Status` of the system as this entry sees it."""
        return send_json(request, OK, read_status(self.context, self._owned_states()))

    @app.route("/v1/callers", methods=["GET"])
    @_authenticated
    async def callers(self, request: IRequest) -> bytes:
        """Answer with undeclared caller names and the most similar declared ones."""
        revision = self.context.view.revision
        declared = revision.inventory.callers.values() if revision else ()
        return send_json(
            request, OK, suggest_names(self.context.unknown_spellings, declared)
        )

    @app.route("/v1/burn", methods=["GET"])
    @_authenticated
    async def burn(self, request: IRequest) -> bytes:
        """Answer with the burn of each kind over each window.

        This entry's counts that are not stored yet are included.
        """
        revision = self.context.view.revision
        now = self.context.clock.now()
        if revision is None:
            return send_json(request, OK, BurnReport(now, ()))
        stored = await read_buckets(self.context.store)
        unsaved = (*self._ledger.closed, self._ledger.current_bucket())
        rows = compute_burn((*stored, *unsaved), revision.inventory, now)
        return send_json(request, OK, BurnReport(now, rows))

    @app.route("/metrics", methods=["GET"])
    @_authenticated
    async def metrics(self, request: IRequest) -> bytes:
        """Answer with the metrics in the Prometheus text format."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return generate_latest()

    def _check_token(self, request: IRequest) -> None:
        token = (request.getHeader("Authorization") or "").removeprefix("Bearer ")
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            raise AuthenticationError(
                "The request has no valid bearer token.",
                "Send 'Authorization: Bearer TOKEN' with the [operator_front] token.",
            )


def _refuse(request: IRequest) -> bytes:
    """Answer a request that is not finished when the entry has to end."""
    if request.method == b"GET":
        stopping = NotRunError(
            "The entry is stopping.", "Send the request to another entry."
        )
    else:
        stopping = StoreOutcomeUnknownError(
            "The entry is stopping and does not know the outcome.",
            "Read the state from another entry, or repeat the request there.",
        )
    return send_error(request, stopping)
