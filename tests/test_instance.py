"""Tests of the owner of an instance."""

import datetime as dt

from attrs import evolve
from pyrsistent import pmap

from fighead import message as m
from fighead.decisions import instance
from fighead.decisions import instance_state as states
from fighead.model import (
    Assignment,
    Category,
    Instance,
    InstanceReport,
    Kind,
    Upstream,
    WorkRecord,
)

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
SECOND = dt.timedelta(seconds=1)
KINDS = pmap(
    {
        "check": Kind("check", "u", Category.CHECK, SECOND),
        "plan": Kind("plan", "u", Category.PLAN, SECOND * 30),
    }
)


def make_state(slots=8, at=NOW):
    declared = Instance("i0", "u", "r", "z", "http://h:1", slots, 64, 64, 1 << 40)
    state = states.InstanceState(declared, Upstream("u"), KINDS, pmap(), 5)
    report = InstanceReport("boot", SECOND * 100, 5)
    return instance.decide(state, m.ReportReceived(report, at), at).state


def make_record(number, epoch=5, boot="boot"):
    return WorkRecord(
        "u",
        "a",
        f"r{number}",
        "plan",
        Category.PLAN,
        True,
        "",
        "d",
        NOW,
        assignment=Assignment("i0", epoch, boot),
    )


def offer(state, number, caller="a", left=SECOND):
    request = m.CheckRequest("u", "check", caller, f"c{number}", "", NOW + left)
    return instance.decide(state, m.OfferCheck("i0", request), NOW)


def lost_check(number):
    outcome = m.Unknown("no answer")
    return m.CheckEnded(f"c{number}", outcome, SECOND, False)


def effects_of(step, kind):
    return [effect for effect in step.effects if isinstance(effect, kind)]


def start_plans(state, count):
    for number in range(count):
        step = instance.decide(state, m.StartWork(make_record(number)), NOW)
        state = step.state
    return step


def test_batch_work_leaves_the_floor_of_checks_free():
    step = start_plans(make_state(), 9)
    assert states.used_slots(step.state) == 6
    assert effects_of(step, m.WorkNotStarted)
    assert effects_of(offer(step.state, 1), states.RunCheck)


def test_a_flood_of_checks_gives_batch_work_its_floor_back():
    state = make_state()
    for number in range(20):
        state = offer(state, number, left=SECOND * 9).state
    assert len(state.checks) == 8
    step = instance.decide(state, m.StartWork(make_record(1)), NOW)
    assert not effects_of(step, states.RunTask)
    ended = m.CheckEnded("c0", m.Answered("x"), SECOND / 20, certain=True)
    step = instance.decide(step.state, ended, NOW)
    assert effects_of(step, states.RunTask)
    assert not effects_of(step, states.RunCheck)


def test_a_check_that_can_not_be_in_time_is_refused_before_it_queues():
    state = make_state()
    for number in range(200):
        step = offer(state, number, left=SECOND / 5)
        state = step.state
    (answer,) = effects_of(step, states.AnswerCheck)
    assert isinstance(answer.outcome, m.NotRun)


def test_a_slot_without_an_answer_stays_taken_until_its_lease_is_over():
    state = offer(make_state(), 1).state
    lost = m.CheckEnded("c1", m.Unknown("cut"), SECOND, certain=False)
    state = instance.decide(state, lost, NOW).state
    early = InstanceReport("boot", SECOND * 101, 5)
    later = NOW + SECOND
    state = instance.decide(state, m.ReportReceived(early, later), later).state
    assert states.used_slots(state) == 1
    late = InstanceReport("boot", SECOND * 103, 5)
    later = NOW + SECOND * 3
    state = instance.decide(state, m.ReportReceived(late, later), later).state
    assert states.used_slots(state) == 0


def test_a_slot_is_free_once_its_lease_is_over_though_its_call_has_not_ended():
    state = offer(make_state(), 1).state
    assert states.used_slots(state) == 1
    report = InstanceReport("boot", SECOND * 103, 5)
    later = m.ReportReceived(report, NOW + 3 * SECOND)
    state = instance.decide(state, later, NOW + 3 * SECOND).state
    assert states.used_slots(state) == 0


def test_the_slots_of_checks_are_free_once_their_instance_has_started_anew():
    state = offer(make_state(), 1).state
    state = instance.decide(state, lost_check(1), NOW).state
    report = InstanceReport("next boot", SECOND, 5)
    later = m.ReportReceived(report, NOW + SECOND)
    state = instance.decide(state, later, NOW + SECOND).state
    assert states.used_slots(state) == 0


def test_a_refusal_is_repeated_when_the_start_is():
    # Regression: a refusal that got lost left the work assigned for ever.
    step = start_plans(make_state(), 9)
    again = instance.decide(step.state, m.StartWork(make_record(8)), NOW)
    assert effects_of(again, m.WorkNotStarted) == effects_of(step, m.WorkNotStarted)


def test_a_start_of_another_epoch_is_accounted_for():
    state = make_state()
    same_boot = instance.decide(state, m.StartWork(make_record(1, epoch=4)), NOW)
    assert effects_of(same_boot, m.WorkNotStarted)
    other = make_record(2, epoch=4, boot="before")
    lost = instance.decide(state, m.StartWork(other), NOW)
    assert effects_of(lost, m.WorkEnded)
    newer = instance.decide(state, m.StartWork(make_record(3, epoch=6)), NOW)
    assert not newer.effects


def test_the_same_start_twice_starts_once():
    step = start_plans(make_state(), 1)
    again = instance.decide(step.state, m.StartWork(make_record(0)), NOW)
    assert not effects_of(again, states.RunTask)


def test_a_leaving_instance_refuses_everything():
    state = make_state()
    rules = states.RulesChanged(
        state.instance, state.upstream, state.kinds, state.weights, True
    )
    state = instance.decide(state, rules, NOW).state
    assert not effects_of(offer(state, 1), states.RunCheck)
    step = instance.decide(state, m.StartWork(make_record(1)), NOW)
    assert effects_of(step, m.WorkNotStarted)


def test_leases_have_lapsed_only_after_the_last_report_is_old_enough():
    state = instance.decide(make_state(), m.PollFailed("cut"), NOW).state
    limit = states.TASK_LEASE + states.LEASE_MARGIN
    assert not instance.load_of(state, NOW + limit).lapsed
    assert instance.load_of(state, NOW + limit + SECOND).lapsed
    unfenced = evolve(state, reported_at=None)
    assert not instance.load_of(unfenced, NOW + limit + SECOND).lapsed
