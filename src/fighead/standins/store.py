"""Stand-in for the platform's key-value service, served over HTTP.

It speaks the subset of the etcd v3 JSON gateway that fighead uses and can be
told to be down, to be slow and to lose answers after a write took effect. It
also serves the platform's lagging list of instances.
"""

import collections
import datetime as dt
import json
import random
import typing as t

from attrs import define, evolve, frozen
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.web.iweb import IRequest

from .. import gateway
from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..instance_list import PlatformList
from ..store import KeyValue, WatchEvent
from .connection import cut_off
from .keyspace import Keyspace

#: Writes a second that the service takes before it makes callers wait.
WRITE_RATE_PER_S = 400
#: Reads a second that the service takes before it makes callers wait.
READ_RATE_PER_S = 2000
#: How often expired leases are looked for.
EXPIRY_INTERVAL_S = 0.1


@frozen
class StoreFaults:
    """Trouble that the stand-in makes.

    :param down: Whether every call is cut off without effect.
    :param slow_s: Pause before each answer.
    :param lose_answers: Share of writes whose answer is lost after the write.
    :param stale_reads: Whether reads of the current revision answer from the
        past.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    stale_reads: bool = False


@define
class _Bucket:
    rate: float
    free_at: dt.datetime | None = None

    def delay(self, now: dt.datetime) -> dt.timedelta:
        start = max(now, self.free_at or now)
        self.free_at = start + dt.timedelta(seconds=1 / self.rate)
        # A burst of a tenth of a second passes without a pause.
        return max(dt.timedelta(), start - now - dt.timedelta(seconds=0.1))


@define
class _Watch:
    start: str
    end: str
    request: IRequest


class StoreStandIn:
    """The key-value service in one process.

    :param seed: Seed of the choice of answers that are lost.
    """

    app = Klein()

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._keys = Keyspace(self._publish)
        self._first_values: dict[str, KeyValue] = {}
        self._watches: list[_Watch] = []
        self._writes = _Bucket(WRITE_RATE_PER_S)
        self._reads = _Bucket(READ_RATE_PER_S)
        self.faults = StoreFaults()
        self.platform = PlatformList()
        self.calls: collections.Counter[str] = collections.Counter()
        self._expiry = LoopingCall(lambda: self._keys.expire(self._clock.now()))

    def start(self) -> None:
        """Begin to expire leases."""
        self._expiry.start(EXPIRY_INTERVAL_S)

    @app.route("/v3/kv/range", methods=["POST"])
    async def serve_range(self, request: IRequest) -> bytes:
        """Serve a read."""
        body = await self._enter(request, "range", self._reads)
        return self._reply({"header": self._header(), **self._range(body)})

    @app.route("/v3/kv/txn", methods=["POST"])
    async def serve_txn(self, request: IRequest) -> bytes:
        """Serve a transaction."""
        body = await self._enter(request, "txn", self._writes)
        try:
            result = self._txn(body)
        except KeyError:
            request.setResponseCode(404)
            return self._reply({"error": "requested lease not found", "code": 5})
        self._maybe_lose(request)
        return self._reply({"header": self._header(), **result})

    @app.route("/v3/lease/grant", methods=["POST"])
    async def serve_grant(self, request: IRequest) -> bytes:
        """Serve the grant of a lease."""
        body = await self._enter(request, "lease_grant", self._writes)
        ttl = dt.timedelta(seconds=int(body["TTL"]))
        lease = self._keys.grant(ttl, self._clock.now())
        return self._reply({"ID": str(lease), "TTL": body["TTL"]})

    @app.route("/v3/lease/keepalive", methods=["POST"])
    async def serve_keepalive(self, request: IRequest) -> bytes:
        """Serve the renewal of a lease."""
        body = await self._enter(request, "lease_keepalive", self._writes)
        ttl = self._keys.keep_alive(int(body["ID"]), self._clock.now())
        seconds = str(int(ttl.total_seconds()))
        return self._reply({"result": {"ID": body["ID"], "TTL": seconds}})

    @app.route("/v3/lease/revoke", methods=["POST"])
    async def serve_revoke(self, request: IRequest) -> bytes:
        """Serve the end of a lease."""
        body = await self._enter(request, "lease_revoke", self._writes)
        self._keys.revoke(int(body["ID"]))
        return self._reply({"header": self._header()})

    @app.route("/v3/watch", methods=["POST"])
    async def serve_watch(self, request: IRequest) -> Deferred[None]:
        """Serve a watch as a stream of lines."""
        body = await self._enter(request, "watch", self._reads)
        create = body["create_request"]
        watch = _Watch(
            gateway.decode_text(create["key"]),
            gateway.decode_text(create["range_end"]),
            request,
        )
        self._watches.append(watch)
        request.notifyFinish().addBoth(lambda _: self._forget(watch))
        self._replay(watch, int(create.get("start_revision", "0")))
        return Deferred()

    @app.route("/platform/instances", methods=["GET"])
    def serve_instances(self, request: IRequest) -> str:
        """Serve the platform's list of instances."""
        if self.faults.down:
            cut_off(request)
        return to_json(self.platform)

    @app.route("/platform/instances", methods=["PUT"])
    def change_instances(self, request: IRequest) -> str:
        """Replace the platform's list of instances."""
        self.platform = from_json(request.content.read(), PlatformList)
        return "{}"

    @app.route("/faults", methods=["PUT"])
    def change_faults(self, request: IRequest) -> str:
        """Replace the trouble that the stand-in makes."""
        self.faults = from_json(request.content.read(), StoreFaults)
        if self.faults.down:
            for watch in list(self._watches):
                cut_off(watch.request)
        return "{}"

    @app.route("/calls", methods=["GET"])
    def serve_calls(self, request: IRequest) -> str:
        """Serve the number of calls by kind since the start."""
        return json.dumps(self.calls)

    async def _enter(self, request: IRequest, name: str, bucket: _Bucket) -> t.Any:
        body = json.loads(request.content.read() or b"{}")
        if self.faults.down:
            cut_off(request)
            await Deferred()
        self.calls[name] += 1
        delay = bucket.delay(self._clock.now())
        delay += dt.timedelta(seconds=self.faults.slow_s)
        if delay:
            await sleep(self._clock, delay)
        return body

    def _maybe_lose(self, request: IRequest) -> None:
        if self._random.random() < self.faults.lose_answers:
            cut_off(request)

    def _reply(self, body: t.Any) -> bytes:
        return json.dumps(body).encode()

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._keys.revision)}

    def _range(self, body: t.Any) -> dict[str, t.Any]:
        key = gateway.decode_text(body["key"])
        end = gateway.decode_text(body.get("range_end"))
        if end:
            kvs, more = self._keys.scan(key, end, int(body.get("limit", "0")))
        else:
            kv = self._keys.get(key)
            kvs, more = [kv] if kv.mod_revision else [], False
        if self.faults.stale_reads:
            kvs = [self._first_values.get(kv.key, kv) for kv in kvs]
        return {"kvs": [gateway.encode_kv(kv) for kv in kvs], "more": more}

    def _txn(self, body: t.Any) -> dict[str, t.Any]:
        succeeded = all(self._holds(compare) for compare in body.get("compare", []))
        branch = body.get("success" if succeeded else "failure", [])
        puts, deletes, responses = [], [], []
        for operation in branch:
            if "request_put" in operation:
                puts.append(self._read_put(operation["request_put"]))
                responses.append({"response_put": {}})
            elif "request_delete_range" in operation:
                key = operation["request_delete_range"]["key"]
                deletes.append(gateway.decode_text(key))
                responses.append({"response_delete_range": {}})
            elif "request_range" in operation:
                found = self._range(operation["request_range"])
                responses.append({"response_range": found})
            else:
                nested = self._txn(operation["request_txn"])
                responses.append({"response_txn": nested})
        self._keys.apply(puts, deletes)
        return {"succeeded": succeeded, "responses": responses}

    def _read_put(self, put: t.Any) -> tuple[str, str, int]:
        lease = int(put.get("lease", "0"))
        if lease and not self._keys.has_lease(lease):
            raise KeyError(lease)
        return gateway.decode_text(put["key"]), gateway.decode_text(put["value"]), lease

    def _holds(self, compare: t.Any) -> bool:
        kv = self._keys.get(gateway.decode_text(compare["key"]))
        return kv.mod_revision == int(compare["mod_revision"])

    def _publish(self, revision: int, events: list[WatchEvent]) -> None:
        for event in events:
            self._first_values.setdefault(event.kv.key, evolve(event.kv))
        for watch in list(self._watches):
            self._send(watch, revision, events)

    def _replay(self, watch: _Watch, start_revision: int) -> None:
        past: dict[int, list[WatchEvent]] = {}
        for revision, event in self._keys.history:
            if start_revision and revision >= start_revision:
                past.setdefault(revision, []).append(event)
        self._write(watch, self._keys.revision, [])
        for revision, events in past.items():
            self._send(watch, revision, events)

    def _send(self, watch: _Watch, revision: int, events: list[WatchEvent]) -> None:
        inside = [e for e in events if watch.start <= e.kv.key < watch.end]
        if inside:
            self._write(watch, revision, inside)

    def _write(self, watch: _Watch, revision: int, events: list[WatchEvent]) -> None:
        encoded = [
            {
                "type": "DELETE" if event.deleted else "PUT",
                "kv": gateway.encode_kv(event.kv),
            }
            for event in events
        ]
        header = {"revision": str(revision)}
        line = json.dumps({"result": {"header": header, "events": encoded}})
        watch.request.write(line.encode() + b"\n")

    def _forget(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
