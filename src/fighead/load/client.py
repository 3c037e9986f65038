"""HTTP client of the load tool, which records the outcome of each request."""

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

#: Maximum number of idle connections kept open to each entry.
MAX_IDLE_CONNECTIONS = 256
#: Maximum number of times that recorded work is sent.
MAX_ATTEMPTS = 5
RETRY_DELAY = dt.timedelta(milliseconds=500)


@define(eq=False)
class LoadClient:
    """Sends arrivals to entries round-robin, like a load balancer.

    :param entries: Base URLs of the entries' caller fronts.
    :param operations: Outcome of each arrival sent, in the order of completion.
    """

    entries: tuple[str, ...]
    clock: Clock
    reactor: t.Any
    operations: list[Operation] = field(factory=list)
    _entry_index: int = 0
    _client: treq.client.HTTPClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        pool = HTTPConnectionPool(self.reactor)
        pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        pool.retryAutomatically = False
        agent = Agent(self.reactor, pool=pool, connectTimeout=1)
        self._client = treq.client.HTTPClient(agent)

    async def send(self, arrival: Arrival, entry: str | None = None) -> Operation:
        """Send one request, append its outcome to ``operations`` and return it.

        Recorded work whose outcome is lost or unknown is sent again under the same
        id, up to :data:`MAX_ATTEMPTS` times.

        :param entry: Base URL to send to; by default the entries in turn.
        """
        operation = self._make_operation(arrival)
        for _ in range(MAX_ATTEMPTS):
            result = await self._attempt(operation, arrival, entry)
            is_retryable = arrival.category is not Category.CHECK
            if result.outcome not in ("lost", "unknown") or not is_retryable:
                break
            await sleep(self.clock, RETRY_DELAY)
        self.operations.append(result)
        return result

    async def _attempt(
        self, operation: Operation, arrival: Arrival, entry: str | None
    ) -> Operation:
        try:
            fut = ensureDeferred(self._send_with_failover(arrival, entry))
            answer = await with_timeout(self.clock, fut, timeout_of(arrival))
        except CancelledError:
            raise
        except Exception as exc:
            answer = {"outcome": "lost", "reason": type(exc).__name__}
        return self._with_answer(operation, answer)

    async def _send_with_failover(
        self, arrival: Arrival, entry: str | None
    ) -> dict[str, t.Any]:
        """Send to the next entry in turn that accepts the connection."""
        if entry is not None:
            return await self._send_to(entry, arrival)
        first = self.entries.index(self._next_entry())
        for base_url in self.entries[first:] + self.entries[:first]:
            with contextlib.suppress(ConnectError):
                return await self._send_to(base_url, arrival)
        raise ConnectError()

    def _with_answer(self, operation: Operation, answer: dict[str, t.Any]) -> Operation:
        return evolve(
            operation,
            outcome=answer.get("outcome", "lost"),
            answer=answer.get("answer", ""),
            reason=answer.get("reason", ""),
            ended_s=self.clock.now().timestamp(),
        )

    async def find(self, arrival: Arrival, wait_ms: int = 0) -> Operation:
        """Query recorded work by its id; ``lost`` if the entry does not answer."""
        return await self._call_by_id("GET", arrival, wait_ms)

    async def cancel(self, arrival: Arrival, wait_ms: int = 0) -> Operation:
        """Cancel recorded work by its id; ``lost`` if the entry does not answer."""
        return await self._call_by_id("DELETE", arrival, wait_ms)

    async def _call_by_id(
        self, method: str, arrival: Arrival, wait_ms: int
    ) -> Operation:
        operation = self._make_operation(arrival)
        url = (
            f"{self._next_entry()}/v1/{arrival.upstream}/work/{arrival.request_id}"
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
        return self._with_answer(operation, answer)

    def _make_operation(self, arrival: Arrival) -> Operation:
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

    def _next_entry(self) -> str:
        self._entry_index = (self._entry_index + 1) % len(self.entries)
        return self.entries[self._entry_index]

    async def _send_to(self, base_url: str, arrival: Arrival) -> dict[str, t.Any]:
        headers = {"Caller": [arrival.caller], "Request-Id": [arrival.request_id]}
        body = arrival.body.encode()
        if arrival.category is Category.CHECK:
            url = f"{base_url}/v1/{arrival.upstream}/checks/{arrival.kind}"
            headers["Deadline-Ms"] = [f"{arrival.deadline.total_seconds() * 1000:g}"]
            return await self._call("POST", url, headers, body)
        wait_ms = int(arrival.wait.total_seconds() * 1000)
        url = (
            f"{base_url}/v1/{arrival.upstream}/work/{arrival.request_id}"
            f"?kind={arrival.kind}&wait_ms={wait_ms}"
        )
        return await self._call("PUT", url, headers, body)

    async def _call(
        self, method: str, url: str, headers: t.Any, body: bytes
    ) -> dict[str, t.Any]:
        response = await self._client.request(method, url, headers=headers, data=body)
        return json.loads(await response.content())
