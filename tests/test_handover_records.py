"""What a leader leaves to its successor, and what that may conclude from it."""

import datetime as dt
import json

import pytest
from attrs import evolve

from fighead.codec import from_json, to_json
from fighead.decisions import handover, instance_tracking, placement
from fighead.decisions.handover import Handover, LeaseBounds, PossibleRuns
from fighead.exceptions import RequestError
from fighead.job import JobPhase, JobSpec, Stage
from fighead.run import EndKind
from fighead.store import HANDOVER_KEY, JOB_LEASES_KEY
from job_builders import (
    JOB_ID,
    LEASE,
    add_instance,
    add_job,
    at_seconds,
    ended_run,
    listed_run,
    make_schedule,
    orders_in,
    receive_listing,
    task_key,
)
from job_cluster import JobCluster

LASTING = Stage(count=4, cpu=1000, is_lasting=True)
#: Latest end of leases that were extended until the election, in seconds after it.
LEASES_S = 6.4


def make_successor(term=2, fleet=("i1", "i2")):
    """Return the schedule of a new leader that has listed ``i1`` and not ``i2``."""
    schedule = make_schedule((), term=term)
    schedule.is_settled = False
    for name in fleet:
        state = add_instance(schedule, name)
        state.is_reachable = state.is_listed = name == "i1"
    instance_tracking.set_inherited_fleet(schedule, fleet)
    schedule.sole_at = schedule.predecessors_end = at_seconds(0)
    add_job(schedule, LASTING)
    return schedule


def find_started(schedule, at=1.0):
    """Return the indexes of the tasks that the next round starts."""
    instance_tracking.update_instances(schedule, LEASE, at_seconds(at))
    orders = orders_in(placement.place_waiting_tasks(schedule, at_seconds(at)))
    return sorted(order.task.index for order in orders)


def leave(instances, term=1, **fields):
    return Handover(term, True, instances, **fields)


def inherit(schedule, left, at=0.0):
    return handover.inherit_handover(schedule, left, at_seconds(at))


# What a successor concludes.


def test_only_tasks_that_may_run_on_an_instance_out_of_reach_wait():
    schedule = make_successor()
    names = (str(task_key(1)), str(task_key(3)))
    assert inherit(schedule, leave({"i1": PossibleRuns(), "i2": PossibleRuns(names)}))
    assert find_started(schedule) == [0, 2]
    schedule.sole_at = at_seconds(LEASES_S)
    assert find_started(schedule, LEASES_S) == [1, 3]


@pytest.mark.parametrize(
    "left",
    [
        leave({"i1": PossibleRuns(), "i2": PossibleRuns()}, term=0),
        leave({"i1": PossibleRuns(), "i2": PossibleRuns()}, term=2),
        leave({"i1": PossibleRuns()}),
    ],
    ids=["earlier term", "own term", "instance left out"],
)
def test_all_tasks_wait_without_a_record_of_the_leader_before(left):
    schedule = make_successor()
    inherit(schedule, left)
    assert find_started(schedule) == []


def test_tasks_of_a_job_whose_progress_was_not_stored_wait_for_its_ends():
    schedule = make_successor()
    inherit(
        schedule,
        leave({"i2": PossibleRuns((), True)}, unsaved_jobs=(JOB_ID,)),
    )
    assert find_started(schedule) == []
    inherit(schedule, leave({"i2": PossibleRuns()}, unsaved_jobs=(JOB_ID,)))
    assert find_started(schedule) == [0, 1, 2, 3]


def test_a_task_that_was_seen_running_starts_again_once_its_run_has_ended():
    schedule = make_successor()
    receive_listing(schedule, "i1", [listed_run(task_key(2), 1)])
    assert find_started(schedule) == []
    receive_listing(schedule, "i1", (), [ended_run(1, task_key(2), 1)], at=1.1)
    assert find_started(schedule, 1.2) == [2]


def test_a_task_with_a_known_failure_waits_for_unknown_ones():
    schedule = make_successor()
    schedule.jobs.clear()
    add_job(schedule, Stage(count=2, cpu=1000, estimate_ms=1000))
    receive_listing(schedule, "i1", [listed_run(task_key(1), 1)])
    end = ended_run(1, task_key(1), 1, EndKind.FAILED)
    receive_listing(schedule, "i1", (), [end], at=1.1)
    assert find_started(schedule, 1.2) == []


def test_a_stage_that_opens_under_the_new_leader_starts():
    schedule = make_successor()
    schedule.jobs.clear()
    add_job(
        schedule,
        Stage(count=1, cpu=1000, estimate_ms=1000),
        Stage(count=2, cpu=1000, estimate_ms=1000, after=(0,)),
    )
    receive_listing(schedule, "i1", [listed_run(task_key(0), 1)])
    receive_listing(schedule, "i1", (), [ended_run(1, task_key(0), 1)], at=1.1)
    assert find_started(schedule, 1.2) == [0, 1]


def test_a_stage_that_the_leader_before_may_have_opened_waits():
    schedule = make_successor()
    schedule.jobs.clear()
    add_job(
        schedule,
        Stage(count=1, cpu=1000, estimate_ms=1000),
        Stage(count=2, cpu=1000, estimate_ms=1000, after=(0,)),
    )
    receive_listing(schedule, "i1", (), [ended_run(1, task_key(0), 1)], at=1.1)
    assert find_started(schedule, 1.2) == []


# Ends of leases.


def test_the_end_of_leases_is_inherited_from_the_leader_before_alone():
    bounds = LeaseBounds(1, {"i2": 2000})
    schedule = make_successor()
    assert handover.inherit_lease_bounds(schedule, bounds, at_seconds(-1))
    schedule.sole_at = at_seconds(1)
    assert find_started(schedule) == [0, 1, 2, 3]
    schedule = make_successor(term=3)
    assert not handover.inherit_lease_bounds(schedule, bounds, at_seconds(-1))
    schedule.sole_at = at_seconds(1)
    assert find_started(schedule) == []


def test_an_end_of_leases_that_is_later_than_this_leader_can_tell_is_no_wait():
    schedule = make_successor()
    handover.inherit_lease_bounds(
        schedule, LeaseBounds(1, {"i2": 60_000}), at_seconds(0)
    )
    schedule.sole_at = at_seconds(8)
    assert find_started(schedule, 8) == [0, 1, 2, 3]


def test_ends_of_leases_are_kept_over_a_chain_of_leaders():
    bound, now = at_seconds(LEASES_S), at_seconds(0)
    left = LeaseBounds(1, handover.encode_bounds({"i2": bound}, now))
    for term in range(2, 12):
        now += dt.timedelta(seconds=0.5)
        schedule = make_successor(term=term)
        schedule.elected_at = schedule.predecessors_end = now
        handover.inherit_lease_bounds(schedule, left, now - dt.timedelta(seconds=0.5))
        bounds = instance_tracking.find_bounds_to_leave(schedule, LEASE, now)
        left = LeaseBounds(term, handover.encode_bounds(bounds, now))
    assert 1400 <= left.leases_ms["i2"] <= 1420


def test_leases_of_an_instance_that_has_just_fallen_silent_are_left_out():
    schedule = make_schedule(("i1",))
    state = schedule.instances["i1"]
    instance_tracking.record_instance_contact(state, None, LEASE, at_seconds(1))
    instance_tracking.record_silence(state, at_seconds(5))
    for second, names in ((5.0, []), (6.9, []), (7.0, ["i1"])):
        found = instance_tracking.find_bounds_to_leave(
            schedule, LEASE, at_seconds(second)
        )
        assert list(found) == names


def test_nothing_is_placed_on_an_instance_whose_leases_are_not_extended():
    schedule = make_schedule(("i1",))
    instance_tracking.set_stored_records(schedule, ["i1"], {"i1": at_seconds(9)})
    state = schedule.instances["i1"]
    obstacle = placement.find_obstacle(state, at_seconds(1))
    assert obstacle is placement.Obstacle.NOT_IN_STORED_FLEET
    instance_tracking.set_stored_records(schedule, ["i1"], {})
    assert placement.find_obstacle(state, at_seconds(1)) is None


# What a leader leaves.


def test_a_leader_leaves_its_runs_unwanted_ones_and_those_it_inherited():
    schedule = make_schedule(("i1", "i2", "i3"), term=4)
    add_job(schedule, LASTING)
    receive_listing(
        schedule,
        "i1",
        [listed_run(task_key(0), 1), listed_run(task_key(0, job_id="gone"), 1)],
    )
    receive_listing(schedule, "i2", (), [ended_run(1, task_key(1), 1)])
    for name in ("i3", "i4"):
        schedule.inherited_runs[name] = evolve(
            handover.InheritedRuns(), tasks=frozenset([task_key(2)])
        )
    schedule.instances["i3"].is_listed = False
    schedule.latest_term = 6
    left = handover.build_handover(schedule, LEASE, {JOB_ID}, at_seconds(1))
    assert left.term == 6 and left.unsaved_jobs == (JOB_ID,)
    assert left.instances == {
        "i1": PossibleRuns(("5c0e7a21d94b36f8.0.0.0", "gone.0.0.0")),
        "i2": PossibleRuns((), True),
        "i3": PossibleRuns(("5c0e7a21d94b36f8.0.0.2",)),
        "i4": PossibleRuns(("5c0e7a21d94b36f8.0.0.2",)),
    }
    assert from_json(to_json(left), Handover) == left


def test_an_instance_of_which_any_run_may_be_unknown_is_left_out():
    schedule = make_schedule(("i1", "i2"))
    schedule.instances["i2"].is_listed = False
    left = handover.build_handover(schedule, LEASE, (), at_seconds(1))
    assert left.instances.keys() == {"i1"}


def test_a_record_holds_no_more_runs_than_it_may(monkeypatch):
    monkeypatch.setattr(handover, "MAX_RUNS", 3)
    schedule = make_schedule(("i1", "i2", "i3"))
    add_job(schedule, Stage(count=6, cpu=100, is_lasting=True))
    for number, name in enumerate(("i1", "i2", "i3")):
        runs = [listed_run(task_key(2 * number + n), 1) for n in range(2)]
        receive_listing(schedule, name, runs)
    drained = schedule.instances["i3"]
    drained.instance = evolve(drained.instance, is_draining=True)
    left = handover.build_handover(schedule, LEASE, (), at_seconds(1))
    assert left.instances.keys() == {"i3"}


def test_an_instance_that_left_without_runs_leaves_the_fleet():
    schedule = make_schedule(("i1", "i2", "i3"))
    for name in ("i2", "i3"):
        instance_tracking.unregister_instances(schedule, (name,))
    receive_listing(schedule, "i3", (), [ended_run(1, task_key(0, job_id="gone"), 1)])
    fleet = instance_tracking.fleet_to_store(schedule, LEASE)
    # Ends of i3 are not stored: the next leader must list them.
    assert fleet == {"i1", "i3"}
    schedule.instances["i3"].stored_end_sequence = 1
    assert instance_tracking.fleet_to_store(schedule, LEASE) == {"i1"}


# Records that can't be read.

ODD_HANDOVERS = [
    "",
    "{}",
    "[5]",
    '{"term":"x"}',
    '{"term":1,"instances":5}',
    '{"term":1,"instances":{"i0":{"tasks":["a.b"]}}}',
    '{"term":1,"instances":{"i0":{"tasks":["a.0.0.x"]}}}',
    '{"term":1,"instances":{"i0":{"tasks":["a.0.0.99999999999999999999"]}}}',
    '{"term":1,"leases_ms":{"i0":-1}}',
    '{"term":1,"leases_ms":{"i0":1e300}}',
    '{"term":1,"leases_ms":{"i0":600001}}',
]


@pytest.mark.parametrize("value", ODD_HANDOVERS)
def test_an_odd_record_is_not_read(value):
    with pytest.raises(RequestError):
        from_json(value, Handover)


@pytest.mark.parametrize("key", [HANDOVER_KEY, JOB_LEASES_KEY])
def test_odd_records_of_the_leader_before_stop_no_work(key):
    job = JobSpec("x", (Stage(count=8, cpu=500, estimate_ms=400),))
    for value in ODD_HANDOVERS:
        cluster = JobCluster()
        cluster.store.put(key, value)
        cluster.kill_entries(cluster.leader())
        cluster.advance(6)
        cluster.submit(f"{1:016x}", job)
        cluster.advance(3)
        assert cluster.find_phase(f"{1:016x}") is JobPhase.COMPLETED, value


# Whole entries.

LASTING_JOB = JobSpec("x", (Stage(count=8, cpu=2000, is_lasting=True),))


def find_stored(cluster, key):
    return cluster.store.items[key].value


def start_cluster(entries=5, instances=4):
    cluster = JobCluster(
        entry_names=tuple(f"e{n}" for n in range(entries)), instance_count=instances
    )
    cluster.submit(
        f"{1:016x}", JobSpec("x", (Stage(count=8, cpu=2000, is_lasting=True),))
    )
    cluster.advance(4)
    return cluster


def test_runs_on_an_instance_that_is_cut_off_at_a_hand_over_go_on_alone():
    cluster = start_cluster()
    cluster.lost_paths = {(name, "i0") for name in cluster.entries}
    cluster.entries[cluster.leader()].entry.stop()
    cluster.advance(14)
    assert not cluster.find_breaches()
    started = {e.task for e in cluster.history if e.event == "started"}
    lapsed = {e.task for e in cluster.history if e.event == "lapsed"}
    assert len(started) == 8 and lapsed


def test_leases_that_the_store_says_to_end_are_not_extended():
    cluster = start_cluster()
    leader = cluster.leader()
    cluster.silent_instances.add("i0")
    cluster.advance(3)
    record = json.loads(find_stored(cluster, JOB_LEASES_KEY))
    assert record["leases_ms"].keys() == {"i0"}
    # The leader reaches the instance again, and can't rewrite the record.
    cluster.entries[leader].store.is_cut = True
    cluster.silent_instances.clear()
    cluster.advance(1)
    cluster.kill_entries(leader)
    cluster.silent_instances.add("i0")
    cluster.advance(10)
    assert not cluster.find_breaches()


def test_leases_are_extended_again_once_the_record_is_rewritten():
    cluster = start_cluster()
    cluster.silent_instances.add("i0")
    cluster.advance(3)
    cluster.silent_instances.clear()
    cluster.advance(10)
    assert "leases_ms" not in json.loads(find_stored(cluster, JOB_LEASES_KEY))
    assert not [e for e in cluster.history if e.event == "lapsed"]
    assert not cluster.find_breaches()


@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_in_a_row_of_hand_overs_beside_cuts_and_late_orders(seed):
    cluster = JobCluster(
        seed=seed, entry_names=tuple(f"e{n}" for n in range(5)), instance_count=6
    )
    rng = cluster.rng
    cluster.submit(
        f"{1:016x}", JobSpec("x", (Stage(count=8, cpu=2000, is_lasting=True),))
    )
    cluster.advance(3)

    def restart(name):
        cluster.kill_entries(name)
        cluster.start_entry(name)

    cluster.on_end = restart
    for number in range(2, 22):
        leader = cluster.leader()
        if leader is not None:
            cluster.entries[leader].entry.stop()
        cluster.late_share = rng.choice([0, 0, 0.1, 0.3])
        cluster.lost_paths = {
            (entry, instance)
            for entry in cluster.entries
            for instance in cluster.instances
            if rng.random() < rng.choice([0, 0.2])
        }
        cluster.silent_instances = {
            name for name in cluster.instances if rng.random() < 0.15
        }
        cluster.submit(
            f"{number:016x}",
            JobSpec("x", (Stage(4, 500, estimate_ms=700), Stage(4, 500, after=(0,)))),
        )
        cluster.advance(rng.choice([0.5, 1, 2, 4]))
    cluster.late_share, cluster.lost_paths, cluster.silent_instances = 0, set(), set()
    cluster.advance(20)
    assert not cluster.find_breaches()
    settled = cluster.entries[cluster.leader()].entry.scheduler.schedule.is_settled
    assert settled
