"""Hand-overs beside restarts, cuts and outages, and over a chain of leaders."""

import datetime as dt
import random

import pytest

from fighead.codec import from_json
from fighead.decisions import handover, instance_tracking, job_lifecycle, regrouping
from fighead.decisions.handover import Handover
from fighead.decisions.schedule_state import InheritedRuns
from fighead.job import JobSpec, Stage, TaskKey
from fighead.mailbox import Mailbox
from fighead.run import StartRun
from fighead.tasks.recorder import JobsRecorded, LeadershipLost
from fighead.tasks.scheduler import SchedulerTask
from job_builders import (
    JOB_ID,
    LEASE,
    add_instance,
    add_job,
    at_seconds,
    ended_run,
    listed_run,
    make_schedule,
    receive_listing,
    task_key,
)
from job_cluster import JobCluster, cut_off, reconnect

LASTING = Stage(count=8, cpu=2000, is_lasting=True)
CHAIN = JobSpec("x", (Stage(4, 500, estimate_ms=700), Stage(4, 500, after=(0,))))


def job_id(number):
    return f"{number:016x}"


def restart_when_stopped(cluster):
    def restart(name):
        cluster.kill_entries(name)
        cluster.start_entry(name)

    cluster.on_end = restart


def disturb(cluster, rng):
    """Stop, kill, freeze or cut off the leader, and disturb instances."""
    leader = cluster.leader()
    kind = rng.choice(["stop", "stop", "stop", "kill", "cut", "freeze", "none"])
    if leader is not None:
        process = cluster.entries[leader]
        if kind == "stop":
            process.entry.stop()
        elif kind == "kill":
            cluster.kill_entries(leader)
            cluster.start_entry(leader)
        elif kind == "cut":
            names = {leader, *rng.sample(list(cluster.entries), 2)}
            instances = rng.sample(list(cluster.instances), rng.choice([1, 2, 4]))
            cut_off(cluster, names, instances)
        elif kind == "freeze":
            process.gate.is_frozen = True
            pause = dt.timedelta(seconds=rng.choice([1, 3, 7]))
            cluster.clock.call_later(pause, process.gate.unfreeze)
            if rng.random() < 0.5:
                wake = pause - dt.timedelta(milliseconds=10)
                cluster.clock.call_later(wake, process.entry.stop)
    cluster.silent_instances = {
        name for name in cluster.instances if rng.random() < 0.15
    }
    if rng.random() < 0.4:
        cluster.crash_instance(rng.choice(list(cluster.instances)))


def is_old(schedule):
    return schedule.latest_term % 2 == 1


def let_old_versions_lead(monkeypatch):
    """Let leaders of odd terms neither read nor write what a leader leaves."""
    find_bounds = instance_tracking.find_bounds_to_store
    describe = SchedulerTask.describe_handover

    def choose(function, other):
        return lambda schedule, *args: (
            other if is_old(schedule) else function(schedule, *args)
        )

    for name in ("inherit_handover", "inherit_lease_bounds"):
        monkeypatch.setattr(handover, name, choose(getattr(handover, name), False))
    monkeypatch.setattr(
        instance_tracking, "find_bounds_to_store", choose(find_bounds, {})
    )
    monkeypatch.setattr(
        SchedulerTask,
        "describe_handover",
        lambda self: None if is_old(self.schedule) else describe(self),
    )


@pytest.mark.parametrize("seed", range(20, 30))
def test_no_task_runs_twice_where_leaders_of_two_versions_change(seed, monkeypatch):
    let_old_versions_lead(monkeypatch)
    play_row_of_changes(seed)


@pytest.mark.parametrize("seed", range(20))
def test_no_task_runs_twice_in_a_row_of_changes_beside_restarts_and_cuts(seed):
    play_row_of_changes(seed)


def play_row_of_changes(seed):
    cluster = JobCluster(
        seed=seed, entry_names=tuple(f"e{n}" for n in range(5)), instance_count=6
    )
    rng = random.Random(seed)
    cluster.submit(job_id(1), JobSpec("x", (LASTING,)))
    cluster.advance(3)
    restart_when_stopped(cluster)
    for number in range(2, 22):
        if rng.random() < 0.5:
            reconnect(cluster)
        disturb(cluster, rng)
        failing = rng.sample(range(CHAIN.stages[0].count), rng.choice([0, 0, 1]))
        cluster.failing_tasks |= {(job_id(number), index) for index in failing}
        cluster.submit(job_id(number), CHAIN)
        cluster.advance(rng.choice([0.5, 1, 2, 4]))
    reconnect(cluster)
    cluster.silent_instances = set()
    cluster.advance(25)
    assert not cluster.find_breaches()
    assert not cluster.find_overdue_leaders()
    assert cluster.entries[cluster.leader()].entry.scheduler.schedule.is_settled


# What a leader leaves.


# Failure: a run that may start late at the next incarnation of an instance is left out,
# if the leader before left what the instance had then.
def test_runs_of_an_instance_that_restarts_before_a_second_hand_over_are_left():
    schedule = make_schedule(("i1", "i2"), term=2)
    schedule.inherited_runs["i1"] = InheritedRuns()
    add_job(schedule, LASTING)
    receive_listing(schedule, "i1", [listed_run(task_key(0), 1)])
    state = schedule.instances["i1"]
    instance_tracking.reset_after_restart(state, LEASE, at_seconds(2))
    left = handover.build_handover(schedule, LEASE, (), at_seconds(3))
    assert str(task_key(0)) in left.instances["i1"].tasks


# Failure: a successor takes the leases of a restarted instance for ended before the
# start of a run that may still arrive there has run out.
def test_the_end_of_leases_that_is_left_covers_starts_that_may_arrive_late():
    schedule = make_schedule(("i1",))
    schedule.predecessors_end = at_seconds(0)
    add_job(schedule, LASTING)
    state = schedule.instances["i1"]
    receive_listing(schedule, "i1", [listed_run(task_key(0), 1)])
    (run,) = state.runs.values()
    run.ordered_at, run.may_start_late = at_seconds(1), True
    instance_tracking.reset_after_restart(state, LEASE, at_seconds(2))
    schedule.sole_at = now = at_seconds(5)
    for find in (
        instance_tracking.find_bounds_to_leave,
        instance_tracking.find_bounds_to_store,
    ):
        assert find(schedule, LEASE, now)["i1"] >= run.late_until


# Failure: instances that have left and jobs that have ended stay in the record.
def test_a_record_does_not_grow_over_a_chain_of_hand_overs():
    left = None
    for term in range(1, 30):
        names = (f"i{term}", f"i{term + 1}")
        schedule = make_schedule((), term=term)
        schedule.is_settled = False
        if left is not None:
            assert handover.inherit_handover(schedule, left, at_seconds(0))
        # The instance of the number of the term before has left since.
        instance_tracking.set_inherited_fleet(schedule, names[:1])
        for name in names:
            add_instance(schedule, name)
        end = ended_run(1, task_key(job_id=f"job{term}"), 1)
        receive_listing(schedule, names[1], (), [end])
        receive_listing(schedule, names[0])
        schedule.is_settled = True
        left = handover.build_handover(schedule, LEASE, [f"job{term}"], at_seconds(2))
    assert len(left.instances) <= 3
    assert len(left.unsaved_jobs) <= 2


# Failure: a leader can't step down as planned while an instance lists a run whose name
# can be no task's.
def test_a_run_with_an_odd_name_is_not_left():
    schedule = make_schedule(("i1",))
    add_job(schedule, LASTING)
    odd = [
        TaskKey("no job", 0, 0, 0),
        TaskKey("", 0, 0, 0),
        TaskKey(JOB_ID, -1, 0, 0),
        TaskKey(JOB_ID, 0, 10**9, 0),
    ]
    runs = [listed_run(key, 1) for key in (*odd, task_key(0))]
    receive_listing(schedule, "i1", runs)
    left = handover.build_handover(schedule, LEASE, (), at_seconds(2))
    assert left.instances["i1"].tasks == (str(task_key(0)),)


def make_leaving_instance():
    """Return a schedule and the state of ``i2``, which is not registered any more."""
    schedule = make_schedule(("i1", "i2"), term=2)
    instance_tracking.unregister_instances(schedule, ("i2",))
    return schedule, schedule.instances["i2"]


def test_an_instance_that_has_not_been_listed_stays_in_the_fleet():
    schedule, state = make_leaving_instance()
    state.is_listed = state.is_reachable = False
    assert "i2" in instance_tracking.fleet_to_store(schedule, LEASE)
    schedule.is_settled = False
    assert "i2" in instance_tracking.fleet_to_store(schedule, LEASE)


@pytest.mark.parametrize("is_known", [True, False])
def test_an_instance_with_a_run_stays_in_the_fleet(is_known):
    schedule, _ = make_leaving_instance()
    if is_known:
        add_job(schedule, LASTING)
    receive_listing(schedule, "i2", [listed_run(task_key(0), 1)])
    assert "i2" in instance_tracking.fleet_to_store(schedule, LEASE)


def test_a_leader_that_is_not_alone_tells_its_successor():
    schedule = make_schedule(("i1",), term=2)
    left = handover.build_handover(schedule, LEASE, (), at_seconds(5))
    schedule.predecessors_end = at_seconds(4)
    assert handover.build_handover(schedule, LEASE, (), at_seconds(5)).was_sole
    assert not left.was_sole


@pytest.mark.parametrize("was_sole", [True, False])
def test_a_successor_waits_for_leaders_before_unless_the_last_was_alone(was_sole):
    schedule = make_schedule((), term=3)
    handover.inherit_handover(schedule, Handover(2, was_sole), at_seconds(0))
    now = at_seconds(1)
    assert instance_tracking.has_sole_authority(schedule, now) == was_sole


# Failure: a filler that a new leader has taken for waiting and then found done makes
# it move a serving task for another that has just come to wait.
def test_a_filler_that_is_done_is_not_waiting():
    schedule = make_schedule(("i1",))
    stage = add_job(schedule, Stage(2, 100, 1, is_filler=True)).stages[0, 0]
    for task in stage.tasks:
        task.waiting_since = at_seconds(-6)
    receive_listing(schedule, "i1", (), [ended_run(1, task_key(0), 1)])
    stage.tasks[1].waiting_since = at_seconds(2)
    assert not regrouping._is_filler_waiting(schedule, at_seconds(2))


# Failure: a filler that was accepted just before a hand-over starts where it does harm,
# or moves a serving task, as if it had waited for long.
def test_a_task_of_an_earlier_leader_has_not_waited_longer_than_its_job():
    schedule = make_schedule(("i1",), term=2)
    schedule.fence = 9
    record = add_job(make_schedule(), Stage(1, 100, 1, is_filler=True)).record
    now = at_seconds(0.5)
    schedule.wall_offset = dt.timedelta()
    job_lifecycle.add_job(schedule, record, 7, now)
    assert not regrouping._is_filler_waiting(schedule, now)
    (task,) = schedule.jobs[JOB_ID].stages[0, 0].tasks
    assert task.waiting_since == at_seconds(0)


# Whole entries.


def run_lasting_job(entries=5, instances=4):
    cluster = JobCluster(
        entry_names=tuple(f"e{n}" for n in range(entries)), instance_count=instances
    )
    cluster.submit(job_id(1), JobSpec("x", (LASTING,)))
    cluster.advance(4)
    return cluster


# Failure: an instance that is silent for some seconds in an outage of the store gets no
# leases and no work until the store is back.
def test_runs_go_on_where_an_instance_is_silent_for_a_moment_in_an_outage():
    cluster = run_lasting_job()
    for process in cluster.entries.values():
        process.store.is_cut = process.store.is_watch_silent = True
    cluster.advance(3)
    cluster.silent_instances.add("i0")
    cluster.advance(3)
    cluster.silent_instances.clear()
    cluster.advance(20)
    lapsed = [event for event in cluster.history if event.event == "lapsed"]
    assert not lapsed


# Failure: an answer under an earlier fence hides that a later write of the same job is
# under way, and the successor takes its stored progress for complete.
def test_a_job_whose_later_write_is_under_way_is_left_as_unsaved():
    scheduler, requests = start_write()
    scheduler._update_fence(scheduler.schedule.fence + 1)
    flush(scheduler)
    first, second = requests
    assert second.writes
    revisions = {job_id(1): 1}
    scheduler._handle_recorded(
        JobsRecorded(first.fence, first.writes, revisions, is_last=True)
    )
    assert from_json(scheduler.describe_handover(), Handover).unsaved_jobs == (
        job_id(1),
    )


# Failure: the ends of runs are acknowledged although the write of their effects was
# refused, so a successor starts their tasks again.
def test_ends_are_not_acknowledged_after_their_write_was_refused():
    scheduler, requests = start_write()
    scheduler.schedule.instances["i0"].last_end_sequence = 5
    scheduler._handle(LeadershipLost(requests[0].fence))
    flush(scheduler)
    assert scheduler.agents["i0"]._acknowledged_sequence == 0
    scheduler._update_fence(scheduler.schedule.fence + 1)
    flush(scheduler)
    assert [write.job_id for write in requests[1].writes] == [job_id(1)]
    assert requests[1].end_sequences["i0/1"] == 5


def start_write():
    """Return a scheduler, and the writes that it requests, which stay under way."""
    cluster = run_lasting_job()
    scheduler = cluster.entries[cluster.leader()].entry.scheduler
    scheduler._recorder.mailbox = Mailbox("captured writes")
    scheduler.schedule.unsaved_jobs.add(job_id(1))
    flush(scheduler)
    return scheduler, scheduler._recorder.mailbox._messages


def flush(scheduler):
    scheduler._flushed_at = None
    scheduler._flush(scheduler.clock.now())


def test_a_start_that_arrives_late_after_a_second_hand_over_runs_alone():
    cluster = run_lasting_job(instances=3)
    cluster.entries[cluster.leader()].entry.stop()
    cluster.advance(1)
    leader = cluster.leader()
    schedule = cluster.entries[leader].entry.scheduler.schedule
    assert schedule.inherited_runs.keys() == cluster.instances.keys()
    # The tasks of i1 are moved, and those for i0 get no answer.
    cluster.lost_calls = {("i0", "start"), ("i0", "stop")}
    known = set(schedule.instances["i0"].runs)
    cluster.drain_instance("i1", 60_000)
    cluster.advance(0.3)
    late = [
        run for key, run in schedule.instances["i0"].runs.items() if key not in known
    ]
    assert late
    fence = schedule.fence_for(schedule.instances["i0"])
    cluster.lost_paths = {(name, "i0") for name in cluster.entries}
    cluster.crash_instance("i0")
    cluster.add_instance("i3")
    cluster.advance(0.3)
    cluster.entries[leader].entry.stop()
    cluster.advance(2)
    lease_until_ms = cluster.instances["i0"].renew_and_list(0, 0, 0).clock_ms + 5000
    for run in late:
        order = StartRun(run.key, run.number, "x")
        cluster.instances["i0"].start(order, lease_until_ms, fence)
    cluster.advance(1)
    assert not cluster.find_breaches()
