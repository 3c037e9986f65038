"""What a scheduler concludes from records, listings and answers that it lacks."""

import datetime as dt

import pytest
from attrs import evolve

from fighead.codec import to_json
from fighead.decisions import instance_tracking
from fighead.decisions.schedule_state import Schedule
from fighead.exceptions import StoreOutcomeUnknownError
from fighead.job import JobConfig, JobSpec, Stage
from fighead.run import RegisteredInstance
from fighead.standins.simulated_job_instance import restart
from fighead.store import FLEET_KEY, JOBS_PREFIX, Txn
from job_cluster import QUEUES, START_TIME, JobCluster
from memory_store import MemoryStore

LASTING_JOB = JobSpec("w", (Stage(count=4, cpu=1000, memory_mb=1, is_lasting=True),))
LEASE = dt.timedelta(seconds=6)


def job_id(number):
    return f"{number:016x}"


@pytest.fixture
def cluster():
    cluster = JobCluster()
    cluster.advance(2)
    return cluster


def used_instances(cluster):
    return sorted({e.instance_id for e in cluster.history if e.event == "started"})


def count_running(cluster, *names):
    """Return the number of running tasks of instances."""
    listings = (
        cluster.instances[name].renew_and_list(cluster.instances[name].fence, 0, 0)
        for name in names
    )
    return sum(len(listing.running) for listing in listings)


def hold_fleet_write_without(monkeypatch, name):
    """Let the first write of a record without an instance get no answer.

    Returns the list that then contains this write.
    """
    held, call = [], MemoryStore.call

    async def call_or_hold(store, req, timeout):
        puts = req.success if isinstance(req, Txn) else ()
        is_meant = any(p.key == FLEET_KEY and f'"{name}"' not in p.value for p in puts)
        if is_meant and not held:
            held.append(req)
            raise StoreOutcomeUnknownError("no answer", "repeat it")
        return await call(store, req, timeout)

    monkeypatch.setattr(MemoryStore, "call", call_or_hold)
    return held


def test_a_fleet_write_carried_out_late_does_not_hide_an_instance_in_use(
    cluster, monkeypatch
):
    held = hold_fleet_write_without(monkeypatch, "i0")
    cluster.silent_instances.add("i0")
    cluster.store.remove("servers/i0")
    cluster.advance(9)
    assert held
    cluster.silent_instances.clear()
    cluster.register_instance("i0")
    cluster.advance(2)
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    cluster.advance(2)
    assert "i0" in used_instances(cluster)
    # The store carries out the first write now if its condition still holds.
    cluster.store._commit(held[0])
    cluster.silent_instances.add("i0")
    cluster.kill_entries(cluster.leader())
    cluster.advance(15)
    assert not cluster.find_breaches()


@pytest.mark.parametrize("value", ["{", "{}", '{"State":[]}'])
def test_a_fleet_record_of_another_writer_is_no_proof_that_nothing_runs(cluster, value):
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    cluster.advance(2)
    cluster.silent_instances.add("i0")
    cluster.kill_entries(cluster.leader())
    cluster.store.put(FLEET_KEY, value)
    cluster.advance(15)
    assert "i0" in used_instances(cluster)
    assert not cluster.find_breaches()


def test_lasting_tasks_of_a_crashed_instance_run_again_soon_after_an_election(cluster):
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    cluster.advance(2)
    assert "i0" in used_instances(cluster)
    # The registration of a crashed instance is removed after three intervals of 1.5 s.
    cluster.silent_instances.add("i0")
    cluster.advance(4)
    cluster.kill_entries(cluster.leader())
    cluster.advance(0.5)
    cluster.store.remove("servers/i0")
    # Calm counts from 3 s after the last fault; an idle task from 4 s of calm, for 3 s.
    cluster.advance(9.5)
    assert not cluster.find_breaches()
    assert count_running(cluster, "i1", "i2", "i3") == 4


def test_no_scheduler_settles_while_a_listing_of_a_reached_instance_is_pending():
    schedule = Schedule(2, 10, START_TIME)
    instance = RegisteredInstance("i0", "1", "i0", "mill")
    instance_tracking.add_instance(schedule, instance, START_TIME)
    instance_tracking.set_inherited_fleet(schedule, ("i0",))
    bound = schedule.instances["i0"].leases_end_at
    # Its first listing waits for a job; the next call renews the leases meanwhile.
    instance_tracking.record_instance_contact(
        schedule.instances["i0"], None, LEASE, START_TIME
    )
    schedule.predecessors_end, schedule.sole_at = START_TIME, bound
    instance_tracking.update_instances(schedule, LEASE, bound)
    assert not schedule.is_settled


def test_a_config_that_drops_an_upstream_does_not_delay_jobs_after_an_election(cluster):
    cluster.store.put("op/config", to_json(JobConfig(2, QUEUES, ("mill", "extra"))))
    cluster.advance(1)
    cluster.add_instance("i8")
    simulated = cluster.instances["i8"]
    simulated.instance = evolve(simulated.instance, upstream="extra")
    cluster.register_instance("i8")
    cluster.advance(2)
    cluster.store.put("op/config", to_json(JobConfig(3, QUEUES, ("mill",))))
    cluster.advance(1)
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    cluster.kill_entries(cluster.leader())
    # The leader's key lapses after 2 s, and an election takes up to 0.4 s.
    cluster.advance(7)
    assert count_running(cluster, "i0", "i1", "i2", "i3") == 4


def test_an_unreadable_job_record_does_not_stop_all_other_jobs(cluster):
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    cluster.advance(2)
    cluster.store.put(JOBS_PREFIX + job_id(1), "{")
    stage = Stage(count=2, cpu=1000, memory_mb=1, estimate_ms=400)
    cluster.submit(job_id(2), JobSpec("x", (stage,)))
    cluster.kill_entries(cluster.leader())
    cluster.advance(20)
    assert any(e.task.job_id == job_id(2) for e in cluster.history)


def test_a_start_that_the_next_incarnation_carries_out_is_not_repeated_elsewhere(
    cluster,
):
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    # The start is under way; it arrives at the next incarnation, which has not
    # registered yet.
    cluster.instances["i0"] = restart(cluster.instances["i0"], "2")
    cluster.advance(10)
    assert "i0" in used_instances(cluster)
    assert not cluster.find_breaches()


# Failure: a leader that reaches the store and hears nothing renews its key for ever. It
# has no authority to act, and nobody else is elected.
def test_a_leader_that_hears_nothing_is_replaced(cluster):
    cluster.submit(job_id(1), LASTING_JOB, "watches")
    cluster.advance(2)
    leader = cluster.leader()
    cluster.deaf_entries.add(leader)
    cluster.advance(14)
    leading = {
        name: entry.entry.leadership.may_act()
        for name, entry in cluster.entries.items()
        if entry.entry.leadership.is_leading
    }
    assert leading.keys() - {leader} and not leading.get(leader)
    assert count_running(cluster, "i0", "i1", "i2", "i3") == 4
    cluster.deaf_entries.clear()
    cluster.advance(10)
    assert not cluster.find_breaches()
