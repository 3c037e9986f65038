"""Decides what is logged of the load of a process.

Loop delays, steps of the wall clock, and the load of a scheduler.
"""

import typing as t

from attrs import define, field, frozen

from ..log import Event
from ..process_load import AllCallCounts, Durations, Reading, SchedulerLoad
from .schedule_state import LogNote

#: Interval between two readings, in seconds: short beside the delays that matter.
SAMPLE_INTERVAL_S = 0.1
#: Interval between two reports of load, in seconds.
REPORT_INTERVAL_S = 2.0
#: Loop delay in seconds that is logged. Calls time out after 0.7 s and more.
MIN_LOGGED_DELAY_S = 0.5
#: Difference in seconds between the elapsed times of the wall clock and of the steady
#: clock that is logged; leases and timeouts are of this order.
MIN_LOGGED_STEP_S = 1.0
#: Minimum time in seconds between two warnings of the same kind.
WARNING_INTERVAL_S = 5.0


@frozen
class ProcessReport:
    """The load of a process between two reports.

    :param interval_s: Time between the reports on the steady clock.
    :param cpu_s: Processor time used.
    """

    interval_s: float
    cpu_s: float
    loop_delays: Durations
    calls: AllCallCounts


@define
class LoadState:
    """What the watch of load remembers between readings.

    :param last: The last reading.
    :param reported: The reading of the last report.
    :param calls: The calls counted at the last report.
    :param loop_delays: Loop delays since the last report.
    :param unlogged_delays: Loop delays that are to be logged.
    :param delay_logged_s: When a delay was last logged, on the steady clock.
    :param clock_offset_s: Wall clock less steady clock when their difference was last
        logged, at first when the watch began.
    :param step_logged_s: When a step was last logged, on the steady clock.
    """

    last: Reading
    reported: Reading
    calls: AllCallCounts
    clock_offset_s: float
    loop_delays: Durations = field(factory=Durations)
    unlogged_delays: Durations = field(factory=Durations)
    delay_logged_s: float | None = None
    step_logged_s: float | None = None


def start_watch(reading: Reading, calls: AllCallCounts) -> LoadState:
    """Return the state at the first reading."""
    return LoadState(reading, reading, calls, reading.wall_s - reading.steady_s)


def add_reading(state: LoadState, reading: Reading) -> float:
    """Add a reading that was due ``SAMPLE_INTERVAL_S`` after the last one.

    Returns by how many seconds it was late.
    """
    elapsed_s = reading.steady_s - state.last.steady_s
    delay_s = max(0.0, elapsed_s - SAMPLE_INTERVAL_S)
    state.last = reading
    state.loop_delays.add(delay_s)
    if delay_s >= MIN_LOGGED_DELAY_S:
        state.unlogged_delays.add(delay_s)
    return delay_s


def take_warnings(state: LoadState) -> list[LogNote]:
    """Return the warnings that are due after the last reading.

    What happens within ``WARNING_INTERVAL_S`` of a warning is part of the next one.
    """
    now_s = state.last.steady_s
    notes: list[LogNote] = []
    delays = state.unlogged_delays
    if delays.count and _is_due(state.delay_logged_s, now_s):
        fields = {
            "longest_ms": _to_ms(delays.longest_s),
            "delays": delays.count,
            "total_ms": _to_ms(delays.total_s),
        }
        notes.append(LogNote(Event.LOOP_DELAYED, fields))
        state.unlogged_delays, state.delay_logged_s = Durations(), now_s
    offset_s = state.last.wall_s - now_s
    step_s = offset_s - state.clock_offset_s
    if abs(step_s) >= MIN_LOGGED_STEP_S and _is_due(state.step_logged_s, now_s):
        notes.append(LogNote(Event.CLOCK_STEPPED, {"step_ms": _to_ms(step_s)}))
        state.clock_offset_s, state.step_logged_s = offset_s, now_s
    return notes


def is_report_due(state: LoadState) -> bool:
    """Whether the last report is ``REPORT_INTERVAL_S`` old."""
    return state.last.steady_s - state.reported.steady_s >= REPORT_INTERVAL_S


def take_report(state: LoadState, calls: AllCallCounts) -> ProcessReport:
    """Return the load since the last report, and start the next interval.

    :param calls: The calls counted so far.
    """
    report = ProcessReport(
        state.last.steady_s - state.reported.steady_s,
        state.last.cpu_s - state.reported.cpu_s,
        state.loop_delays,
        calls - state.calls,
    )
    state.reported, state.calls = state.last, calls
    state.loop_delays = Durations()
    return report


def describe_leader(report: ProcessReport, load: SchedulerLoad) -> LogNote:
    """Return the note on the load of a leader."""
    store, instances = report.calls.store, report.calls.instances
    done, starts, quickest = load.done, load.starts, load.starts.quickest
    fields: dict[str, t.Any] = {
        "term": load.term,
        "interval_ms": _to_ms(report.interval_s),
        "delay_max_ms": _to_ms(report.loop_delays.longest_s),
        "delay_mean_ms": _to_ms(report.loop_delays.mean_s),
        "cpu_ms": _to_ms(report.cpu_s),
        "mailbox": load.mailbox_length,
        "rounds": done.rounds.count,
        "rounds_ms": _to_ms(done.rounds.total_s),
        "round_max_ms": _to_ms(done.rounds.longest_s),
        "messages": done.messages.count,
        "messages_ms": _to_ms(done.messages.total_s),
        "message_max_ms": _to_ms(done.messages.longest_s),
        "ticks_ms": _to_ms(done.ticks.total_s),
        "tick_max_ms": _to_ms(done.ticks.longest_s),
        "regrouping_ms": _to_ms(done.regroupings.total_s),
        "effects_ms": _to_ms(done.effects.total_s),
        "effects_max_ms": _to_ms(done.effects.longest_s),
        "orders": done.orders,
        "listings": done.listings,
        "jobs": load.jobs,
        "waiting_tasks": load.waiting_tasks,
        "instances": load.instances,
        "unsaved_jobs": load.unsaved_jobs,
        "write_age_ms": _to_ms(load.write_age_s),
        "start_limit": load.start_limit,
        "starts_in_flight": load.starts_in_flight,
        "starts_answered": starts.answered,
        "starts_unanswered": starts.unanswered,
        "quick_answer_ms": None
        if quickest is None
        else _to_ms(quickest.total_seconds()),
        "store_calls": store.sent,
        "store_failed": store.failed,
        "store_timed_out": store.timed_out,
        "store_unsent": store.unsent,
        "instance_calls": instances.sent,
        "instance_failed": instances.failed,
        "instance_timed_out": instances.timed_out,
        "instance_unsent": instances.unsent,
        "connections": store.connections + instances.connections,
    }
    return LogNote(Event.LEADER_LOAD, fields)


def _is_due(logged_s: float | None, now_s: float) -> bool:
    return logged_s is None or now_s - logged_s >= WARNING_INTERVAL_S


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
