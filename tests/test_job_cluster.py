"""Jobs on whole entries without sockets: kills, cuts, lost and late calls."""

import random

import pytest
from attrs import evolve

from fighead.job import JobPhase, JobSpec, Stage
from job_cluster import JobCluster, has_ended

SHORT = Stage(count=3, cpu=2000, memory_mb=100, estimate_ms=400)
LONG = Stage(count=4, cpu=3000, memory_mb=100, estimate_ms=2500, is_checkpointed=True)
TWO_STAGES = JobSpec(
    "x", (SHORT, Stage(count=2, cpu=1000, memory_mb=1, estimate_ms=600, after=(0,)))
)
WATCH = JobSpec("w", (Stage(count=2, cpu=1000, memory_mb=1, is_lasting=True),))


def job_id(number):
    return f"{number:016x}"


@pytest.fixture
def cluster():
    return JobCluster()


def test_a_job_of_two_stages_completes(cluster):
    cluster.submit(job_id(1), TWO_STAGES)
    cluster.pass_time(3)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert cluster.phase(job_id(2)) is None
    assert not cluster.breaches()


def test_the_same_id_at_another_entry_is_the_same_job(cluster):
    cluster.submit(job_id(1), TWO_STAGES, entry="e1")
    cluster.pass_time(3)
    cluster.submit(job_id(1), TWO_STAGES, entry="e2")
    cluster.pass_time(3)
    starts = [e for e in cluster.history if e.event == "started"]
    assert len(starts) == 5 and not cluster.breaches()


def test_a_job_goes_on_after_its_scheduler_was_killed(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.pass_time(1)
    cluster.kill(cluster.leader())
    cluster.pass_time(8)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    starts = [e for e in cluster.history if e.event == "started"]
    assert len(starts) == 4 and not cluster.breaches()


def test_accepted_jobs_outlive_all_entries(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.submit(job_id(2), TWO_STAGES)
    cluster.pass_time(0.5)
    cluster.kill(*cluster.names)
    cluster.pass_time(2)
    for name in cluster.names:
        cluster.boot(name)
    cluster.pass_time(10)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert cluster.phase(job_id(2)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_a_leader_whose_key_is_taken_away_is_fenced(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.pass_time(1)
    old = cluster.leader()
    cluster.entries[old].store.is_cut = True
    cluster.pass_time(8)
    assert cluster.leader() != old
    assert not cluster.breaches()


def test_a_frozen_leader_wakes_up_deposed(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG, LONG)))
    cluster.pass_time(1)
    old = cluster.leader()
    cluster.entries[old].gate.is_frozen = True
    cluster.pass_time(5)
    cluster.entries[old].gate.thaw()
    cluster.pass_time(8)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_a_task_on_a_silent_instance_waits_until_its_lease_has_run_out(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.pass_time(1)
    cluster.silent.add("i0")
    cluster.pass_time(12)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_a_task_on_an_instance_that_starts_anew_runs_again(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.pass_time(1)
    cluster.crash("i0")
    cluster.pass_time(10)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_a_cancelled_job_is_gone_in_time_also_across_a_takeover(cluster):
    cluster.submit(job_id(1), WATCH, "watches")
    cluster.pass_time(1)
    cluster.cancel(job_id(1))
    cluster.kill(cluster.leader())
    cluster.pass_time(6)
    assert cluster.phase(job_id(1)) is JobPhase.CANCELLED
    assert not any(
        m.renew_and_list(m.fence, 0, 0).running for m in cluster.machines.values()
    )


def test_a_lasting_task_is_restarted_however_it_ends(cluster):
    cluster.submit(job_id(1), WATCH, "watches")
    cluster.pass_time(1)
    cluster.crash("i0")
    cluster.crash("i1")
    cluster.pass_time(4)
    running = [
        row
        for m in cluster.machines.values()
        for row in m.renew_and_list(m.fence, 0, 0).running
    ]
    assert len(running) == 2 and not cluster.breaches()


def test_a_task_that_always_fails_ends_its_job_after_its_attempts(cluster):
    cluster.failing.add((job_id(1), 1))
    cluster.submit(job_id(1), TWO_STAGES)
    cluster.pass_time(4)
    assert cluster.phase(job_id(1)) is JobPhase.FAILED
    failed = [e for e in cluster.history if e.event == "failed"]
    assert len(failed) == 2 and not cluster.breaches()


def test_jobs_are_accepted_while_nobody_schedules(cluster):
    cluster.kill(cluster.leader())
    cluster.submit(job_id(1), TWO_STAGES)
    cluster.pass_time(0.2)
    assert job_id(1) in cluster.accepted
    cluster.pass_time(8)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED


def test_a_write_without_an_answer_is_settled(cluster):
    cluster.store.lose_answers = 1
    cluster.submit(job_id(1), TWO_STAGES)
    cluster.pass_time(4)
    assert job_id(1) in cluster.accepted
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED


def test_runs_go_on_while_the_store_is_unavailable(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.pass_time(1)
    cluster.store.is_unavailable = True
    cluster.pass_time(6)
    cluster.store.is_unavailable = False
    cluster.pass_time(3)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    starts = [e for e in cluster.history if e.event == "started"]
    assert len(starts) == 4 and not cluster.breaches()


def test_nothing_starts_before_lapsed_registrations_are_back(cluster):
    light = Stage(count=8, cpu=500, memory_mb=1, estimate_ms=6000)
    cluster.submit(job_id(1), JobSpec("x", (light,)))
    cluster.pass_time(0.5)
    cluster.store.is_unavailable = True
    cluster.kill(cluster.leader())
    for name in ("i1", "i2", "i3"):
        del cluster.store.items[f"servers/{name}"]
    cluster.pass_time(3)
    cluster.store.is_unavailable = False
    cluster.pass_time(2)
    for name in ("i1", "i2", "i3"):
        cluster.register(name)
    cluster.pass_time(12)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_an_instance_that_never_answers_holds_up_a_new_scheduler_only_for_a_lease(
    cluster,
):
    cluster.silent.add("i0")
    cluster.kill(cluster.leader())
    cluster.submit(job_id(1), TWO_STAGES)
    # The leader's key lapses after 2 s and its successor stands within 0.4 s; the
    # earlier one may have acted for 3 s, its leases last 6.3 s; the job takes 1.1 s.
    cluster.pass_time(13)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_nothing_waits_for_registrations_after_a_loss_of_all_entries_if_none_lacks(
    cluster,
):
    cluster.submit(job_id(1), TWO_STAGES)
    cluster.pass_time(1)
    cluster.kill(*cluster.names)
    cluster.pass_time(3)
    for name in cluster.names:
        cluster.boot(name)
    cluster.submit(job_id(2), JobSpec("x", (SHORT,)))
    # An election takes up to 0.4 s, reading the jobs and listing 0.2 s more.
    cluster.pass_time(1)
    starts = [e for e in cluster.history if e.event == "started"]
    assert any(e.task.job_id == job_id(2) for e in starts)
    assert not cluster.breaches()


def test_no_instance_is_used_before_it_is_recorded(cluster):
    cluster.pass_time(2)
    cluster._add_machine("i9")
    # Its registration is heard of, but the record of it can't be written.
    cluster.pass_time(0.02)
    cluster.entries[cluster.leader()].store.is_cut = True
    other = next(n for n in cluster.names if n != cluster.leader())
    light = Stage(count=30, cpu=1000, memory_mb=1, estimate_ms=500)
    cluster.submit(job_id(1), JobSpec("x", (light,)), entry=other)
    cluster.pass_time(1)
    used = {e.instance_id for e in cluster.history if e.event == "started"}
    assert used and "i9" not in used


def test_a_start_without_an_answer_is_settled_before_its_task_starts_elsewhere():
    cluster = JobCluster(instance_count=2)
    cluster.pass_time(2)
    wide = Stage(count=12, cpu=500, memory_mb=1, estimate_ms=7000)
    cluster.late_share = 1.0
    cluster.submit(job_id(1), JobSpec("x", (wide,)))
    # Both tries of a start get no answer, and are carried out 2 to 12 s later.
    cluster.pass_time(1.9)
    cluster.late_share = 0.0
    cluster.pass_time(30)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_new_jobs_do_not_wait_for_an_instance_that_never_answers(cluster):
    cluster.submit(job_id(1), JobSpec("x", (LONG,)))
    cluster.pass_time(2)
    cluster.silent.add("i0")
    cluster.kill(cluster.leader())
    # The key lapses after 2 s, an election takes 0.4 s, an earlier leader may
    # act for 3.2 s more.
    cluster.pass_time(5.8)
    cluster.submit(job_id(2), JobSpec("y", (SHORT,)))
    cluster.pass_time(1)
    started = [e.task.job_id for e in cluster.history if e.event == "started"]
    assert job_id(2) in started
    cluster.pass_time(8)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


def test_writes_are_not_repeated_without_a_pause_while_connections_are_reset(cluster):
    for sim in cluster.entries.values():
        sim.store.is_reset = True
    asked = cluster.entries["e1"].store.calls
    cluster.submit(job_id(1), TWO_STAGES, entry="e1")
    cluster.pass_time(3.5)
    # Ten tries a second for 3 s, at the store or a peer, beside the renewals.
    assert cluster.entries["e1"].store.calls - asked <= 100
    assert job_id(1) not in cluster.accepted


def test_a_late_start_that_meets_the_next_life_of_its_instance_runs_nowhere_else(
    cluster,
):
    cluster.pass_time(2)
    for name in ("i1", "i2", "i3"):
        cluster.drain(name, 60_000)
    cluster.pass_time(0.5)
    cluster.late_share = 1.0
    cluster.submit(job_id(1), JobSpec("x", (Stage(cpu=1000, estimate_ms=8000),)))
    cluster.pass_time(0.3)
    for name in ("i1", "i2", "i3"):
        machine = cluster.machines[name]
        machine.instance = evolve(machine.instance, is_draining=False)
        cluster.register(name)
    cluster.crash("i0")
    cluster.late_share = 0.0
    cluster.pass_time(25)
    assert cluster.phase(job_id(1)) is JobPhase.COMPLETED
    assert not cluster.breaches()


FAULTS = (
    "kill",
    "kill all",
    "cut",
    "freeze",
    "silence",
    "crash",
    "away",
    "late",
    "lose",
)


def strike(cluster, kind):
    """Begin a fault and return what ends it."""
    chance = cluster.chance
    leader = cluster.leader() or cluster.names[0]
    instance = chance.choice(sorted(cluster.machines))
    match kind:
        case "kill":
            cluster.kill(leader)
            return lambda: cluster.boot(leader)
        case "kill all":
            cluster.kill(*cluster.names)
            return lambda: [cluster.boot(name) for name in cluster.names]
        case "cut":
            cluster.entries[leader].store.is_cut = True
            return lambda: setattr(cluster.entries[leader].store, "is_cut", False)
        case "freeze":
            gate = cluster.entries[leader].gate
            gate.is_frozen = True
            return gate.thaw
        case "silence":
            cluster.silent.add(instance)
            return lambda: cluster.silent.discard(instance)
        case "crash":
            cluster.crash(instance)
        case "away":
            cluster.store.is_unavailable = True
            return lambda: setattr(cluster.store, "is_unavailable", False)
        case "late":
            usual, cluster.late_share = cluster.late_share, 0.15
            return lambda: setattr(cluster, "late_share", usual)
        case "lose":
            cluster.store.lose_answers = 3
    return lambda: None


#: Seeds that once broke a promise. 290: an acknowledgement for the last life of
#: an instance was sent to its next one. 370, 445, 459: agents of an ended reign
#: went on and deposed every later one.
REGRESSIONS = (290, 370, 445, 459)


@pytest.mark.parametrize("seed", [*range(24), *REGRESSIONS])
def test_promises_hold_under_random_faults(seed):
    cluster = JobCluster(seed)
    chance = random.Random(seed)
    # In every other history some orders are late throughout, under all faults.
    cluster.late_share = 0.08 * (seed % 2)
    for number in range(30):
        if not cluster.alive():
            break
        spec = chance.choice(
            [TWO_STAGES, JobSpec("x", (LONG,)), JobSpec("y", (SHORT,))]
        )
        cluster.submit(job_id(number), spec, chance.choice(["checks", "plans"]))
        if chance.random() < 0.1 and cluster.accepted:
            cluster.cancel(chance.choice(sorted(cluster.accepted)))
        if chance.random() < 0.25:
            end = strike(cluster, chance.choice(FAULTS))
            cluster.pass_time(chance.uniform(0.2, 5))
            end()
        cluster.pass_time(chance.uniform(0.05, 0.8))
    cluster.late_share = 0.0
    cluster.pass_time(45)
    assert not cluster.breaches()
    for accepted in cluster.accepted:
        assert has_ended(cluster.phase(accepted)), accepted
