"""The task that writes the progress and the ends of jobs."""

import datetime as dt
import typing as t

from attrs import define, evolve, field, frozen

from ..clock import Clock, sleep
from ..codec import to_json
from ..exceptions import StoreError
from ..job import JobEnding, JobProgress
from ..log import Event, log_event
from ..mailbox import Mailbox
from ..store import (
    CANCEL_MARK,
    JOB_ENDINGS,
    JOB_LEADER,
    JOB_PROGRESS,
    JOBS,
    Compare,
    Delete,
    KeyValue,
    Put,
    Txn,
    TxnResult,
)
from .watch import STORE_TIMEOUT, StoreClient

#: Most compares, writes and removals of one transaction, by the page on the
#: store.
MAX_TXN_ENTRIES = 32
#: Entries of a transaction that the end of a job takes.
ENDING_ENTRIES = 6
#: Entries that the progress of a job takes.
PROGRESS_ENTRIES = 2
RETRY_PAUSE = dt.timedelta(milliseconds=200)


@frozen
class JobWrite:
    """What to write of a job.

    :param record_revision: Revision of its record.
    :param progress_revision: Revision of its progress; 0: none yet.
    """

    job_id: str
    record_revision: int
    progress_revision: int
    value: JobProgress | JobEnding

    @property
    def entries(self) -> int:
        """Entries of a transaction that it takes."""
        is_ending = isinstance(self.value, JobEnding)
        return ENDING_ENTRIES if is_ending else PROGRESS_ENTRIES


@frozen
class Record:
    """Writes to make under a fence; the answer is one :class:`Recorded`.

    :param marks: By life of an instance, the highest end that they cover.
    """

    fence: int
    writes: tuple[JobWrite, ...]
    marks: dict[str, int] = field(factory=dict)


@frozen
class Recorded:
    """All writes of a :class:`Record` have been made.

    :param revisions: New revisions of the progress of jobs that go on.
    :param gone: Jobs whose records are no longer there.
    :param marks: As in the :class:`Record`.
    """

    writes: tuple[JobWrite, ...]
    revisions: dict[str, int] = field(factory=dict)
    gone: tuple[str, ...] = ()
    marks: dict[str, int] = field(factory=dict)


@frozen
class LeadershipMissing:
    """The leader's key is not as it was when the writes were ordered."""


@define(eq=False)
class RecorderTask:
    """Owns the revisions of what it writes.

    A write whose answer was lost is repeated; the revision that it expects
    keeps a late one from undoing a later one.
    """

    store: StoreClient
    clock: Clock
    report: t.Callable[[Recorded | LeadershipMissing], None]
    mailbox: Mailbox[Record] = field(factory=lambda: Mailbox("recorder"))

    async def run(self) -> None:
        """Serve the mailbox until cancelled."""
        while True:
            record = await self.mailbox.get()
            done = Recorded(record.writes, marks=record.marks)
            for batch in _split(record.writes):
                done = await self._write(record.fence, batch, done)
                if done is None:
                    break
            if done is not None:
                self.report(done)

    async def _write(
        self, fence: int, batch: tuple[JobWrite, ...], done: Recorded
    ) -> Recorded | None:
        while batch:
            txn = _make_txn(fence, batch)
            try:
                result: TxnResult = await self.store.call(txn, STORE_TIMEOUT)
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="record", reason=exc.message)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if result.succeeded:
                return _note_written(done, batch, result.revision)
            found = {kv.key: kv for kv in result.kvs}
            if _revision(found, JOB_LEADER) != fence:
                self.report(LeadershipMissing())
                return None
            batch, done = _settle(batch, found, done)
        return done


def _split(writes: tuple[JobWrite, ...]) -> t.Iterator[tuple[JobWrite, ...]]:
    batch: list[JobWrite] = []
    room = MAX_TXN_ENTRIES - 1
    for write in writes:
        if write.entries > room:
            yield tuple(batch)
            batch, room = [], MAX_TXN_ENTRIES - 1
        batch.append(write)
        room -= write.entries
    if batch:
        yield tuple(batch)


def _make_txn(fence: int, batch: tuple[JobWrite, ...]) -> Txn:
    compares = [Compare(JOB_LEADER, fence)]
    changes: list[Put | Delete] = []
    for write in batch:
        value = to_json(write.value)
        if isinstance(write.value, JobEnding):
            compares.append(Compare(JOBS + write.job_id, write.record_revision))
            changes.append(Put(JOB_ENDINGS + write.job_id, value))
            changes.append(Delete(JOBS + write.job_id))
            changes.append(Delete(JOBS + write.job_id + CANCEL_MARK))
            changes.append(Delete(JOB_PROGRESS + write.job_id))
        else:
            key = JOB_PROGRESS + write.job_id
            compares.append(Compare(key, write.progress_revision))
            changes.append(Put(key, value))
    return Txn(tuple(compares), tuple(changes))


def _note_written(
    done: Recorded, batch: tuple[JobWrite, ...], revision: int
) -> Recorded:
    going_on = [w.job_id for w in batch if isinstance(w.value, JobProgress)]
    revisions = done.revisions | dict.fromkeys(going_on, revision)
    return evolve(done, revisions=revisions)


def _settle(
    batch: tuple[JobWrite, ...], found: dict[str, KeyValue], done: Recorded
) -> tuple[tuple[JobWrite, ...], Recorded]:
    """Sort out a batch of which an earlier try may have had its effect.

    Only the leader writes these keys, so any other revision than the expected
    one comes from a try of its own.
    """
    left: list[JobWrite] = []
    revisions, gone = dict(done.revisions), list(done.gone)
    for write in batch:
        if isinstance(write.value, JobEnding):
            actual = _revision(found, JOBS + write.job_id)
            if actual == 0:
                gone.append(write.job_id)
            else:
                left.append(evolve(write, record_revision=actual))
            continue
        key = JOB_PROGRESS + write.job_id
        actual = _revision(found, key)
        if actual and found[key].value == to_json(write.value):
            revisions[write.job_id] = actual
        else:
            left.append(evolve(write, progress_revision=actual))
    return tuple(left), evolve(done, revisions=revisions, gone=tuple(gone))


def _revision(found: dict[str, KeyValue], key: str) -> int:
    kv = found.get(key)
    return kv.mod_revision if kv is not None else 0
