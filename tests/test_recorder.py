"""Tests of the task that writes the progress and the ends of jobs."""

import datetime as dt

from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.job import JobProgress, StageProgress
from fighead.mailbox import spawn
from fighead.store import JOB_LEADER, JOB_PROGRESS, KeyValue
from fighead.tasks.recorder import JobWrite, Record, Recorded, RecorderTask
from memory_store import MemoryStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)


def test_ends_are_acknowledged_with_the_write_that_covers_them():
    """A second order of writes must not acknowledge its ends with the first."""
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    store.items[JOB_LEADER] = KeyValue(JOB_LEADER, "", 1, 1)
    reports = []
    recorder = RecorderTask(store, clock, reports.append)
    spawn(recorder.run())
    for number in (1, 2):
        progress = JobProgress((StageProgress(0, 0, f"{number}"),))
        write = JobWrite(f"job-{number}", 1, 0, progress)
        recorder.mailbox.offer(Record(1, (write,), {"i1/1": number}))
    seen = []
    for _ in range(100):
        reactor.advance(0.001)
        for report in reports[len(seen) :]:
            assert isinstance(report, Recorded)
            mark = report.marks["i1/1"]
            assert JOB_PROGRESS + f"job-{mark}" in store.items
            seen.append(mark)
    assert seen == [1, 2]
