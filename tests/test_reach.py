"""A leader that doesn't reach instances which other entries reach."""

import datetime as dt
import random

import pytest
from attrs import define
from twisted.internet.defer import Deferred

from fighead.decisions import reach
from fighead.exceptions import (
    WorkerRefusedError,
    WorkerRestartedError,
    WorkerUnreachableError,
)
from fighead.job import JobSpec, Stage
from fighead.run import RefusalReason, RegisteredInstance
from fighead.store import JOB_LEADER_KEY
from fighead.tasks.reach import find_reached
from job_builders import at_seconds, make_schedule
from job_cluster import JobCluster

JOB_ID = "5c0e7a21d94b36f8"
#: The users' pages allow a lasting task 6 s from its last run, and 3 s more.
MAX_GAP_S = 9
LASTING = Stage(count=16, cpu=1500, memory_mb=1, is_lasting=True)


def start_lasting_tasks(instances=4):
    """Return a cluster with at most half of its capacity in use, and its leader."""
    names = tuple(f"e{n}" for n in range(5))
    cluster = JobCluster(entry_names=names, instance_count=instances)
    cluster.advance(3)
    cluster.submit(JOB_ID, JobSpec("x", (LASTING,)), "watches")
    cluster.advance(3)
    assert count_running(cluster) == LASTING.count
    return cluster, cluster.leader()


def count_running(cluster):
    running = set()
    for event in cluster.history:
        if event.event == "started":
            running.add((event.task, event.number))
        elif not event.event.startswith("acknowledged"):
            running.discard((event.task, event.number))
    return len({task for task, _ in running})


def cut_paths(cluster, entries, instances):
    cluster.lost_paths |= {(e, i) for e in entries for i in instances}


# Failure: tasks wait for as long as the leader doesn't reach most of the instances,
# although other entries reach them.
@pytest.mark.parametrize("cut_count", [1, 2, 4])
def test_lasting_tasks_run_on_instances_that_only_some_entries_reach(cut_count):
    cluster, leader = start_lasting_tasks()
    others = [name for name in cluster.entries if name != leader]
    cut_paths(cluster, [leader, *others[: cut_count - 1]], ("i1", "i2", "i3"))
    cluster.advance(MAX_GAP_S)
    assert count_running(cluster) == LASTING.count
    assert cluster.leader() in others[cut_count - 1 :]
    assert not cluster.find_breaches()


# Failure: a leader elected while it doesn't reach most of the instances keeps the lead.
def test_a_new_leader_hands_over_to_an_entry_that_reaches_more_instances():
    cluster, leader = start_lasting_tasks()
    others = [name for name in cluster.entries if name != leader]
    cut_paths(cluster, others[:3], ("i1", "i2", "i3"))
    cluster.kill_entries(leader)
    cluster.advance(12)
    assert cluster.leader() == others[3]
    assert count_running(cluster) == LASTING.count
    assert not cluster.find_breaches()


# Failure: a leader that has been elected again under a new fence hands over no more.
def test_a_reelected_leader_hands_over_to_an_entry_that_reaches_more_instances():
    cluster, leader = start_lasting_tasks()
    cluster.store.remove(JOB_LEADER_KEY)
    cluster.advance(3)
    assert cluster.leader() == leader
    assert cluster.entries[leader].entry.front_context.view.leader.term == 2
    cut_paths(cluster, [leader], ("i1", "i2", "i3"))
    cluster.advance(MAX_GAP_S)
    assert cluster.leader() != leader
    assert count_running(cluster) == LASTING.count
    assert not cluster.find_breaches()


@pytest.mark.parametrize("lost_count", [1, 3])
def test_a_leader_keeps_the_lead_if_no_entry_reaches_more(lost_count):
    cluster, leader = start_lasting_tasks()
    cluster.silent_instances |= {f"i{n}" for n in range(lost_count)}
    cluster.advance(20)
    assert cluster.leader() == leader
    assert cluster.entries[leader].entry.scheduler.schedule.term == 1


def test_a_leader_keeps_the_lead_if_other_entries_lose_what_it_reaches():
    cluster, leader = start_lasting_tasks()
    others = [name for name in cluster.entries if name != leader]
    cut_paths(cluster, [leader], ("i0", "i1"))
    cut_paths(cluster, others, ("i2", "i3"))
    cluster.advance(20)
    assert cluster.leader() == leader
    assert cluster.entries[leader].entry.scheduler.schedule.term == 1


# Which instances peers call, and when.


def plan_survey(schedule, second, plan=None):
    plan = plan or reach.SurveyPlan()
    return reach.plan_survey(plan, schedule, schedule.instances, at_seconds(second))


def make_silent_schedule(silent, total=20):
    schedule = make_schedule(tuple(f"i{n:02}" for n in range(total)))
    for state in list(schedule.instances.values())[:silent]:
        state.is_reachable, state.silent_since = False, at_seconds(0)
    return schedule


def test_peers_are_asked_once_a_tenth_of_the_instances_is_silent():
    plan = reach.SurveyPlan()
    assert plan_survey(make_silent_schedule(1), 9, plan) is None
    schedule = make_silent_schedule(2)
    assert plan_survey(schedule, 0.9, plan) is None
    survey = plan_survey(schedule, 1, plan)
    assert len(survey.silent) == 2 and survey.silent_share == 0.1
    first, second = survey.answering
    assert len(first) == reach.SAMPLE_SIZE
    assert len({each.instance_id for each in first + second}) == 18


def test_instances_that_are_not_called_are_not_counted():
    schedule, plan = make_silent_schedule(10), reach.SurveyPlan()
    called = list(schedule.instances)[10:]
    assert reach.plan_survey(plan, schedule, called, at_seconds(9)) is None


def test_surveys_become_rare_while_they_find_no_successor():
    plan, schedule = reach.SurveyPlan(), make_silent_schedule(10)
    times = [second for second in range(1, 200) if plan_survey(schedule, second, plan)]
    assert times[:5] == [1, 3, 7, 15, 31]
    assert dt.timedelta(seconds=times[-1] - times[-2]) == reach.MAX_PAUSE


def test_instances_that_have_left_are_not_counted():
    schedule = make_silent_schedule(10)
    for state in list(schedule.instances.values())[:10]:
        state.is_registered = False
    assert plan_survey(schedule, 9) is None


@pytest.mark.parametrize(
    ("own_silent", "silent_reached", "answering_missed", "expected"),
    [
        (0, 8, 0, True),
        (0, 8, 1, False),
        (0, 2, 0, True),
        (0, 1, 0, False),
        (0, 0, 0, False),
        (7, 8, 0, False),
        (8, 8, 0, False),
        (5, 8, 0, True),
    ],
)
def test_a_peer_is_better_placed_if_it_gains_a_tenth_and_loses_none(
    own_silent, silent_reached, answering_missed, expected
):
    schedule = make_silent_schedule(8)
    survey = plan_survey(schedule, 9)
    answering = survey.answering[0]
    own = survey.silent[:own_silent] + answering
    reached = survey.silent[:silent_reached] + answering[answering_missed:]
    own, reached = ({each.instance_id for each in part} for part in (own, reached))
    assert reach.is_better_placed(survey, own, reached) is expected


# Failure: a leader that misses most instances keeps the lead, as all peers miss a few.
@pytest.mark.parametrize(("answering_missed", "expected"), [(1, True), (3, False)])
def test_a_peer_that_gains_much_more_than_it_loses_is_better_placed(
    answering_missed, expected
):
    schedule = make_silent_schedule(16)
    survey = plan_survey(schedule, 9)
    own = [each.instance_id for each in survey.answering[0]]
    reached = [each.instance_id for each in survey.silent] + own[answering_missed:]
    assert reach.is_better_placed(survey, own, reached) is expected


@define
class Client:
    """A client of an instance that answers each listing in the same way."""

    instance: RegisteredInstance
    error: Exception | None

    async def renew_and_list(self, *_):
        if self.error is not None:
            raise self.error


# Failure: leaders take turns while instances turn away a share of all calls.
def test_an_instance_that_turns_callers_away_is_not_reached():
    errors = {
        "answers": None,
        "fenced": WorkerRefusedError("", "", RefusalReason.FENCED.value),
        "restarted": WorkerRestartedError("", "", "2"),
        "sheds": WorkerRefusedError("", "", RefusalReason.UNHEALTHY.value),
        "silent": WorkerUnreachableError("", ""),
    }
    instances = [RegisteredInstance(name, "1", "", "mill") for name in errors]
    found = Deferred.fromCoroutine(
        find_reached(lambda each: Client(each, errors[each.instance_id]), instances)
    )
    assert found.result == ("answers", "fenced", "restarted")


# Failure: leaders take turns while each entry is cut off from other instances: one of
# many peers reaches each of a few by chance.
@pytest.mark.parametrize("seed", range(3))
def test_leaders_take_no_turns_while_each_misses_a_tenth_of_the_instances(seed):
    names = tuple(f"e{n}" for n in range(8))
    cluster = JobCluster(seed, entry_names=names, instance_count=40)
    rng = random.Random(seed)
    for name in names:
        cut_paths(cluster, [name], rng.sample(sorted(cluster.instances), 5))
    cluster.advance(20)
    assert {
        process.entry.front_context.view.leader.term
        for process in cluster.entries.values()
    } == {1}


# Failure: leaders take turns while calls to instances are lost at random.
@pytest.mark.parametrize("seed", range(5))
def test_leaders_take_no_turns_while_calls_are_lost_at_random(seed):
    cluster, leader = start_lasting_tasks(instances=12)
    cluster.rng.seed(seed)
    cluster.late_share = 0.4
    cluster.advance(40)
    assert cluster.leader() == leader
    assert cluster.entries[leader].entry.scheduler.schedule.term == 1


# Failure: a new leader doesn't reach instances whose registrations lapse while nobody
# leads, so that their tasks end with their leases.
def test_runs_go_on_whose_instances_lose_their_registrations_between_leaders():
    cluster, leader = start_lasting_tasks()
    running = [event.task for event in cluster.history if event.event == "started"]
    cluster.kill_entries(*cluster.entries)
    for name in ("i1", "i2", "i3"):
        cluster.unregister_instance(name)
    for name in list(cluster.entries):
        cluster.start_entry(name)
    cluster.advance(12)
    assert cluster.leader() is not None
    started = [event.task for event in cluster.history if event.event == "started"]
    assert started == running and count_running(cluster) == LASTING.count
