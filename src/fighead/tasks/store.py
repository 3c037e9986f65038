"""The task that calls the platform's key-value service over HTTP."""

import datetime as dt
import json
import random
import typing as t

import treq
from attrs import define, field, frozen
from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed

from .. import gateway
from ..clock import Clock, with_timeout
from ..decisions import breaker as breaking
from ..decisions.breaker import Breaker
from ..exceptions import (
    LeaseLostError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..mailbox import Mailbox, spawn
from ..metric import Metrics
from ..store import Range, StoreRequest, StoreResult, Txn, is_write

#: Maximum number of concurrent calls to the service.
MAX_CALLS_IN_FLIGHT = 8
#: Maximum number of transactions that are sent as one call.
MAX_BATCH_TXNS = 32
#: Timeout of a call.
CALL_TIMEOUT = dt.timedelta(seconds=2)
#: HTTP status of the response to a request with an unknown lease.
LEASE_NOT_FOUND_STATUS = 404


@frozen(eq=False)
class StoreCall:
    """A request to the service, and the deferred for its result."""

    request: StoreRequest
    reply: Deferred[StoreResult] = field(factory=Deferred)


def ask_store(mailbox: Mailbox[StoreCall], req: StoreRequest) -> Deferred[t.Any]:
    """Send ``req`` to the store task and return a deferred for its result.

    :raises MailboxFullError: At once, if the task's mailbox is full.
    :raises StoreUnavailableError: If the request did not reach the service.
    :raises StoreOutcomeUnknownError: If a write may have taken effect.
    :raises LeaseLostError: If a write names a lease that has ended.
    """
    call = StoreCall(req)
    mailbox.offer(call)
    return call.reply


@define(eq=False)
class StoreTask:
    """Owns the connections to the service.

    Pending transactions are sent together as one call, since the service counts
    calls.

    :param last_success_at: When the service last answered; ``None`` if it never did.
    """

    base_url: str
    clock: Clock
    reactor: t.Any
    metrics: Metrics
    random: random.Random
    mailbox: Mailbox[StoreCall] = field(factory=lambda: Mailbox("store", 4096))
    breaker: Breaker = Breaker()
    last_success_at: dt.datetime | None = None
    _client: treq.client.HTTPClient = field(init=False)
    _slots: defer.DeferredSemaphore = field(
        factory=lambda: defer.DeferredSemaphore(MAX_CALLS_IN_FLIGHT)
    )

    def __attrs_post_init__(self) -> None:
        pool = HTTPConnectionPool(self.reactor)
        pool.maxPersistentPerHost = MAX_CALLS_IN_FLIGHT
        # A retry by the pool could send a write twice without our notice.
        pool.retryAutomatically = False
        self._client = treq.client.HTTPClient(Agent(self.reactor, pool=pool))

    async def run(self) -> None:
        """Serve the mailbox until cancelled."""
        while True:
            first = await self.mailbox.get()
            await self._slots.acquire()
            calls = await self._collect_batch(first)
            spawn(self._send(calls))

    async def _collect_batch(self, first: StoreCall) -> list[StoreCall]:
        calls = [first]
        while len(self.mailbox) and len(calls) < MAX_BATCH_TXNS:
            if not _is_batchable(calls):
                break
            calls.append(await self.mailbox.get())
        return calls

    async def _send(self, calls: list[StoreCall]) -> None:
        try:
            txns = [call for call in calls if isinstance(call.request, Txn)]
            others = [call for call in calls if not isinstance(call.request, Txn)]
            for call in others:
                await self._send_one(call)
            if len(txns) == 1:
                await self._send_one(txns[0])
            elif txns:
                await self._send_batch(txns)
        finally:
            self._slots.release()

    async def _send_one(self, call: StoreCall) -> None:
        path, body = gateway.encode_request(call.request)
        try:
            answer = await self._post(path, body, is_write(call.request))
            call.reply.callback(gateway.decode_result(call.request, answer))
        except StoreError as exc:
            call.reply.errback(exc)

    async def _send_batch(self, calls: list[StoreCall]) -> None:
        path, body = gateway.encode_batch([call.request for call in calls])
        try:
            answer = await self._post(path, body, True)
        except LeaseLostError:
            # One ended lease fails the whole batch, so each transaction is sent alone.
            for call in calls:
                await self._send_one(call)
            return
        except StoreError as exc:
            for call in calls:
                call.reply.errback(exc)
            return
        for call, result in zip(calls, gateway.decode_batch(answer), strict=True):
            call.reply.callback(result)

    async def _post(self, path: str, body: t.Any, may_write: bool) -> t.Any:
        self._check_breaker()
        self.metrics.count_store_call(path)
        try:
            deferred = defer.ensureDeferred(self._exchange(path, body))
            status, answer = await with_timeout(self.clock, deferred, CALL_TIMEOUT)
        except (ConnectionRefusedError, ConnectError) as exc:
            self._record_failure()
            raise _unavailable_error(exc) from exc
        except (ResponseFailed, TimeoutError, ValueError) as exc:
            self._record_failure()
            raise (
                _unknown_error(exc) if may_write else _unavailable_error(exc)
            ) from exc
        self.breaker = breaking.record_success(self.breaker)
        self.last_success_at = self.clock.now()
        if status == LEASE_NOT_FOUND_STATUS:
            raise LeaseLostError(
                "The service no longer knows the lease.",
                "No action needed: the entry requests a new lease.",
            )
        return answer

    async def _exchange(self, path: str, body: t.Any) -> tuple[int, t.Any]:
        data = json.dumps(body).encode()
        headers = {"Content-Type": ["application/json"]}
        response = await self._client.post(
            self.base_url + path, data=data, headers=headers
        )
        content = await response.content()
        if response.code >= 500:
            raise ValueError(
                f"The key-value service answered with status {response.code}."
            )
        return response.code, json.loads(content)

    def _check_breaker(self) -> None:
        now = self.clock.now()
        if not breaking.may_send(self.breaker, now):
            raise StoreUnavailableError(
                "The key-value service has failed several times in a row.",
                "Check the health of the service; it is probed about every 0.5 s.",
            )
        self.breaker = breaking.reserve_probe(self.breaker, now)

    def _record_failure(self) -> None:
        now = self.clock.now()
        self.breaker = breaking.record_failure(self.breaker, now, self.random.random())


def _is_batchable(calls: list[StoreCall]) -> bool:
    return all(isinstance(call.request, Txn) for call in calls)


def _unavailable_error(exc: BaseException) -> StoreUnavailableError:
    return StoreUnavailableError(
        f"The key-value service was not reached ({type(exc).__name__}).",
        "Check that it listens at the address in [store] url.",
    )


def _unknown_error(exc: BaseException) -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        f"A write got no answer ({type(exc).__name__}).",
        "Read the key back or repeat the same compare-and-swap.",
    )


async def read_prefix(
    mailbox: Mailbox[StoreCall], prefix: str, page: int = 500
) -> tuple[list[t.Any], int]:
    """Read all keys under ``prefix`` in pages.

    :param page: Maximum number of keys per page.
    :return: The keys, and the revision of the first page. A watch must start from
        that revision to miss no change.
    """
    kvs: list[t.Any] = []
    start, revision = "", 0
    while True:
        result = await ask_store(mailbox, Range(prefix, True, page, start))
        revision = revision or result.revision
        kvs.extend(result.kvs)
        if not result.more:
            return kvs, revision
        start = result.kvs[-1].key + "\0"
