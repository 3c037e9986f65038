"""Tests of the decisions on an upstream's line of plans and watches."""

import datetime as dt

from attrs import evolve
from pyrsistent import pmap

from fighead import message as m
from fighead.decisions import line, line_state
from fighead.model import Category, Kind, Phase, StoredRecord, Upstream, WorkRecord

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
KINDS = pmap(
    {
        "plan": Kind("plan", "u", Category.PLAN, dt.timedelta(seconds=30)),
        "watch": Kind("watch", "u", Category.WATCH, dt.timedelta(seconds=30)),
    }
)
LOAD = m.InstanceLoad("i0", "u", 7, "boot", 0, 4, 0, batch_slots=8)


def make_record(number, caller="a", kind="plan"):
    category = KINDS[kind].category
    return WorkRecord("u", caller, f"r{number}", kind, category, False, "", "d", NOW)


def make_line(records=(), **values):
    state = line_state.LineState(Upstream("u"), KINDS, pmap(), **values)
    stored = tuple(StoredRecord(r, n + 1, n + 1) for n, r in enumerate(records))
    return line.decide(state, line_state.RecordsLoaded(stored), NOW).state


def report_room(state, batch_room):
    report = m.LoadReport("e", (evolve(LOAD, batch_room=batch_room),))
    return line.decide(state, report, NOW)


def assigned_work_ids(step):
    return [
        effect.record.work_id
        for effect in step.effects
        if isinstance(effect, line_state.WriteRecord)
        and effect.record.phase is Phase.ASSIGNED
    ]


def test_work_of_one_caller_is_assigned_in_order_of_submission():
    state = make_line([make_record(n) for n in range(5)])
    assert assigned_work_ids(report_room(state, 3)) == ["a/r0", "a/r1", "a/r2"]


def test_a_caller_with_much_work_does_not_starve_another():
    flood = [make_record(n, "flood") for n in range(50)]
    state = make_line([*flood, make_record(99, "light")])
    assert "light/r99" in assigned_work_ids(report_room(state, 2))


def test_watches_get_their_floor_before_further_plans():
    plans = [make_record(n) for n in range(20)]
    watches = [make_record(n + 50, kind="watch") for n in range(20)]
    state = make_line([*plans, *watches])
    work_ids = assigned_work_ids(report_room(state, 8))
    started_watches = [key for key in work_ids if int(key.removeprefix("a/r")) >= 50]
    assert len(started_watches) >= 2


def test_watches_leave_slots_free_for_later_plans():
    # Regression: watches took every slot, so later plans waited for hours.
    watches = [make_record(n, kind="watch") for n in range(20)]
    state = make_line(watches)
    step = report_room(state, 8)
    assert len(assigned_work_ids(step)) == 6


def test_no_more_work_is_assigned_than_the_reported_room():
    state = make_line([make_record(n) for n in range(9)])
    step = report_room(state, 2)
    repeated = report_room(step.state, 2)
    assert len(assigned_work_ids(step)) == 2
    assert not assigned_work_ids(repeated)


def test_a_failed_write_releases_its_reserved_slot():
    # Regression: each repeated submission of ended work reserved a slot that was
    # never released, until the instance had no room left.
    state = report_room(make_line(), 2).state
    ended = evolve(make_record(0), phase=Phase.DONE, finished_at=NOW)
    for _ in range(5):
        step = line.decide(state, m.SubmitWork(make_record(0)), NOW)
        assert assigned_work_ids(step) == ["a/r0"]
        conflict = line_state.RecordConflict("a/r0", StoredRecord(ended, 3, 9))
        state = line.decide(step.state, conflict, NOW).state
        assert not any(state.reserved_tasks.values())
    state = line.decide(state, m.SubmitWork(make_record(1)), NOW).state
    state = line.decide(state, line_state.WriteAbandoned("a/r1"), NOW).state
    assert not any(state.reserved_tasks.values())


def test_work_beyond_the_quota_of_its_caller_is_not_accepted():
    state = make_line([make_record(0)], queue_limits=pmap({"a": 1}))
    step = line.decide(state, m.SubmitWork(make_record(1)), NOW)
    (answer,) = step.effects
    assert isinstance(answer.outcome, m.NotRun)
    assert not answer.outcome.is_transient


def test_a_report_without_a_task_list_keeps_the_known_list():
    state = report_room(make_line(), 2).state
    listed = evolve(LOAD, batch_room=2, batch_tasks=("u/a/r0#1",))
    state = line.decide(state, m.LoadReport("e", (listed,)), NOW).state
    without_list = evolve(LOAD, batch_room=1, batch_tasks=None)
    state = line.decide(state, m.LoadReport("e", (without_list,)), NOW).state
    assert state.loads["i0"].load.batch_tasks == ("u/a/r0#1",)
    assert state.loads["i0"].load.batch_room == 1


def test_cancellations_keep_the_order_of_the_remaining_work():
    state = make_line([make_record(n) for n in range(40)])
    for number in range(0, 40, 2):
        cancel = m.CancelWork("u", "a", f"r{number}")
        step = line.decide(state, cancel, NOW)
        (write,) = step.effects
        assert write.record.phase is Phase.CANCELLED
        written = line_state.RecordWritten(write.record.work_id, 100 + number, 1)
        state = line.decide(step.state, written, NOW).state
    assert assigned_work_ids(report_room(state, 3)) == ["a/r1", "a/r3", "a/r5"]
    assert len(state.items) == 20
