"""The task that finds out whether listed jobs are stored."""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..clock import Clock, sleep
from ..exceptions import HistoryLostError, StoreError
from ..mailbox import Mailbox
from ..store import JOB_CONTROL_PREFIX, JOBS_PREFIX, Range
from .watch import STORE_TIMEOUT, Changes, Snapshot, StoreClient, read_all

#: Wait of a watch that only asks for changes made before.
MIN_WATCH_WAIT = dt.timedelta(milliseconds=1)
#: Delay before a failed read is repeated.
RETRY_PAUSE = dt.timedelta(milliseconds=100)


@frozen
class LookUpJobs:
    """Asks whether jobs are stored.

    The answer is all changes of jobs since ``revision``, as :class:`.Changes` or as a
    :class:`.Snapshot`, followed by one :class:`JobsLookedUp`.

    :param revision: Revision up to which the sender has all changes of jobs.
    """

    job_ids: frozenset[str]
    revision: int


@frozen
class JobsLookedUp:
    """Each of the jobs is not stored unless it has been reported."""

    job_ids: frozenset[str]


@define(eq=False)
class JobLookupTask:
    """Reads the changes of jobs that the schedule may lack.

    A scheduler that has all changes of jobs up to the present knows that any other job
    is not stored. So one read answers for any number of jobs. After an election there
    may be thousands, since instances list ends of jobs that an earlier leader removed.

    :param report: Called with the answers.
    :param on_failure: Called with each failure of a read, which is then repeated.
    """

    store: StoreClient
    clock: Clock
    report: t.Callable[[Changes | Snapshot | JobsLookedUp], None]
    on_failure: t.Callable[[StoreError], None]
    mailbox: Mailbox[LookUpJobs] = field(factory=lambda: Mailbox("job lookup"))

    async def run(self) -> None:
        """Answer requests one after the other until cancelled."""
        while True:
            request = await self.mailbox.get()
            await self._report_changes(request.revision)
            self.report(JobsLookedUp(request.job_ids))

    async def _report_changes(self, revision: int) -> None:
        """Report changes since a revision, at least up to that of the store now."""
        current_revision = await self._read_revision()
        while revision < current_revision:
            try:
                batch = await self.store.watch(JOBS_PREFIX, revision, MIN_WATCH_WAIT)
            except HistoryLostError:
                self.report(await read_all(self.store, JOBS_PREFIX, self._pause))
                return
            except StoreError as exc:
                await self._pause(exc)
                continue
            if not batch.events:
                return
            self.report(Changes(JOBS_PREFIX, batch.revision, batch.events))
            revision = batch.revision

    async def _read_revision(self) -> int:
        # The answer for a missing key has no revision, that for a prefix always does.
        req = Range(JOB_CONTROL_PREFIX, is_prefix=True)
        while True:
            try:
                return (await self.store.call(req, STORE_TIMEOUT)).revision
            except StoreError as exc:
                await self._pause(exc)

    async def _pause(self, exc: StoreError) -> None:
        self.on_failure(exc)
        await sleep(self.clock, RETRY_PAUSE)
