"""Stand-in for the platform's key-value service, served over HTTP."""

import base64
import datetime as dt
import json
import random
import typing as t

from attrs import define, field, frozen
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.web.iweb import IRequest

from ..clock import Clock, sleep
from ..codec import from_json
from ..standins.connection import abort_connection
from ..standins.keyspace import Keyspace
from ..store import KeyValue, WatchEvent

#: Interval between checks for expired leases.
EXPIRY_INTERVAL_S = 0.05
#: Maximum number of items in a page.
MAX_PAGE_ITEMS = 500
#: Longest wait that a watch is granted.
MAX_WATCH_WAIT_MS = 30_000

Json = dict[str, t.Any]


@frozen
class KvFaults:
    """Faults that the stand-in injects.

    :param is_busy: Whether to refuse every call with status 503.
    :param is_silent: Whether to abort the connection of every call, without
        effect.
    :param lost_answers: Fraction of transactions, 0 to 1, that take effect but
        whose connection is aborted without a response.
    :param delay_s: Time for which every call waits before it is handled. A call whose
        client gives up earlier has no effect.
    :param forgets: Whether to discard the history of changes once, when the
        faults are set.
    """

    is_busy: bool = False
    is_silent: bool = False
    lost_answers: float = 0.0
    delay_s: float = 0.0
    forgets: bool = False


@define(eq=False)
class _PendingWatch:
    prefix: str
    after: int
    fut: Deferred[None] = field(factory=Deferred)


class KvStandIn:
    """In-memory key-value service with injectable faults.

    :param seed: Seed of the choice of lost responses.
    """

    app = Klein()

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._keys = Keyspace(self._publish)
        self._lease_by_key: dict[str, int] = {}
        self._pending_watches: list[_PendingWatch] = []
        self._oldest_revision = 0
        self.faults = KvFaults()
        self._expiry_loop = LoopingCall(lambda: self._keys.expire(self._clock.now()))

    def start(self) -> None:
        """Start the loop that expires leases."""
        self._expiry_loop.start(EXPIRY_INTERVAL_S)

    @app.route("/fighead/kv-key", methods=["GET"])
    async def serve_key(self, request: IRequest) -> t.Any:
        """Return one item; 404 if the key is absent."""
        if not await self._admit(request):
            return b""
        kv = self._keys.get(_query_argument(request, "Key"))
        if not kv.mod_revision:
            request.setResponseCode(404)
            return b"{}"
        return _encode_reply({**self._encode_item(kv), "AtRev": self._keys.revision})

    @app.route("/fighead/kv-range", methods=["GET"])
    async def serve_range(self, request: IRequest) -> t.Any:
        """Return a page of the items under ``Prefix``, after the key ``After``."""
        if not await self._admit(request):
            return b""
        prefix, after = (
            _query_argument(request, "Prefix"),
            _query_argument(request, "After"),
        )
        start = after + "\0" if after else prefix
        kvs, more = self._keys.scan(start, _prefix_end(prefix), MAX_PAGE_ITEMS)
        items = [self._encode_item(kv) for kv in kvs]
        return _encode_reply(
            {"items": items, "HasMore": more, "AtRev": self._keys.revision}
        )

    @app.route("/fighead/kv-watch", methods=["GET"])
    async def serve_watch(self, request: IRequest) -> bytes:
        """Return the changes after a revision, waiting up to ``WaitMs`` for one.

        Responds with 410 if the history no longer reaches back to the revision.
        """
        if not await self._admit(request):
            return b""
        prefix, after = (
            _query_argument(request, "Prefix"),
            int(_query_argument(request, "After")),
        )
        if after < self._oldest_revision:
            request.setResponseCode(410)
            return b"{}"
        wait_ms = min(int(_query_argument(request, "WaitMs") or 0), MAX_WATCH_WAIT_MS)
        if wait_ms and not self._events_after(prefix, after):
            await self._wait_for_change(prefix, after, wait_ms)
        events = [
            self._encode_event(event) for event in self._events_after(prefix, after)
        ]
        return _encode_reply({"events": events, "AtRev": self._keys.revision})

    @app.route("/fighead/kv-txn", methods=["POST"])
    async def serve_txn(self, request: IRequest) -> t.Any:
        """Apply puts and deletes if all expected revisions match.

        Responds with 412 and the current items if one differs, and with 404 if a
        put names an unknown lease.
        """
        if not await self._admit(request):
            return b""
        body = json.loads(request.content.read())
        expected = [
            (self._keys.get(row["Key"]), row["Revision"])
            for row in body.get("Expect", [])
        ]
        if any(kv.mod_revision != revision for kv, revision in expected):
            request.setResponseCode(412)
            items = [self._encode_item(kv) for kv, _ in expected if kv.mod_revision]
            return _encode_reply({"items": items})
        puts = [_decode_put(row) for row in body.get("Writes", [])]
        if any(lease and not self._keys.has_lease(lease) for _, _, lease in puts):
            request.setResponseCode(404)
            return b"{}"
        self._keys.apply(puts, body.get("Deletes", []))
        self._lease_by_key.update((key, lease) for key, _, lease in puts)
        if self._random.random() < self.faults.lost_answers:
            abort_connection(request)
            return b""
        return _encode_reply({"Revision": self._keys.revision})

    @app.route("/fighead/kv-lease", methods=["POST"])
    async def serve_lease(self, request: IRequest) -> bytes:
        """Grant a lease of ``TtlMs``."""
        if not await self._admit(request):
            return b""
        ttl_ms = json.loads(request.content.read())["TtlMs"]
        ttl = dt.timedelta(milliseconds=ttl_ms)
        lease = self._keys.grant(ttl, self._clock.now())
        return _encode_reply({"Lease": lease, "TtlMs": ttl_ms})

    @app.route("/fighead/kv-keep/<int:lease>", methods=["POST"])
    async def serve_keep_alive(self, request: IRequest, lease: int) -> bytes:
        """Renew a lease; 404 if it has ended."""
        if not await self._admit(request):
            return b""
        ttl = self._keys.keep_alive(lease, self._clock.now())
        if not ttl:
            request.setResponseCode(404)
        return _encode_reply({"TtlMs": int(ttl.total_seconds() * 1000)})

    @app.route("/fighead/kv-lease-end/<int:lease>", methods=["DELETE"])
    async def serve_lease_end(self, request: IRequest, lease: int) -> bytes:
        """Revoke a lease and delete its keys."""
        if not await self._admit(request):
            return b""
        self._keys.revoke(lease)
        return b"{}"

    @app.route("/faults", methods=["PUT"])
    def change_faults(self, request: IRequest) -> bytes:
        """Replace the injected faults."""
        self.faults = from_json(request.content.read(), KvFaults)
        if self.faults.forgets:
            self._oldest_revision = self._keys.revision + 1
            self._keys.history.clear()
        return b"{}"

    async def _admit(self, request: IRequest) -> bool:
        """Apply the injected faults; return whether to handle the request."""
        request.setHeader("Content-Type", "application/json")
        if self.faults.delay_s:
            await sleep(self._clock, dt.timedelta(seconds=self.faults.delay_s))
        if self.faults.is_silent:
            abort_connection(request)
            return False
        if self.faults.is_busy:
            request.setResponseCode(503)
            return False
        return True

    def _events_after(self, prefix: str, after: int) -> list[WatchEvent]:
        return [
            event
            for revision, event in self._keys.history
            if revision > after and event.kv.key.startswith(prefix)
        ]

    def _wait_for_change(self, prefix: str, after: int, wait_ms: int) -> Deferred[None]:
        watch = _PendingWatch(prefix, after)
        self._pending_watches.append(watch)
        delay = dt.timedelta(milliseconds=wait_ms)
        self._clock.call_later(delay, lambda: self._wake(watch))
        return watch.fut

    def _wake(self, watch: _PendingWatch) -> None:
        if watch in self._pending_watches:
            self._pending_watches.remove(watch)
            watch.fut.callback(None)

    def _publish(self, _revision: int, events: list[WatchEvent]) -> None:
        keys = [event.kv.key for event in events]
        for watch in list(self._pending_watches):
            if any(key.startswith(watch.prefix) for key in keys):
                # Wake it in the next reactor iteration: by then the change is in
                # the history.
                self._clock.call_later(dt.timedelta(), lambda w=watch: self._wake(w))

    def _encode_item(self, kv: KeyValue) -> Json:
        return {
            "Key": kv.key,
            "Value": base64.b64encode(kv.value.encode()).decode(),
            "Revision": kv.mod_revision,
            "Created": kv.create_revision,
            "Lease": self._lease_by_key.get(kv.key, 0),
        }

    def _encode_event(self, event: WatchEvent) -> Json:
        if event.deleted:
            revision = event.kv.mod_revision
            return {"Key": event.kv.key, "Revision": revision, "Deleted": True}
        return self._encode_item(event.kv)


def _decode_put(row: Json) -> tuple[str, str, int]:
    return row["Key"], base64.b64decode(row["Value"]).decode(), row.get("Lease", 0)


def _query_argument(request: IRequest, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def _prefix_end(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else chr(0x10FFFF)


def _encode_reply(body: Json) -> bytes:
    return json.dumps(body).encode()
