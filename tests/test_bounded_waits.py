"""Waits that end only when somebody answers who may be gone for good."""

import datetime as dt
import random

import pytest
from attrs import define
from twisted.internet.testing import MemoryReactorClock

from fighead.clock import ReactorClock
from fighead.exceptions import StoreUnavailableError, WorkerRefusedError
from fighead.http_client import HttpPool
from fighead.job import JobPhase, JobProgress, JobSpec, Stage
from fighead.mailbox import spawn
from fighead.platform.store import PlatformStoreClient
from fighead.run import RefusalReason
from fighead.store import (
    FLEET_KEY,
    JOB_ELECTORATE_KEY,
    JOB_LEADER_KEY,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    Range,
)
from fighead.tasks.fleet import Fleet, FleetTask, RecordFleet
from fighead.tasks.job_lookup import JobLookupTask, LookUpJobs
from fighead.tasks.recorder import JobWrite, RecorderTask, RecordJobs
from fighead.tasks.sweeper import SweeperTask
from fighead.tasks.watch import WatchTask
from job_cluster import START_TIME, JobCluster
from test_takeover import (
    RECOVERY_S,
    count_running,
    job_id,
    lose_instances,
    start_cluster,
)

LASTING_FOUR = JobSpec("x", (Stage(count=4, cpu=2000, is_lasting=True),))


def ignore(_):
    """Receive a report."""


def make_watch(store, clock):
    return WatchTask(store, "servers/", clock, random.Random(1), ignore)


def make_fleet(store, clock):
    task = FleetTask(store, clock, ignore)
    task.mailbox.offer(RecordFleet(1, Fleet(("i0",))))
    return task


def make_lookup(store, clock):
    task = JobLookupTask(store, clock, ignore, ignore)
    task.mailbox.offer(LookUpJobs(("1",)))
    return task


def make_recorder(store, clock):
    task = RecorderTask(store, clock, ignore)
    task.mailbox.offer(RecordJobs(1, (JobWrite("1", 1, 0, JobProgress()),)))
    return task


def make_sweeper(store, clock):
    return SweeperTask(store, clock, dt.timedelta(seconds=10), 1)


# Failure: the tasks of a leader that had stepped down went on calling the store. Each
# held one of the entry's connections, and the next leader in this process got none.
@pytest.mark.parametrize(
    "make_task", [make_watch, make_fleet, make_lookup, make_recorder, make_sweeper]
)
def test_a_task_that_is_stopped_while_the_store_is_silent_calls_it_no_more(make_task):
    reactor = MemoryReactorClock()
    clock = ReactorClock(reactor, START_TIME)
    pool = HttpPool(reactor, clock, 12)
    task = spawn(make_task(PlatformStoreClient(pool, "10.0.0.1:80"), clock).run())
    while not pool.connections:
        reactor.advance(0.1)
    task.cancel()
    connections = pool.connections
    reactor.pump([0.1] * 1000)
    assert pool.connections == connections


def stop_answering(cluster, name):
    """Crash an instance whose registration stays."""
    cluster.instances[name].crash()
    cluster.silent_instances.add(name)


def find_scheduler(cluster):
    return cluster.entries[cluster.leader()].entry.scheduler


# Failure: each new leader waited out the leases of an instance that was long gone.
def test_an_instance_that_never_answers_holds_up_one_election_at_most():
    cluster, names = start_cluster(entries=4)
    stop_answering(cluster, "i0")
    cluster.advance(6)
    cluster.kill_entries(names[0])
    cluster.advance(10.5)
    assert find_scheduler(cluster).schedule.is_settled
    cluster.kill_entries(cluster.leader())
    cluster.advance(3)
    assert find_scheduler(cluster).schedule.is_settled
    assert count_running(cluster) == 12


# Failure: the instance is left out of the record and gets runs that no leader knows of.
def test_an_instance_that_answers_in_the_end_is_used_and_known_again():
    cluster, names = start_cluster(entries=4)
    stop_answering(cluster, "i0")
    cluster.advance(6)
    cluster.kill_entries(names[0])
    cluster.advance(15)
    assert "i0" not in find_scheduler(cluster).schedule.stored_fleet
    cluster.silent_instances.clear()
    cluster.advance(2)
    assert "i0" in find_scheduler(cluster).schedule.stored_fleet
    cluster.submit(
        job_id(2), JobSpec("x", (Stage(count=8, cpu=2000, is_lasting=True),))
    )
    cluster.advance(2)
    assert "i0" in {e.instance_id for e in cluster.history if e.event == "started"}
    assert not cluster.find_breaches()


# Failure: the task waits for ever for the answer to a stop of a run that never started.
def test_a_task_whose_start_and_stop_get_no_answer_starts_elsewhere():
    cluster = JobCluster(instance_count=2)
    cluster.lost_calls |= {("i0", "start"), ("i0", "stop")}
    cluster.submit(job_id(1), LASTING_FOUR, queue_name="watches")
    cluster.advance(16)
    assert count_running(cluster) == 4
    assert not cluster.find_breaches()


# Failure: each listing of an unwanted run added a stop, which was repeated beside those
# before; they held the connections that the listings need.
def test_one_stop_of_an_unwanted_run_is_under_way_at_a_time():
    cluster = JobCluster(instance_count=1)
    cluster.lost_calls.add(("i0", "stop"))
    cluster.submit(job_id(1), LASTING_FOUR, queue_name="watches")
    cluster.advance(2)
    scheduler = find_scheduler(cluster)
    scheduler.schedule.jobs.clear()
    scheduler.schedule.ended_phases[job_id(1)] = JobPhase.CANCELLED
    scheduler.schedule.instances["i0"].runs.clear()
    cluster.store.remove(JOBS_PREFIX + job_id(1))
    cluster.call_counts.clear()
    cluster.advance(11)
    assert 4 <= cluster.call_counts["i0", "stop"] <= 4 * 11


# Failure: a run whose start was answered counted as one that may yet start late.
def test_tasks_of_a_restarted_instance_that_is_not_listed_wait_for_its_lease_only():
    cluster, _ = start_cluster(entries=3)
    for name in ("i0", "i1"):
        cluster.crash_instance(name)
        cluster.lost_calls.add((name, "list"))
    cluster.advance(7.5)
    assert count_running(cluster) == 12
    assert not cluster.find_breaches()


@define(eq=False)
class PartialStore:
    """A store that fails the calls of one entry for which ``fails`` holds."""

    store: object
    fails: object

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def call(self, req, timeout):
        if self.fails(req):
            await self.store.call(Range("x"), timeout)
            raise StoreUnavailableError("refused", "try again")
        return await self.store.call(req, timeout)


def fail_calls(cluster, fails, *names):
    for name in names:
        gated = cluster.entries[name].store
        gated.store = PartialStore(gated.store, fails)


def reads_jobs(req):
    return isinstance(req, Range) and req.is_prefix and req.key == JOBS_PREFIX


def reads_leader_key(req):
    return isinstance(req, Range) and req.key == JOB_LEADER_KEY


# Failure: a leader for which the reads of the jobs fail leads on and starts nothing.
def test_a_leader_that_can_not_read_the_jobs_leaves_the_lead_to_another():
    cluster, names = start_cluster(entries=3)
    cluster.kill_entries(names[0])
    fail_calls(cluster, reads_jobs, names[1])
    cluster.advance(4)
    if cluster.leader() == names[2]:
        cluster.start_entry(names[0])
        cluster.kill_entries(names[2])
        fail_calls(cluster, reads_jobs, names[0])
        cluster.advance(4)
        cluster.start_entry(names[2])
    assert not find_scheduler(cluster).schedule.jobs
    cluster.advance(6)
    assert find_scheduler(cluster).schedule.is_settled
    assert count_running(cluster) == 12


def test_a_leader_that_reads_its_key_no_more_is_replaced():
    cluster, names = start_cluster(entries=3)
    fail_calls(cluster, reads_leader_key, names[0])
    lose_instances(cluster, "i0", "i1")
    cluster.advance(15)
    assert cluster.leader() != names[0]
    assert count_running(cluster) == 12


def test_an_instance_that_is_never_listed_lapses_though_it_answers_other_calls():
    cluster, names = start_cluster(entries=3)
    cluster.lost_calls.add(("i0", "list"))
    cluster.advance(7)
    assert count_running(cluster) == 12
    assert find_scheduler(cluster).schedule.is_settled


def test_a_leader_settles_though_an_instance_is_never_listed():
    cluster, names = start_cluster(entries=3)
    cluster.lost_calls.add(("i0", "list"))
    cluster.kill_entries(names[0])
    cluster.advance(RECOVERY_S)
    assert count_running(cluster) == 12
    assert find_scheduler(cluster).schedule.is_settled


@pytest.mark.parametrize("key", [JOBS_PREFIX, JOB_PROGRESS_PREFIX, FLEET_KEY])
def test_a_leader_settles_soon_after_the_store_has_answered(key):
    cluster, names = start_cluster(entries=3)
    cluster.add_removed_jobs("i0", 40)
    cluster.store.failing_prefix = cluster.store.failing_puts = key
    lose_instances(cluster, "i1")
    cluster.kill_entries(names[0])
    cluster.advance(15)
    cluster.store.failing_prefix = cluster.store.failing_puts = ""
    cluster.advance(3)
    assert find_scheduler(cluster).schedule.is_settled
    assert count_running(cluster) == 12
    assert not cluster.find_breaches()


def test_an_electorate_that_can_not_be_written_holds_up_no_task():
    cluster, names = start_cluster(entries=3)
    cluster.store.failing_puts = JOB_ELECTORATE_KEY
    lose_instances(cluster, "i0", "i1")
    cluster.kill_entries(names[0])
    cluster.advance(RECOVERY_S)
    assert count_running(cluster) == 12


@define(eq=False)
class ReplacedInstance:
    """An instance whose address another one has, which refuses its calls."""

    earlier: object

    def __getattr__(self, name):
        return getattr(self.earlier, name)

    def refuse(self, *_):
        reason = RefusalReason.OTHER_INCARNATION.value
        raise WorkerRefusedError("not this one", "no action needed", reason)

    start = stop = set_pace = renew_and_list = refuse


@pytest.mark.parametrize("loses_leader", [False, True])
@pytest.mark.parametrize("is_registered", [False, True])
def test_an_instance_whose_address_another_has_lapses(loses_leader, is_registered):
    cluster, names = start_cluster(entries=3)
    cluster.instances["i0"].crash()
    cluster.instances["i0"] = ReplacedInstance(cluster.instances["i0"])
    if not is_registered:
        cluster.unregister_instance("i0")
        cluster.advance(0.5)
    if loses_leader:
        cluster.kill_entries(names[0])
    cluster.advance(RECOVERY_S)
    assert find_scheduler(cluster).schedule.is_settled
    assert count_running(cluster) == 12
    cluster.call_counts.clear()
    cluster.advance(5)
    assert not cluster.call_counts["i0", "list"]


def replace_instance(cluster, name, successor):
    """Crash an instance; another one registers and takes its address."""
    cluster.instances[name].crash()
    cluster.instances[name] = ReplacedInstance(cluster.instances[name])
    cluster.unregister_instance(name)
    cluster.add_instance(successor)


# Failure: each crash of a listed instance starts the wait of a new leader anew.
@pytest.mark.parametrize("gap", [1, 3, 5])
def test_a_leader_settles_while_one_instance_after_another_is_replaced(gap):
    cluster, names = start_cluster(entries=3, instances=16)
    lose_instances(cluster, "i15")
    cluster.kill_entries(names[0])
    cluster.advance(2)
    for number in range(RECOVERY_S // gap):
        replace_instance(cluster, f"i{number}", f"i{16 + number}")
        cluster.advance(gap)
    is_settled = find_scheduler(cluster).schedule.is_settled
    assert is_settled
    cluster.advance(RECOVERY_S)
    assert count_running(cluster) == 12
    assert not cluster.find_breaches()
