"""The task that stores the progress and the endings of jobs."""

import collections
import datetime as dt
import typing as t

from attrs import define, evolve, field, frozen
from twisted.internet.defer import Deferred, FirstError, gatherResults

from ..clock import Clock, sleep
from ..codec import to_json
from ..exceptions import StoreError
from ..job import JobEnding, JobProgress
from ..log import Event, log_event
from ..mailbox import Mailbox
from ..store import (
    CANCEL_MARK_SUFFIX,
    JOB_ENDINGS_PREFIX,
    JOB_LEADER_KEY,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    Compare,
    Delete,
    KeyValue,
    Put,
    Txn,
    TxnResult,
)
from .watch import STORE_TIMEOUT, StoreClient

#: Maximum number of compares, puts and deletes in one transaction, as specified by
#: the page on the store.
MAX_TXN_ENTRIES = 32
#: Transaction entries reserved for the ending of one job.
ENDING_TXN_ENTRIES = 6
#: Transaction entries reserved for the progress of one job.
PROGRESS_TXN_ENTRIES = 2
#: Maximum number of transactions of one request that are under way at once. It leaves
#: connections to the store for watches and renewals.
MAX_CONCURRENT_TXNS = 4
#: Delay before a failed write is retried.
RETRY_PAUSE = dt.timedelta(milliseconds=200)


@frozen
class JobWrite:
    """The progress or the ending of a job, to be stored.

    :param record_revision: Expected store revision of the job record.
    :param progress_revision: Expected store revision of the progress record; 0 if
        there is none.
    """

    job_id: str
    record_revision: int
    progress_revision: int
    value: JobProgress | JobEnding

    @property
    def txn_entries(self) -> int:
        """Number of transaction entries reserved for this write."""
        is_ending = isinstance(self.value, JobEnding)
        return ENDING_TXN_ENTRIES if is_ending else PROGRESS_TXN_ENTRIES


@frozen
class RecordJobs:
    """Requests writes under a fence.

    Each transaction that was made is answered with a :class:`JobsRecorded`. Unless all
    were made, the last answer is one :class:`LeadershipLost`.

    :param writes: At least one write, at most one of each job.
    :param end_sequences: Highest sequence number of the run ends whose effects are
        stored by these or earlier writes, by identity of the incarnation.
    """

    fence: int
    writes: tuple[JobWrite, ...]
    end_sequences: dict[str, int] = field(factory=dict)


@frozen
class JobsRecorded:
    """Some writes of a :class:`RecordJobs` have been made.

    :param fence: Fence of the :class:`RecordJobs`.
    :param revisions: New store revisions of progress records, by job ID.
    :param missing_job_ids: Jobs to be ended whose records were already deleted.
    :param end_sequences: As in the :class:`RecordJobs` if all its writes have been
        made, otherwise empty.
    :param is_last: Whether all writes of the :class:`RecordJobs` have been made.
    """

    fence: int
    writes: tuple[JobWrite, ...]
    revisions: dict[str, int] = field(factory=dict)
    missing_job_ids: tuple[str, ...] = ()
    end_sequences: dict[str, int] = field(factory=dict)
    is_last: bool = False


@frozen
class LeadershipLost:
    """The leader's key has changed since the writes were requested.

    :param fence: Fence of the :class:`RecordJobs`.
    """

    fence: int


@define(eq=False)
class _Request:
    """A request in progress.

    :param batches: Transactions that have not begun, in the order of their start.
    :param unmade_count: Number of transactions that have not been made.
    :param is_lost: Whether the leader's key has changed.
    """

    msg: RecordJobs
    batches: collections.deque[tuple[JobWrite, ...]]
    unmade_count: int
    is_lost: bool = False


@define(eq=False)
class RecorderTask:
    """Stores progress and endings, one request after the other.

    The transactions of a request write different jobs, so some are under way at once.
    Endings go first, since clients wait for them; each transaction is reported when
    it has been made. A write whose answer was lost is retried. Each write expects a
    revision, so that a delayed one can't overwrite a later one.
    """

    store: StoreClient
    clock: Clock
    report: t.Callable[[JobsRecorded | LeadershipLost], None]
    mailbox: Mailbox[RecordJobs] = field(factory=lambda: Mailbox("recorder"))

    async def run(self) -> None:
        """Process requests one after the other until cancelled."""
        while True:
            msg = await self.mailbox.get()
            batches = _split_into_batches(msg.writes)
            request = _Request(msg, collections.deque(batches), len(batches))
            count = min(MAX_CONCURRENT_TXNS, len(batches))
            try:
                await gatherResults(
                    [
                        Deferred.fromCoroutine(self._write_batches(request))
                        for _ in range(count)
                    ],
                    consumeErrors=True,
                )
            except FirstError as exc:
                # A cancellation of this task is none of its errors.
                raise exc.subFailure.value from None
            if request.is_lost:
                self.report(LeadershipLost(msg.fence))

    async def _write_batches(self, request: _Request) -> None:
        while request.batches and not request.is_lost:
            batch = request.batches.popleft()
            recorded = await self._write(
                request, batch, JobsRecorded(request.msg.fence, batch)
            )
            if recorded is None:
                return
            request.unmade_count -= 1
            if request.unmade_count == 0:
                recorded = evolve(
                    recorded, end_sequences=request.msg.end_sequences, is_last=True
                )
            self.report(recorded)

    async def _write(
        self, request: _Request, batch: tuple[JobWrite, ...], recorded: JobsRecorded
    ) -> JobsRecorded | None:
        """Write a batch; return ``None`` if the leader's key has changed."""
        fence = request.msg.fence
        while batch and not request.is_lost:
            txn = _make_txn(fence, batch)
            try:
                result: TxnResult = await self.store.call(txn, STORE_TIMEOUT)
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="record", reason=exc.message)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if result.succeeded:
                return _add_revisions(recorded, batch, result.revision)
            stored = {kv.key: kv for kv in result.kvs}
            if _mod_revision(stored, JOB_LEADER_KEY) != fence:
                request.is_lost = True
                return None
            batch, recorded = _reconcile(batch, stored, recorded)
        return None if batch else recorded


def _split_into_batches(writes: tuple[JobWrite, ...]) -> list[tuple[JobWrite, ...]]:
    """Split writes into transactions, endings before progress."""
    batches: list[list[JobWrite]] = []
    free_entries = 0
    for write in sorted(writes, key=lambda w: isinstance(w.value, JobProgress)):
        if write.txn_entries > free_entries:
            batches.append([])
            free_entries = MAX_TXN_ENTRIES - 1
        batches[-1].append(write)
        free_entries -= write.txn_entries
    return [tuple(batch) for batch in batches]


def _make_txn(fence: int, batch: tuple[JobWrite, ...]) -> Txn:
    compares = [Compare(JOB_LEADER_KEY, fence)]
    changes: list[Put | Delete] = []
    for write in batch:
        value = to_json(write.value)
        if isinstance(write.value, JobEnding):
            compares.append(Compare(JOBS_PREFIX + write.job_id, write.record_revision))
            changes.append(Put(JOB_ENDINGS_PREFIX + write.job_id, value))
            changes.append(Delete(JOBS_PREFIX + write.job_id))
            changes.append(Delete(JOBS_PREFIX + write.job_id + CANCEL_MARK_SUFFIX))
            changes.append(Delete(JOB_PROGRESS_PREFIX + write.job_id))
        else:
            key = JOB_PROGRESS_PREFIX + write.job_id
            compares.append(Compare(key, write.progress_revision))
            changes.append(Put(key, value))
    return Txn(tuple(compares), tuple(changes))


def _add_revisions(
    recorded: JobsRecorded, batch: tuple[JobWrite, ...], revision: int
) -> JobsRecorded:
    ongoing = [w.job_id for w in batch if isinstance(w.value, JobProgress)]
    revisions = recorded.revisions | dict.fromkeys(ongoing, revision)
    return evolve(recorded, revisions=revisions)


def _reconcile(
    batch: tuple[JobWrite, ...], stored: dict[str, KeyValue], recorded: JobsRecorded
) -> tuple[tuple[JobWrite, ...], JobsRecorded]:
    """Separate the writes that have taken effect from those still to be made.

    Only the leader writes these keys, so an unexpected revision results from an
    earlier attempt of this task. Returns the remaining writes, with the current
    revisions, and the updated answer.
    """
    unwritten: list[JobWrite] = []
    revisions, missing = dict(recorded.revisions), list(recorded.missing_job_ids)
    for write in batch:
        if isinstance(write.value, JobEnding):
            actual_revision = _mod_revision(stored, JOBS_PREFIX + write.job_id)
            if actual_revision == 0:
                missing.append(write.job_id)
            else:
                unwritten.append(evolve(write, record_revision=actual_revision))
            continue
        key = JOB_PROGRESS_PREFIX + write.job_id
        actual_revision = _mod_revision(stored, key)
        if actual_revision and stored[key].value == to_json(write.value):
            revisions[write.job_id] = actual_revision
        else:
            unwritten.append(evolve(write, progress_revision=actual_revision))
    return tuple(unwritten), evolve(
        recorded, revisions=revisions, missing_job_ids=tuple(missing)
    )


def _mod_revision(stored: dict[str, KeyValue], key: str) -> int:
    kv = stored.get(key)
    return kv.mod_revision if kv is not None else 0
