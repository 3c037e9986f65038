"""Tests of the task that stores the progress and the endings of jobs."""

import datetime as dt
import gc

from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.job import JobProgress, StageProgress
from fighead.mailbox import spawn
from fighead.store import JOB_LEADER_KEY, JOB_PROGRESS_PREFIX, KeyValue
from fighead.tasks.recorder import JobsRecorded, JobWrite, RecorderTask, RecordJobs
from memory_store import MemoryStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)


def test_ends_are_acknowledged_with_the_write_that_covers_them():
    """A report must carry only the end sequences of its own request.

    With those of a later request, an instance would discard ends whose effects are
    not stored yet.
    """
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    store.items[JOB_LEADER_KEY] = KeyValue(JOB_LEADER_KEY, "", 1, 1)
    reports = []
    recorder = RecorderTask(store, clock, reports.append)
    spawn(recorder.run())
    for sequence in (1, 2):
        progress = JobProgress((StageProgress(0, 0, f"{sequence}"),))
        write = JobWrite(f"job-{sequence}", 1, 0, progress)
        recorder.mailbox.offer(RecordJobs(1, (write,), {"i1/1": sequence}))
    seen = []
    for _ in range(100):
        reactor.advance(0.001)
        for report in reports[len(seen) :]:
            assert isinstance(report, JobsRecorded)
            sequence = report.end_sequences["i1/1"]
            assert JOB_PROGRESS_PREFIX + f"job-{sequence}" in store.items
            seen.append(sequence)
    assert seen == [1, 2]


# Failure: a leader that steps down while it writes logs its own cancellation as an
# unexpected error.
def test_a_recorder_that_is_cancelled_while_it_writes_logs_no_error(failures):
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    store.is_unavailable = True
    recorder = RecorderTask(store, clock, lambda report: None)
    deferred = spawn(recorder.run())
    write = JobWrite("job", 1, 0, JobProgress())
    recorder.mailbox.offer(RecordJobs(1, (write,), {}))
    reactor.advance(0.1)
    deferred.cancel()
    gc.collect()
    assert not failures
