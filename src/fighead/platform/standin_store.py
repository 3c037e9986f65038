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

from ..clock import Clock
from ..codec import from_json
from ..standins.connection import cut_off
from ..standins.keyspace import Keyspace
from ..store import KeyValue, WatchEvent

#: How often expired leases are looked for.
EXPIRY_INTERVAL_S = 0.05
#: Items of one page.
PAGE_ITEMS = 500
#: Longest wait of a watch.
MAX_WAIT_MS = 30_000

Json = dict[str, t.Any]


@frozen
class KvFaults:
    """Trouble that the stand-in makes.

    :param is_busy: Whether every call is refused with 503.
    :param is_silent: Whether every call is cut off without effect.
    :param lost_answers: Share of writes whose answer is lost after the write.
    :param forgets: Whether the history of changes is dropped now.
    """

    is_busy: bool = False
    is_silent: bool = False
    lost_answers: float = 0.0
    forgets: bool = False


@define(eq=False)
class _Waiting:
    prefix: str
    after: int
    fut: Deferred[None] = field(factory=Deferred)


class KvStandIn:
    """The service in one process.

    :param seed: Seed of the choice of answers that are lost.
    """

    app = Klein()

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._keys = Keyspace(self._publish)
        self._lease_of: dict[str, int] = {}
        self._waiting: list[_Waiting] = []
        self._oldest = 0
        self.faults = KvFaults()
        self._expiry = LoopingCall(lambda: self._keys.expire(self._clock.now()))

    def start(self) -> None:
        """Begin to expire leases."""
        self._expiry.start(EXPIRY_INTERVAL_S)

    @app.route("/fighead/kv-key", methods=["GET"])
    def serve_key(self, request: IRequest) -> t.Any:
        """Serve one item."""
        if not self._admit(request):
            return b""
        kv = self._keys.get(_query(request, "Key"))
        if not kv.mod_revision:
            request.setResponseCode(404)
            return b"{}"
        return _reply({**self._item(kv), "AtRev": self._keys.revision})

    @app.route("/fighead/kv-range", methods=["GET"])
    def serve_range(self, request: IRequest) -> t.Any:
        """Serve a page of items."""
        if not self._admit(request):
            return b""
        prefix, after = _query(request, "Prefix"), _query(request, "After")
        start = after + "\0" if after else prefix
        kvs, more = self._keys.scan(start, _end_of(prefix), PAGE_ITEMS)
        items = [self._item(kv) for kv in kvs]
        return _reply({"items": items, "HasMore": more, "AtRev": self._keys.revision})

    @app.route("/fighead/kv-watch", methods=["GET"])
    async def serve_watch(self, request: IRequest) -> bytes:
        """Serve the changes after a revision, once there are any."""
        if not self._admit(request):
            return b""
        prefix, after = _query(request, "Prefix"), int(_query(request, "After"))
        if after < self._oldest:
            request.setResponseCode(410)
            return b"{}"
        wait_ms = min(int(_query(request, "WaitMs") or 0), MAX_WAIT_MS)
        if wait_ms and not self._events(prefix, after):
            await self._wait(prefix, after, wait_ms)
        events = [self._event(event) for event in self._events(prefix, after)]
        return _reply({"events": events, "AtRev": self._keys.revision})

    @app.route("/fighead/kv-txn", methods=["POST"])
    def serve_txn(self, request: IRequest) -> t.Any:
        """Serve a change under a condition."""
        if not self._admit(request):
            return b""
        body = json.loads(request.content.read())
        expected = [
            (self._keys.get(row["Key"]), row["Revision"])
            for row in body.get("Expect", [])
        ]
        if any(kv.mod_revision != revision for kv, revision in expected):
            request.setResponseCode(412)
            items = [self._item(kv) for kv, _ in expected if kv.mod_revision]
            return _reply({"items": items})
        puts = [_read_put(row) for row in body.get("Writes", [])]
        if any(lease and not self._keys.has_lease(lease) for _, _, lease in puts):
            request.setResponseCode(404)
            return b"{}"
        self._keys.apply(puts, body.get("Deletes", []))
        self._lease_of.update((key, lease) for key, _, lease in puts)
        if self._random.random() < self.faults.lost_answers:
            cut_off(request)
            return Deferred()
        return _reply({"Revision": self._keys.revision})

    @app.route("/fighead/kv-lease", methods=["POST"])
    def serve_lease(self, request: IRequest) -> bytes:
        """Serve the grant of a lease."""
        if not self._admit(request):
            return b""
        ttl_ms = json.loads(request.content.read())["TtlMs"]
        ttl = dt.timedelta(milliseconds=ttl_ms)
        lease = self._keys.grant(ttl, self._clock.now())
        return _reply({"Lease": lease, "TtlMs": ttl_ms})

    @app.route("/fighead/kv-keep/<int:lease>", methods=["POST"])
    def serve_keep(self, request: IRequest, lease: int) -> bytes:
        """Serve the renewal of a lease."""
        if not self._admit(request):
            return b""
        ttl = self._keys.keep_alive(lease, self._clock.now())
        if not ttl:
            request.setResponseCode(404)
        return _reply({"TtlMs": int(ttl.total_seconds() * 1000)})

    @app.route("/fighead/kv-lease-end/<int:lease>", methods=["DELETE"])
    def serve_lease_end(self, request: IRequest, lease: int) -> bytes:
        """Serve the end of a lease."""
        if not self._admit(request):
            return b""
        self._keys.revoke(lease)
        return b"{}"

    @app.route("/faults", methods=["PUT"])
    def change_faults(self, request: IRequest) -> bytes:
        """Replace the trouble that the stand-in makes."""
        self.faults = from_json(request.content.read(), KvFaults)
        if self.faults.forgets:
            self._oldest = self._keys.revision + 1
            self._keys.history.clear()
        return b"{}"

    def _admit(self, request: IRequest) -> bool:
        request.setHeader("Content-Type", "application/json")
        if self.faults.is_silent:
            cut_off(request)
            return False
        if self.faults.is_busy:
            request.setResponseCode(503)
            return False
        return True

    def _events(self, prefix: str, after: int) -> list[WatchEvent]:
        return [
            event
            for revision, event in self._keys.history
            if revision > after and event.kv.key.startswith(prefix)
        ]

    def _wait(self, prefix: str, after: int, wait_ms: int) -> Deferred[None]:
        waiting = _Waiting(prefix, after)
        self._waiting.append(waiting)
        delay = dt.timedelta(milliseconds=wait_ms)
        self._clock.call_later(delay, lambda: self._release(waiting))
        return waiting.fut

    def _release(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            waiting.fut.callback(None)

    def _publish(self, _revision: int, events: list[WatchEvent]) -> None:
        keys = [event.kv.key for event in events]
        for waiting in list(self._waiting):
            if any(key.startswith(waiting.prefix) for key in keys):
                # The history is extended before the next turn of the reactor.
                self._clock.call_later(
                    dt.timedelta(), lambda w=waiting: self._release(w)
                )

    def _item(self, kv: KeyValue) -> Json:
        return {
            "Key": kv.key,
            "Value": base64.b64encode(kv.value.encode()).decode(),
            "Revision": kv.mod_revision,
            "Created": kv.create_revision,
            "Lease": self._lease_of.get(kv.key, 0),
        }

    def _event(self, event: WatchEvent) -> Json:
        if event.deleted:
            revision = event.kv.mod_revision
            return {"Key": event.kv.key, "Revision": revision, "Deleted": True}
        return self._item(event.kv)


def _read_put(row: Json) -> tuple[str, str, int]:
    return row["Key"], base64.b64decode(row["Value"]).decode(), row.get("Lease", 0)


def _query(request: IRequest, name: str) -> str:
    return request.args.get(name.encode(), [b""])[0].decode()


def _end_of(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else chr(0x10FFFF)


def _reply(body: Json) -> bytes:
    return json.dumps(body).encode()
