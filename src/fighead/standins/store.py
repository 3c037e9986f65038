"""Stand-in for the platform's key-value service, served over HTTP.

Implements the subset of the etcd v3 JSON gateway that fighead uses, with faults
that can be injected: aborted calls, slow answers, lost answers to writes and stale
reads. Also serves the platform's list of instances, which can lag behind.
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
from .connection import abort_connection
from .keyspace import Keyspace

#: Writes per second above which the service delays callers.
WRITE_RATE_PER_S = 400
#: Reads per second above which the service delays callers.
READ_RATE_PER_S = 2000
#: Interval between checks for expired leases.
EXPIRY_INTERVAL_S = 0.1


@frozen
class StoreFaults:
    """Faults injected into the store stand-in.

    :param down: Whether connections are aborted before their call takes effect.
    :param slow_s: Seconds that each call is delayed.
    :param lose_answers: Share of transactions whose connection is aborted after
        they took effect.
    :param stale_reads: Whether reads return the first value that each key had.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    stale_reads: bool = False


@define
class _RateLimit:
    rate_per_s: float
    next_free_at: dt.datetime | None = None

    def delay(self, now: dt.datetime) -> dt.timedelta:
        start = max(now, self.next_free_at or now)
        self.next_free_at = start + dt.timedelta(seconds=1 / self.rate_per_s)
        # A burst worth 100 ms of calls passes without delay.
        return max(dt.timedelta(), start - now - dt.timedelta(seconds=0.1))


@define
class _Watch:
    start: str
    end: str
    request: IRequest


class StoreStandIn:
    """Serves the key-value service from memory.

    :param seed: Seed for the choice of lost answers.
    """

    app = Klein()

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._keyspace = Keyspace(self._publish_change)
        self._first_values: dict[str, KeyValue] = {}
        self._watches: list[_Watch] = []
        self._writes = _RateLimit(WRITE_RATE_PER_S)
        self._reads = _RateLimit(READ_RATE_PER_S)
        self.faults = StoreFaults()
        self.platform = PlatformList()
        self.calls: collections.Counter[str] = collections.Counter()
        self._expiry = LoopingCall(lambda: self._keyspace.expire(self._clock.now()))

    def start(self) -> None:
        """Start the periodic expiry of leases."""
        self._expiry.start(EXPIRY_INTERVAL_S)

    @app.route("/v3/kv/range", methods=["POST"])
    async def serve_range(self, request: IRequest) -> bytes:
        """Serve a read of one key or of a range of keys."""
        body = await self._begin_call(request, "range", self._reads)
        return self._reply({"header": self._header(), **self._range(body)})

    @app.route("/v3/kv/txn", methods=["POST"])
    async def serve_txn(self, request: IRequest) -> bytes:
        """Serve a transaction; status 404 if a written key names an unknown lease."""
        body = await self._begin_call(request, "txn", self._writes)
        try:
            result = self._txn(body)
        except KeyError:
            request.setResponseCode(404)
            return self._reply({"error": "requested lease not found", "code": 5})
        self._lose_answer_at_random(request)
        return self._reply({"header": self._header(), **result})

    @app.route("/v3/lease/grant", methods=["POST"])
    async def serve_grant(self, request: IRequest) -> bytes:
        """Grant a lease."""
        body = await self._begin_call(request, "lease_grant", self._writes)
        ttl = dt.timedelta(seconds=int(body["TTL"]))
        lease = self._keyspace.grant(ttl, self._clock.now())
        return self._reply({"ID": str(lease), "TTL": body["TTL"]})

    @app.route("/v3/lease/keepalive", methods=["POST"])
    async def serve_keepalive(self, request: IRequest) -> bytes:
        """Renew a lease; answers with a TTL of 0 if it does not exist."""
        body = await self._begin_call(request, "lease_keepalive", self._writes)
        ttl = self._keyspace.keep_alive(int(body["ID"]), self._clock.now())
        seconds = str(int(ttl.total_seconds()))
        return self._reply({"result": {"ID": body["ID"], "TTL": seconds}})

    @app.route("/v3/lease/revoke", methods=["POST"])
    async def serve_revoke(self, request: IRequest) -> bytes:
        """Revoke a lease and delete its keys."""
        body = await self._begin_call(request, "lease_revoke", self._writes)
        self._keyspace.revoke(int(body["ID"]))
        return self._reply({"header": self._header()})

    @app.route("/v3/watch", methods=["POST"])
    async def serve_watch(self, request: IRequest) -> Deferred[None]:
        """Stream changes of a range of keys as lines of JSON.

        Starts with an empty batch at the current revision, then the past changes
        since ``start_revision``, if given. Never ends by itself.
        """
        body = await self._begin_call(request, "watch", self._reads)
        create = body["create_request"]
        watch = _Watch(
            gateway.decode_text(create["key"]),
            gateway.decode_text(create["range_end"]),
            request,
        )
        self._watches.append(watch)
        request.notifyFinish().addBoth(lambda _: self._remove_watch(watch))
        self._replay(watch, int(create.get("start_revision", "0")))
        return Deferred()

    @app.route("/platform/instances", methods=["GET"])
    def serve_instances(self, request: IRequest) -> str:
        """Answer with the platform's list of instances."""
        if self.faults.down:
            abort_connection(request)
        return to_json(self.platform)

    @app.route("/platform/instances", methods=["PUT"])
    def change_instances(self, request: IRequest) -> str:
        """Replace the platform's list of instances."""
        self.platform = from_json(request.content.read(), PlatformList)
        return "{}"

    @app.route("/faults", methods=["PUT"])
    def change_faults(self, request: IRequest) -> str:
        """Replace the injected faults; if down, also abort all watches."""
        self.faults = from_json(request.content.read(), StoreFaults)
        if self.faults.down:
            for watch in list(self._watches):
                abort_connection(watch.request)
        return "{}"

    @app.route("/calls", methods=["GET"])
    def serve_calls(self, request: IRequest) -> str:
        """Answer with the number of calls by kind since the start."""
        return json.dumps(self.calls)

    async def _begin_call(
        self, request: IRequest, name: str, limit: _RateLimit
    ) -> t.Any:
        body = json.loads(request.content.read() or b"{}")
        if self.faults.down:
            abort_connection(request)
            await Deferred()
        self.calls[name] += 1
        delay = limit.delay(self._clock.now())
        delay += dt.timedelta(seconds=self.faults.slow_s)
        if delay:
            await sleep(self._clock, delay)
        return body

    def _lose_answer_at_random(self, request: IRequest) -> None:
        if self._random.random() < self.faults.lose_answers:
            abort_connection(request)

    def _reply(self, body: t.Any) -> bytes:
        return json.dumps(body).encode()

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._keyspace.revision)}

    def _range(self, body: t.Any) -> dict[str, t.Any]:
        key = gateway.decode_text(body["key"])
        end = gateway.decode_text(body.get("range_end"))
        if end:
            kvs, more = self._keyspace.scan(key, end, int(body.get("limit", "0")))
        else:
            kv = self._keyspace.get(key)
            kvs, more = [kv] if kv.mod_revision else [], False
        if self.faults.stale_reads:
            kvs = [self._first_values.get(kv.key, kv) for kv in kvs]
        return {"kvs": [gateway.encode_kv(kv) for kv in kvs], "more": more}

    def _txn(self, body: t.Any) -> dict[str, t.Any]:
        succeeded = all(self._is_met(compare) for compare in body.get("compare", []))
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
        self._keyspace.apply(puts, deletes)
        return {"succeeded": succeeded, "responses": responses}

    def _read_put(self, put: t.Any) -> tuple[str, str, int]:
        lease = int(put.get("lease", "0"))
        if lease and not self._keyspace.has_lease(lease):
            raise KeyError(lease)
        return gateway.decode_text(put["key"]), gateway.decode_text(put["value"]), lease

    def _is_met(self, compare: t.Any) -> bool:
        kv = self._keyspace.get(gateway.decode_text(compare["key"]))
        return kv.mod_revision == int(compare["mod_revision"])

    def _publish_change(self, revision: int, events: list[WatchEvent]) -> None:
        for event in events:
            self._first_values.setdefault(event.kv.key, evolve(event.kv))
        for watch in list(self._watches):
            self._send(watch, revision, events)

    def _replay(self, watch: _Watch, start_revision: int) -> None:
        past: dict[int, list[WatchEvent]] = {}
        for revision, event in self._keyspace.history:
            if start_revision and revision >= start_revision:
                past.setdefault(revision, []).append(event)
        self._write(watch, self._keyspace.revision, [])
        for revision, events in past.items():
            self._send(watch, revision, events)

    def _send(self, watch: _Watch, revision: int, events: list[WatchEvent]) -> None:
        in_range = [e for e in events if watch.start <= e.kv.key < watch.end]
        if in_range:
            self._write(watch, revision, in_range)

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

    def _remove_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
