"""The task that looks up listed jobs that the schedule does not know."""

import datetime as dt
import typing as t

from attrs import define, field, frozen
from twisted.internet.defer import Deferred, DeferredSemaphore

from ..clock import Clock, sleep
from ..exceptions import StoreError
from ..mailbox import Mailbox, spawn
from ..store import JOB_PROGRESS_PREFIX, JOBS_PREFIX, KeyValue, Range
from .watch import STORE_TIMEOUT, StoreClient

#: Maximum number of look-ups at once. The other connections to the store remain free
#: for watches, renewals and writes.
MAX_LOOKUPS = 4
#: Delay before a failed read is repeated.
RETRY_PAUSE = dt.timedelta(milliseconds=100)


@frozen
class LookUpJobs:
    """Requests look-ups; each is answered with a :class:`JobLookedUp`."""

    job_ids: tuple[str, ...]


@frozen
class JobLookedUp:
    """A listed job was looked up; a record that is not stored is ``None``."""

    job_id: str
    record: KeyValue | None
    progress: KeyValue | None


@define(eq=False)
class JobLookupTask:
    """Reads jobs from the store, at most ``MAX_LOOKUPS`` at a time.

    A new leader gets the listings of all instances within a second, and each may hold
    hundreds of ends of jobs that an earlier leader has removed. Without a limit, their
    look-ups would delay the renewals and writes of the entry until these fail.

    :param on_failure: Called with each failure of a read, which is then repeated.
    """

    store: StoreClient
    clock: Clock
    report: t.Callable[[JobLookedUp], None]
    on_failure: t.Callable[[StoreError], None]
    mailbox: Mailbox[LookUpJobs] = field(factory=lambda: Mailbox("job lookup", 65536))
    _lookups: set[Deferred] = field(factory=set)

    async def run(self) -> None:
        """Look up requested jobs, in order, until cancelled."""
        slots = DeferredSemaphore(MAX_LOOKUPS)
        try:
            while True:
                request = await self.mailbox.get()
                for job_id in request.job_ids:
                    await slots.acquire()
                    self._start(job_id, slots)
        finally:
            for lookup in tuple(self._lookups):
                lookup.cancel()

    def _start(self, job_id: str, slots: DeferredSemaphore) -> None:
        lookup = spawn(self._look_up(job_id))
        self._lookups.add(lookup)

        def finish(_: t.Any) -> None:
            self._lookups.discard(lookup)
            slots.release()

        lookup.addBoth(finish)

    async def _look_up(self, job_id: str) -> None:
        record = await self._read(JOBS_PREFIX + job_id)
        # Only the leader writes progress, and only of a job that has a record.
        progress = await self._read(JOB_PROGRESS_PREFIX + job_id) if record else None
        self.report(JobLookedUp(job_id, record, progress))

    async def _read(self, key: str) -> KeyValue | None:
        while True:
            try:
                found = await self.store.call(Range(key), STORE_TIMEOUT)
            except StoreError as exc:
                self.on_failure(exc)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            return next(iter(found.kvs), None)
