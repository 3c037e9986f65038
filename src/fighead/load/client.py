"""A caller of the load tool: sends requests and notes what it is told."""

import contextlib
import datetime as dt
import json
import typing as t

import treq
from attrs import define, evolve, field
from twisted.internet.defer import CancelledError, ensureDeferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool

from ..clock import Clock, sleep, with_timeout
from ..model import Category
from .history import Operation
from .plan import Arrival, timeout_of

#: Connections that are kept open to each entry.
CONNECTIONS = 256
#: Times that recorded work is sent before its caller gives up.
MAX_TRIES = 5
REPEAT_PAUSE = dt.timedelta(milliseconds=500)


@define(eq=False)
class LoadClient:
    """Sends arrivals to entries in turn, as a balancer would.

    :param entries: Base URLs of the entries' caller fronts.
    """

    entries: tuple[str, ...]
    clock: Clock
    reactor: t.Any
    operations: list[Operation] = field(factory=list)
    _next: int = 0
    _client: treq.client.HTTPClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        pool = HTTPConnectionPool(self.reactor)
        pool.maxPersistentPerHost = CONNECTIONS
        pool.retryAutomatically = False
        agent = Agent(self.reactor, pool=pool, connectTimeout=1)
        self._client = treq.client.HTTPClient(agent)

    async def send(self, arrival: Arrival, entry: str | None = None) -> Operation:
        """Send one request, note its outcome and return it.

        Recorded work whose answer was lost is sent again under the same id, as
        a careful caller would.
        """
        operation = self._begin(arrival)
        for _ in range(MAX_TRIES):
            outcome = await self._try(operation, arrival, entry)
            repeatable = arrival.category is not Category.CHECK
            if outcome.outcome not in ("lost", "unknown") or not repeatable:
                break
            await sleep(self.clock, REPEAT_PAUSE)
        self.operations.append(outcome)
        return outcome

    async def _try(
        self, operation: Operation, arrival: Arrival, entry: str | None
    ) -> Operation:
        try:
            fut = ensureDeferred(self._reach(arrival, entry))
            answer = await with_timeout(self.clock, fut, timeout_of(arrival))
        except CancelledError:
            raise
        except Exception as exc:
            answer = {"outcome": "lost", "reason": type(exc).__name__}
        return self._end(operation, answer)

    async def _reach(self, arrival: Arrival, entry: str | None) -> dict[str, t.Any]:
        """Send through the first entry that takes connections, in turn."""
        if entry is not None:
            return await self._exchange(entry, arrival)
        first = self.entries.index(self._take_entry())
        for base in self.entries[first:] + self.entries[:first]:
            with contextlib.suppress(ConnectError):
                return await self._exchange(base, arrival)
        raise ConnectError()

    def _end(self, operation: Operation, answer: dict[str, t.Any]) -> Operation:
        return evolve(
            operation,
            outcome=answer.get("outcome", "lost"),
            answer=answer.get("answer", ""),
            reason=answer.get("reason", ""),
            ended_s=self.clock.now().timestamp(),
        )

    async def find(self, arrival: Arrival, wait_ms: int = 0) -> Operation:
        """Ask for the outcome of recorded work by its id."""
        return await self._by_id("GET", arrival, wait_ms)

    async def cancel(self, arrival: Arrival, wait_ms: int = 0) -> Operation:
        """Cancel recorded work."""
        return await self._by_id("DELETE", arrival, wait_ms)

    async def _by_id(self, method: str, arrival: Arrival, wait_ms: int) -> Operation:
        operation = self._begin(arrival)
        url = (
            f"{self._take_entry()}/v1/{arrival.upstream}/work/{arrival.request_id}"
            f"?wait_ms={wait_ms}"
        )
        headers = {"Caller": [arrival.caller]}
        try:
            fut = ensureDeferred(self._call(method, url, headers, b""))
            answer = await with_timeout(self.clock, fut, timeout_of(arrival))
        except CancelledError:
            raise
        except Exception as exc:
            return evolve(operation, reason=type(exc).__name__)
        return self._end(operation, answer)

    def _begin(self, arrival: Arrival) -> Operation:
        is_check = arrival.category is Category.CHECK
        work = f"{arrival.caller}/{arrival.request_id}"
        return Operation(
            arrival.upstream,
            arrival.kind,
            arrival.category,
            arrival.request_id if is_check else work,
            arrival.body,
            self.clock.now().timestamp(),
            deadline_s=arrival.deadline.total_seconds(),
            non_idempotent=arrival.non_idempotent,
        )

    def _take_entry(self) -> str:
        self._next = (self._next + 1) % len(self.entries)
        return self.entries[self._next]

    async def _exchange(self, base: str, arrival: Arrival) -> dict[str, t.Any]:
        headers = {"Caller": [arrival.caller], "Request-Id": [arrival.request_id]}
        body = arrival.body.encode()
        if arrival.category is Category.CHECK:
            url = f"{base}/v1/{arrival.upstream}/checks/{arrival.kind}"
            headers["Deadline-Ms"] = [f"{arrival.deadline.total_seconds() * 1000:g}"]
            return await self._call("POST", url, headers, body)
        wait_ms = int(arrival.wait.total_seconds() * 1000)
        url = (
            f"{base}/v1/{arrival.upstream}/work/{arrival.request_id}"
            f"?kind={arrival.kind}&wait_ms={wait_ms}"
        )
        return await self._call("PUT", url, headers, body)

    async def _call(
        self, method: str, url: str, headers: t.Any, body: bytes
    ) -> dict[str, t.Any]:
        response = await self._client.request(method, url, headers=headers, data=body)
        return json.loads(await response.content())
