"""Tests of the decisions of an instance owner."""

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
    state = states.InstanceOwnerState(declared, Upstream("u"), KINDS, pmap(), 5)
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


def offer(state, number, caller="a", timeout=SECOND):
    request = m.CheckRequest("u", "check", caller, f"c{number}", "", NOW + timeout)
    return instance.decide(state, m.OfferCheck("i0", request), NOW)


def unanswered_check(number):
    outcome = m.Unknown("no answer")
    return m.CheckEnded(f"c{number}", outcome, SECOND, False)


def effects_of(step, kind):
    return [effect for effect in step.effects if isinstance(effect, kind)]


def start_plans(state, count):
    for number in range(count):
        step = instance.decide(state, m.StartWork(make_record(number)), NOW)
        state = step.state
    return step


def test_batch_work_leaves_the_check_floor_free():
    step = start_plans(make_state(), 9)
    assert states.used_slots(step.state) == 6
    assert effects_of(step, m.WorkNotStarted)
    assert effects_of(offer(step.state, 1), states.RunCheck)


def test_next_free_slot_goes_to_batch_work_below_its_floor():
    state = make_state()
    for number in range(20):
        state = offer(state, number, timeout=SECOND * 9).state
    assert len(state.checks) == 8
    step = instance.decide(state, m.StartWork(make_record(1)), NOW)
    assert not effects_of(step, states.RunTask)
    ended = m.CheckEnded("c0", m.Answered("x"), SECOND / 20, certain=True)
    step = instance.decide(step.state, ended, NOW)
    assert effects_of(step, states.RunTask)
    assert not effects_of(step, states.RunCheck)


def test_check_that_would_miss_its_deadline_is_refused_before_queueing():
    state = make_state()
    for number in range(200):
        step = offer(state, number, timeout=SECOND / 5)
        state = step.state
    (answer,) = effects_of(step, states.AnswerCheck)
    assert isinstance(answer.outcome, m.NotRun)


def test_slot_of_unanswered_check_stays_occupied_until_its_lease_expires():
    state = offer(make_state(), 1).state
    unanswered = m.CheckEnded("c1", m.Unknown("cut"), SECOND, certain=False)
    state = instance.decide(state, unanswered, NOW).state
    before_expiry = InstanceReport("boot", SECOND * 101, 5)
    now = NOW + SECOND
    state = instance.decide(state, m.ReportReceived(before_expiry, now), now).state
    assert states.used_slots(state) == 1
    after_expiry = InstanceReport("boot", SECOND * 103, 5)
    now = NOW + SECOND * 3
    state = instance.decide(state, m.ReportReceived(after_expiry, now), now).state
    assert states.used_slots(state) == 0


def test_slot_is_freed_when_its_lease_expires_before_its_call_ends():
    state = offer(make_state(), 1).state
    assert states.used_slots(state) == 1
    report = InstanceReport("boot", SECOND * 103, 5)
    received = m.ReportReceived(report, NOW + 3 * SECOND)
    state = instance.decide(state, received, NOW + 3 * SECOND).state
    assert states.used_slots(state) == 0


def test_slots_of_checks_are_freed_when_their_instance_restarts():
    state = offer(make_state(), 1).state
    state = instance.decide(state, unanswered_check(1), NOW).state
    report = InstanceReport("next boot", SECOND, 5)
    received = m.ReportReceived(report, NOW + SECOND)
    state = instance.decide(state, received, NOW + SECOND).state
    assert states.used_slots(state) == 0


def test_repeated_start_gets_the_same_refusal_again():
    # Regression: a lost refusal left the work assigned forever.
    step = start_plans(make_state(), 9)
    again = instance.decide(step.state, m.StartWork(make_record(8)), NOW)
    assert effects_of(again, m.WorkNotStarted) == effects_of(step, m.WorkNotStarted)


def test_start_of_earlier_epoch_is_answered_and_of_later_epoch_ignored():
    state = make_state()
    same_boot = instance.decide(state, m.StartWork(make_record(1, epoch=4)), NOW)
    assert effects_of(same_boot, m.WorkNotStarted)
    other_boot = make_record(2, epoch=4, boot="before")
    lost = instance.decide(state, m.StartWork(other_boot), NOW)
    assert effects_of(lost, m.WorkEnded)
    newer = instance.decide(state, m.StartWork(make_record(3, epoch=6)), NOW)
    assert not newer.effects


def test_repeated_start_starts_the_task_once():
    step = start_plans(make_state(), 1)
    again = instance.decide(step.state, m.StartWork(make_record(0)), NOW)
    assert not effects_of(again, states.RunTask)


def test_leaving_instance_refuses_all_new_work():
    state = make_state()
    rules = states.RulesChanged(
        state.instance, state.upstream, state.kinds, state.weights, True
    )
    state = instance.decide(state, rules, NOW).state
    assert not effects_of(offer(state, 1), states.RunCheck)
    step = instance.decide(state, m.StartWork(make_record(1)), NOW)
    assert effects_of(step, m.WorkNotStarted)


def test_leases_lapse_a_fixed_time_after_the_last_report():
    state = instance.decide(make_state(), m.PollFailed("cut"), NOW).state
    limit = states.TASK_LEASE + states.LEASE_MARGIN
    assert not instance.instance_load(state, NOW + limit).lapsed
    assert instance.instance_load(state, NOW + limit + SECOND).lapsed
    unreported = evolve(state, reported_at=None)
    assert not instance.instance_load(unreported, NOW + limit + SECOND).lapsed
