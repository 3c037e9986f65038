"""Tests of the holder of a line."""

import datetime as dt

from attrs import evolve
from pyrsistent import pmap

from fighead import message as m
from fighead.decisions import line
from fighead.decisions import line_state as states
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
    state = states.LineState(Upstream("u"), KINDS, pmap(), **values)
    stored = tuple(StoredRecord(r, n + 1, n + 1) for n, r in enumerate(records))
    return line.decide(state, states.RecordsLoaded(stored), NOW).state


def give_room(state, room):
    report = m.LoadReport("e", (evolve(LOAD, batch_room=room),))
    return line.decide(state, report, NOW)


def assigned(step):
    return [
        effect.record.work_id
        for effect in step.effects
        if isinstance(effect, states.WriteRecord)
        and effect.record.phase is Phase.ASSIGNED
    ]


def test_work_of_one_caller_keeps_its_place_in_line():
    state = make_line([make_record(n) for n in range(5)])
    assert assigned(give_room(state, 3)) == ["a/r0", "a/r1", "a/r2"]


def test_a_flooding_caller_does_not_keep_another_out():
    flood = [make_record(n, "flood") for n in range(50)]
    state = make_line([*flood, make_record(99, "light")])
    assert "light/r99" in assigned(give_room(state, 2))


def test_watches_reach_their_floor_before_plans_go_on():
    plans = [make_record(n) for n in range(20)]
    watches = [make_record(n + 50, kind="watch") for n in range(20)]
    state = make_line([*plans, *watches])
    placed = assigned(give_room(state, 8))
    started = [name for name in placed if int(name.removeprefix("a/r")) >= 50]
    assert len(started) >= 2


def test_watches_leave_slots_to_plans_that_come_later():
    # Regression: watches took every slot, and plans waited for hours.
    watches = [make_record(n, kind="watch") for n in range(20)]
    state = make_line(watches)
    step = give_room(state, 8)
    assert len(assigned(step)) == 6


def test_no_more_is_placed_than_was_reported_free():
    state = make_line([make_record(n) for n in range(9)])
    step = give_room(state, 2)
    again = give_room(step.state, 2)
    assert len(assigned(step)) == 2
    assert not assigned(again)


def test_a_write_that_fails_gives_its_place_back():
    # Regression: repeated requests for ended work used the room up for ever.
    state = give_room(make_line(), 2).state
    ended = evolve(make_record(0), phase=Phase.DONE, finished_at=NOW)
    for _ in range(5):
        step = line.decide(state, m.SubmitWork(make_record(0)), NOW)
        assert assigned(step) == ["a/r0"]
        conflict = states.RecordConflict("a/r0", StoredRecord(ended, 3, 9))
        state = line.decide(step.state, conflict, NOW).state
        assert not any(state.placed.values())
    state = line.decide(state, m.SubmitWork(make_record(1)), NOW).state
    state = line.decide(state, states.WriteAbandoned("a/r1"), NOW).state
    assert not any(state.placed.values())


def test_a_quota_refuses_more_waiting_work():
    state = make_line([make_record(0)], queue_limits=pmap({"a": 1}))
    step = line.decide(state, m.SubmitWork(make_record(1)), NOW)
    (answer,) = step.effects
    assert isinstance(answer.outcome, m.NotRun)
    assert not answer.outcome.is_transient


def test_a_task_list_that_is_left_out_stays_as_it_was():
    state = give_room(make_line(), 2).state
    listed = evolve(LOAD, batch_room=2, batch_tasks=("u/a/r0#1",))
    state = line.decide(state, m.LoadReport("e", (listed,)), NOW).state
    quiet = evolve(LOAD, batch_room=1, batch_tasks=None)
    state = line.decide(state, m.LoadReport("e", (quiet,)), NOW).state
    assert state.loads["i0"].load.batch_tasks == ("u/a/r0#1",)
    assert state.loads["i0"].load.batch_room == 1


def test_many_cancellations_leave_the_rest_in_line():
    state = make_line([make_record(n) for n in range(40)])
    for number in range(0, 40, 2):
        cancel = m.CancelWork("u", "a", f"r{number}")
        step = line.decide(state, cancel, NOW)
        (write,) = step.effects
        assert write.record.phase is Phase.CANCELLED
        written = states.RecordWritten(write.record.work_id, 100 + number, 1)
        state = line.decide(step.state, written, NOW).state
    assert assigned(give_room(state, 3)) == ["a/r1", "a/r3", "a/r5"]
    assert len(state.items) == 20
