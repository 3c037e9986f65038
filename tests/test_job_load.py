"""A new leader loads its state from a store that is slow or fails."""

import datetime as dt
import random

import pytest
from attrs import define, field
from structlog.testing import capture_logs
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.exceptions import HistoryLostError
from fighead.job import JobPhase, JobSpec, Stage
from fighead.mailbox import spawn
from fighead.store import (
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    KeyValue,
    RangeResult,
    WatchBatch,
    WatchEvent,
)
from fighead.tasks.watch import Changes, Snapshot, WatchTask
from job_cluster import START_TIME, JobCluster

LASTING_JOB = JobSpec("w", (Stage(count=1, cpu=100, memory_mb=1, is_lasting=True),))
JOB_COUNT = 6
#: More jobs than may be looked up at once.
REMOVED_JOBS = 100


def job_id(number):
    return f"{number:016x}"


@pytest.fixture
def cluster():
    cluster = JobCluster()
    for number in range(JOB_COUNT):
        cluster.submit(job_id(number), LASTING_JOB, "watches")
    cluster.advance(1)
    return cluster


def running_jobs(cluster):
    return {
        run.task.job_id
        for instance in cluster.instances.values()
        for run in instance.renew_and_list(instance.fence, 0, 0).running
    }


def test_a_leader_loads_and_stops_cancelled_jobs_although_pages_fail(cluster):
    cluster.store.page_items = 2
    cluster.store.fails_second_pages = True
    cluster.kill_entries(cluster.leader())
    cluster.cancel(job_id(1))
    cluster.advance(7)
    assert job_id(1) in cluster.cancelled_at
    assert cluster.find_phase(job_id(1)) is JobPhase.CANCELLED
    assert running_jobs(cluster) == {job_id(n) for n in range(JOB_COUNT) if n != 1}
    assert not cluster.find_breaches()


def test_pages_that_were_read_are_not_read_again(cluster):
    cluster.store.page_items = 2
    cluster.store.fails_second_pages = True
    cluster.store.reads.clear()
    cluster.kill_entries(cluster.leader())
    cluster.advance(7)
    starts = [
        read.start
        for read in cluster.store.reads
        if read.is_prefix and read.key == JOBS_PREFIX
    ]
    # Reads 2 and 4 fail, and only these are repeated.
    keys = [JOBS_PREFIX + job_id(number) for number in (1, 3)]
    assert starts == ["", keys[0], keys[0], keys[1], keys[1]]


def test_the_watch_of_jobs_does_not_read_the_loaded_jobs_again(cluster):
    cluster.store.reads.clear()
    cluster.kill_entries(cluster.leader())
    cluster.advance(7)
    assert cluster.store.count_reads(JOBS_PREFIX) == 1
    assert cluster.store.count_reads(JOB_PROGRESS_PREFIX) == 1
    # A change that only the watch reports is still noticed.
    cluster.store.put(JOBS_PREFIX + job_id(1) + "/cancelled", "{}")
    cluster.advance(3)
    assert job_id(1) not in running_jobs(cluster)


def test_the_log_tells_what_a_load_read(cluster):
    cluster.store.page_items = 2
    cluster.store.fails_second_pages = True
    cluster.store.reads.clear()
    cluster.kill_entries(cluster.leader())
    with capture_logs() as logs:
        cluster.advance(7)
    (load,) = [log for log in logs if log["event_name"] == "schedule_loaded"]
    jobs = [
        kv for key, kv in cluster.store.items.items() if key.startswith(JOBS_PREFIX)
    ]
    assert load["jobs"] == load["items"] == JOB_COUNT
    assert load["chars"] == sum(len(kv.value) for kv in jobs)
    # Three pages of jobs and an empty one of progress; two reads failed, each followed
    # by a pause of 100 ms.
    assert (load["pages"], load["failed_reads"]) == (4, 2)
    assert 200 <= load["took_ms"] <= 400


def test_removed_jobs_are_looked_up_a_few_at_a_time_with_one_read_each(cluster):
    cluster.add_removed_jobs("i0", REMOVED_JOBS)
    cluster.store.reads.clear()
    cluster.store.most_key_reads = 0
    cluster.kill_entries(cluster.leader())
    cluster.advance(8)
    keys = [read.key for read in cluster.store.reads if "removed" in read.key]
    assert len(keys) == len(set(keys)) == REMOVED_JOBS
    assert cluster.store.most_key_reads <= 10
    assert running_jobs(cluster) == {job_id(n) for n in range(JOB_COUNT)}
    assert not cluster.instances["i0"].has_new_ends(0)


@define(eq=False)
class ForgetfulStore:
    """Discards the history of changes before the first watch."""

    watched: list = field(factory=list)

    async def call(self, req, timeout):
        return RangeResult(20, (KeyValue(req.key + "a", "1", 4, 4),))

    async def watch(self, prefix, after, wait):
        self.watched.append(after)
        if len(self.watched) == 1:
            raise HistoryLostError("gone", "list again")
        event = WatchEvent(KeyValue(prefix + "b", "2", 21, 21))
        return WatchBatch(21, (event,))


def test_a_watch_from_a_revision_lists_all_keys_once_history_is_lost():
    reactor = Clock()
    store, delivered = ForgetfulStore(), []
    watch = WatchTask(
        store,
        JOBS_PREFIX,
        ReactorClock(reactor, START_TIME),
        random.Random(1),
        delivered.append,
        pause=dt.timedelta(seconds=1),
        revision=10,
    )
    spawn(watch.run())
    assert store.watched == [10, 20]
    kinds = [type(msg) for msg in delivered if isinstance(msg, Snapshot | Changes)]
    assert kinds == [Snapshot, Changes]
