"""The task that watches the keys under one prefix of the store."""

import datetime as dt
import random
import typing as t

from attrs import define, frozen
from twisted.internet.defer import CancelledError
from twisted.python import log

from ..clock import Clock, sleep
from ..exceptions import HistoryLostError, StoreError, StoreRejectedError
from ..store import KeyValue, Range, RangeResult, WatchBatch, WatchEvent

#: Timeout of a call to the store; see :meth:`StoreClient.call`.
STORE_TIMEOUT = dt.timedelta(seconds=1)
#: Mean pause before a failed watch is retried.
RETRY_PAUSE = dt.timedelta(milliseconds=250)


class StoreClient(t.Protocol):
    """Client of the key-value service."""

    async def call(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Send one request and return its result.

        :param timeout: Limit on the whole call; for a read of a prefix, whose result
            may be large, limit on the time in which nothing arrives.
        :raises StoreError: If the call failed.
        """
        ...

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Return the changes under ``prefix`` after revision ``after``.

        If there are none, wait up to ``wait`` for one; the batch may be empty.

        :raises HistoryLostError: If the changes have been discarded.
        :raises StoreError: If the call failed otherwise.
        """
        ...


@frozen
class Snapshot:
    """All keys under a prefix, read at ``revision`` or later.

    :param pages: Number of pages read.
    :param failed_reads: Number of reads of a page that failed and were repeated.
    """

    prefix: str
    revision: int
    kvs: tuple[KeyValue, ...]
    pages: int = 1
    failed_reads: int = 0


@frozen
class Changes:
    """Changes under a prefix since the previous snapshot or batch of changes."""

    prefix: str
    revision: int
    events: tuple[WatchEvent, ...]


@frozen
class StoreContact:
    """Whether the last call of a watch reached the store.

    :param is_refused: Whether the store answered, and refused the call.
    """

    prefix: str
    is_reached: bool
    is_refused: bool = False


async def raise_failure(exc: StoreError) -> None:
    """Give up a read that has failed."""
    raise exc


async def read_all(
    store: StoreClient,
    prefix: str,
    on_failure: t.Callable[[StoreError], t.Awaitable[None]] = raise_failure,
    on_page: t.Callable[[], None] = lambda: None,
) -> Snapshot:
    """Read all keys under a prefix in pages.

    The snapshot has the revision of the first page, so that a watch from there
    misses no change made while the other pages were read. This also holds if pages
    are repeated after failures: pages that were read before are kept.

    :param on_failure: Called when a page could not be read. The page is read again
        when it returns; by default, it raises the error.
    :param on_page: Called after each page that was read.
    :raises StoreError: If ``on_failure`` raises it.
    """
    kvs: list[KeyValue] = []
    start, revision, pages, failed_reads = "", 0, 0, 0
    while True:
        req = Range(prefix, is_prefix=True, start=start)
        try:
            page: RangeResult = await store.call(req, STORE_TIMEOUT)
        except StoreError as exc:
            failed_reads += 1
            await on_failure(exc)
            continue
        pages += 1
        on_page()
        revision = revision or page.revision
        kvs.extend(page.kvs)
        if not page.more or not page.kvs:
            return Snapshot(prefix, revision, tuple(kvs), pages, failed_reads)
        start = page.kvs[-1].key


@define(eq=False)
class WatchTask:
    """Delivers a snapshot of the keys under a prefix and then each change.

    Another snapshot follows if the store has discarded changes in between.

    :param wait: Maximum time that one watch call waits for changes. A dead
        connection is noticed after this time.
    :param pause: Delay between a batch of changes and the next watch call, since
        the platform charges for each call.
    :param revision: Revision at which the receiver has read all keys; the watch
        starts there without a snapshot. ``None`` to start with a snapshot.
    """

    store: StoreClient
    prefix: str
    clock: Clock
    random: random.Random
    deliver: t.Callable[[Snapshot | Changes | StoreContact], None]
    wait: dt.timedelta = dt.timedelta(seconds=4)
    pause: dt.timedelta = dt.timedelta()
    revision: int | None = None

    async def run(self) -> None:
        """Watch the prefix until cancelled, with retries after failures."""
        revision = self.revision
        while True:
            try:
                if revision is None:
                    revision = await self._deliver_snapshot()
                await self._watch_changes(revision)
            except HistoryLostError:
                revision = None
            except CancelledError:
                raise
            except Exception:
                # The receiver may have missed the changes, so all keys are read again.
                log.err(None, f"The changes under {self.prefix} were not handled.")
                await sleep(self.clock, RETRY_PAUSE)
                revision = None

    async def _deliver_snapshot(self) -> int:
        snapshot = await read_all(self.store, self.prefix, self._handle_failure)
        self.deliver(snapshot)
        self.deliver(StoreContact(self.prefix, True))
        return snapshot.revision

    async def _watch_changes(self, revision: int) -> None:
        while True:
            try:
                batch = await self.store.watch(self.prefix, revision, self.wait)
            except HistoryLostError:
                raise
            except StoreError as exc:
                await self._handle_failure(exc)
                continue
            self.deliver(StoreContact(self.prefix, True))
            revision = max(revision, batch.revision)
            if batch.events:
                self.deliver(Changes(self.prefix, batch.revision, batch.events))
                await sleep(self.clock, self.pause)

    async def _handle_failure(self, exc: StoreError) -> None:
        is_refused = isinstance(exc, StoreRejectedError)
        self.deliver(StoreContact(self.prefix, False, is_refused))
        await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
