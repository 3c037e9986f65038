"""A new leader loads its state from a store that is slow or fails."""

import base64
import datetime as dt
import random

import pytest
from attrs import define, evolve, field
from structlog.testing import capture_logs
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.exceptions import HistoryLostError
from fighead.http_client import HttpPool
from fighead.job import JobPhase, JobSpec, Stage
from fighead.mailbox import spawn
from fighead.platform.store import PlatformStoreClient
from fighead.store import (
    JOB_CONTROL_PREFIX,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    KeyValue,
    RangeResult,
    WatchBatch,
    WatchEvent,
)
from fighead.tasks import scheduler
from fighead.tasks.job_lookup import JobLookupTask, JobsLookedUp, LookUpJobs
from fighead.tasks.watch import STORE_TIMEOUT, Changes, Snapshot, WatchTask
from job_cluster import START_TIME, JobCluster
from memory_store import MemoryStore
from slow_link import SlowLink

LASTING_JOB = JobSpec("w", (Stage(count=1, cpu=100, memory_mb=1, is_lasting=True),))
JOB_COUNT = 6
#: Removed jobs that an instance lists; at most 500 are in one listing.
REMOVED_JOBS = 800


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


@define(eq=False)
class LinkedStore:
    """Reads jobs and progress over a slow link, and all else from memory."""

    memory: MemoryStore
    client: PlatformStoreClient

    @property
    def clock(self):
        return self.memory.clock

    async def call(self, req, timeout):
        if getattr(req, "key", None) in (JOBS_PREFIX, JOB_PROGRESS_PREFIX):
            return await self.client.call(req, timeout)
        return await self.memory.call(req, timeout)

    async def watch(self, prefix, after, wait):
        return await self.memory.watch(prefix, after, wait)


def test_a_leader_loads_and_stops_cancelled_jobs_over_a_slow_link():
    def answer(path, query):
        kvs = [kv for key, kv in sorted(cluster.store.items.items())]
        kvs = [kv for kv in kvs if kv.key.startswith(query["Prefix"])]
        items = [
            {
                "Key": kv.key,
                "Value": base64.b64encode(kv.value.encode()).decode(),
                "Revision": kv.mod_revision,
                "Created": kv.create_revision,
            }
            for kv in kvs
        ]
        return {"items": items, "HasMore": False, "AtRev": cluster.store.revision}

    link = SlowLink(answer, bytes_per_s=5000)
    cluster = JobCluster(reactor=link)
    spec = evolve(LASTING_JOB, payload="x" * 2000)
    for number in range(JOB_COUNT):
        cluster.submit(job_id(number), spec, "watches")
    cluster.advance(1)
    for process in cluster.entries.values():
        client = PlatformStoreClient(HttpPool(link, cluster.clock), "127.0.0.1:1")
        process.store.store = LinkedStore(cluster.store, client)
    cluster.kill_entries(cluster.leader())
    cluster.cancel(job_id(1))
    with capture_logs() as logs:
        cluster.advance(10)
    (load,) = [log for log in logs if log["event_name"] == "schedule_loaded"]
    assert load["took_ms"] > 3 * STORE_TIMEOUT.total_seconds() * 1000
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


def test_thousands_of_removed_jobs_are_looked_up_with_a_few_reads(cluster):
    for name in cluster.instances:
        cluster.add_removed_jobs(name, REMOVED_JOBS)
    cluster.store.reads.clear()
    cluster.kill_entries(cluster.leader())
    cluster.advance(10)
    assert not [read for read in cluster.store.reads if "removed" in read.key]
    assert cluster.store.count_reads(JOB_CONTROL_PREFIX) < 20
    assert running_jobs(cluster) == {job_id(n) for n in range(JOB_COUNT)}
    assert not any(i.has_new_ends(0) for i in cluster.instances.values())
    assert not cluster.find_breaches()


def test_removed_jobs_beyond_those_remembered_do_not_hold_up_a_leader(
    cluster, monkeypatch
):
    monkeypatch.setattr(scheduler, "MAX_ABSENT_JOBS", 10)
    cluster.add_removed_jobs("i0", REMOVED_JOBS)
    cluster.kill_entries(cluster.leader())
    cluster.advance(8)
    assert not cluster.instances["i0"].has_new_ends(0)


def look_up(store, clock, reactor, revision):
    """Return what a look-up of two jobs reports, as keys and a final answer."""
    reported, failures = [], []
    task = JobLookupTask(store, clock, reported.append, failures.append)
    running = spawn(task.run())
    task.mailbox.offer(LookUpJobs(frozenset({"a", "b"}), revision))
    reactor.pump([0.01] * 200)
    running.cancel()
    assert reported.pop() == JobsLookedUp(frozenset({"a", "b"}))
    keys = []
    for msg in reported:
        kvs = msg.kvs if isinstance(msg, Snapshot) else [e.kv for e in msg.events]
        keys += [kv.key for kv in kvs]
    return keys, len(failures)


def test_a_job_accepted_a_moment_ago_is_reported_before_the_answer():
    reactor = Clock()
    clock = ReactorClock(reactor, START_TIME)
    store = MemoryStore(clock)
    store.put(JOBS_PREFIX + "a", "old")
    revision = store.revision
    store.put(JOBS_PREFIX + "b", "new")
    assert look_up(store, clock, reactor, revision) == ([JOBS_PREFIX + "b"], 0)


def test_jobs_are_listed_if_the_history_for_a_look_up_is_lost():
    reactor = Clock()
    clock = ReactorClock(reactor, START_TIME)
    assert look_up(ForgetfulStore(), clock, reactor, 10) == ([JOBS_PREFIX + "a"], 0)


def test_a_look_up_is_not_answered_while_the_store_is_away():
    reactor = Clock()
    clock = ReactorClock(reactor, START_TIME)
    store = MemoryStore(clock, is_unavailable=True)
    store.put(JOBS_PREFIX + "b", "new")
    clock.call_later(
        dt.timedelta(seconds=1), lambda: setattr(store, "is_unavailable", False)
    )
    keys, failures = look_up(store, clock, reactor, 1)
    assert keys == [JOBS_PREFIX + "b"]
    assert failures >= 5


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
