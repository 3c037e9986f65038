"""The task that follows the keys under one prefix of the store."""

import datetime as dt
import random
import typing as t

from attrs import define, frozen

from ..clock import Clock, sleep
from ..exceptions import HistoryLostError, StoreError
from ..store import KeyValue, Range, RangeResult, WatchBatch, WatchEvent

#: Time after which a call to the store counts as failed.
STORE_TIMEOUT = dt.timedelta(seconds=1)
#: Pause before a watch that failed is asked for again.
RETRY_PAUSE = dt.timedelta(milliseconds=250)


class StoreClient(t.Protocol):
    """Carries out requests to the key-value service."""

    async def call(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Carry out one request; raises :exc:`.StoreError`."""
        ...

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Return changes after a revision; raises :exc:`.StoreError`."""
        ...


@frozen
class Snapshot:
    """All keys under a prefix."""

    prefix: str
    revision: int
    kvs: tuple[KeyValue, ...]


@frozen
class Changes:
    """Changes under a prefix since the last message."""

    prefix: str
    revision: int
    events: tuple[WatchEvent, ...]


@frozen
class StoreContact:
    """A watch reached the store, or failed to."""

    prefix: str
    is_reached: bool


async def read_all(store: StoreClient, prefix: str) -> Snapshot:
    """Read all keys under a prefix, page by page.

    The revision is that of the first page, so that a watch from there misses
    nothing.

    :raises StoreError: If a page could not be read.
    """
    kvs: list[KeyValue] = []
    start, revision = "", 0
    while True:
        req = Range(prefix, is_prefix=True, start=start)
        page: RangeResult = await store.call(req, STORE_TIMEOUT)
        revision = revision or page.revision
        kvs.extend(page.kvs)
        if not page.more or not page.kvs:
            return Snapshot(prefix, revision, tuple(kvs))
        start = page.kvs[-1].key


@define(eq=False)
class WatchTask:
    """Delivers a snapshot and then each change.

    :param wait: Longest wait of one watch; a silent connection is noticed
        after it.
    :param pause: Least time between two watches, since each one is priced.
    """

    store: StoreClient
    prefix: str
    clock: Clock
    random: random.Random
    deliver: t.Callable[[Snapshot | Changes | StoreContact], None]
    wait: dt.timedelta = dt.timedelta(seconds=4)
    pause: dt.timedelta = dt.timedelta()

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                snapshot = await read_all(self.store, self.prefix)
                self.deliver(snapshot)
                self.deliver(StoreContact(self.prefix, True))
                await self._follow(snapshot.revision)
            except HistoryLostError:
                continue
            except StoreError:
                self.deliver(StoreContact(self.prefix, False))
                await self._back_off()

    async def _follow(self, revision: int) -> None:
        while True:
            try:
                batch = await self.store.watch(self.prefix, revision, self.wait)
            except HistoryLostError:
                raise
            except StoreError:
                self.deliver(StoreContact(self.prefix, False))
                await self._back_off()
                continue
            self.deliver(StoreContact(self.prefix, True))
            revision = max(revision, batch.revision)
            if batch.events:
                self.deliver(Changes(self.prefix, batch.revision, batch.events))
                await sleep(self.clock, self.pause)

    async def _back_off(self) -> None:
        await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
