"""What a leader leaves to its successor: possible runs, and ends of leases.

A leader that steps down knows which runs exist. Its successor would otherwise take each
task for running on each instance that it can't list, until all leases there have ended.
"""

import datetime as dt
import re
import typing as t

from attrs import field, frozen
from attrs.validators import (
    and_,
    deep_iterable,
    deep_mapping,
    ge,
    instance_of,
    le,
    matches_re,
)

from ..job import TaskKey, parse_task_key
from .instance_tracking import find_bounds_to_leave, has_sole_authority
from .placement import accepts_runs
from .schedule_state import InheritedRuns, InstanceState, Schedule

#: Maximum number of runs in a hand-over.
MAX_RUNS = 3000
#: Longest time in ms for which a leader can know that leases end.
MAX_LEASES_MS = 600_000
MILLISECOND = dt.timedelta(milliseconds=1)


_TASK_KEY = re.compile(r"[0-9A-Za-z_-]{1,64}(\.[0-9]{1,9}){3}")
_is_task_key = deep_iterable(matches_re(_TASK_KEY))
_is_leases_ms = deep_mapping(
    instance_of(str), and_(instance_of(int), ge(0), le(MAX_LEASES_MS))
)


@frozen
class PossibleRuns:
    """The runs that an instance may have.

    :param tasks: The tasks of which it may have one.
    :param has_unsaved_ends: Whether it may list ends that are not stored.
    """

    tasks: tuple[str, ...] = field(default=(), validator=_is_task_key)
    has_unsaved_ends: bool = False


@frozen
class Handover:
    """What a leader knew when it stopped acting, as it is stored.

    :param term: Its term.
    :param was_sole: Whether no leader before it acted any more.
    :param instances: Possible runs by ID of the instance. One that is left out may have
        any.
    :param unsaved_jobs: IDs of the jobs whose progress is not stored.
    :param leases_ms: Time in ms after which all leases on a silent instance have ended,
        by its ID.
    """

    term: int
    was_sole: bool = False
    instances: dict[str, PossibleRuns] = field(factory=dict)
    unsaved_jobs: tuple[str, ...] = ()
    leases_ms: dict[str, int] = field(factory=dict, validator=_is_leases_ms)


@frozen
class LeaseBounds:
    """Ends of leases to which a leader keeps until it has stored others.

    :param term: Its term.
    :param leases_ms: As for :class:`Handover`.
    """

    term: int
    leases_ms: dict[str, int] = field(factory=dict, validator=_is_leases_ms)


def build_handover(
    schedule: Schedule,
    lease: dt.timedelta,
    unsaved_jobs: t.Iterable[str],
    now: dt.datetime,
) -> Handover:
    """Return what to leave to the successor of a leader that acts no more.

    :param unsaved_jobs: IDs of jobs whose latest progress may not be stored.
    """
    possible: dict[str, PossibleRuns] = {}
    count = 0
    for instance_id in _order_for_handover(schedule, now):
        runs = _find_possible_runs(schedule, instance_id)
        if runs is None or count + len(runs.tasks) > MAX_RUNS:
            continue
        count += len(runs.tasks)
        possible[instance_id] = runs
    # Instances that have not been listed may still list ends of these.
    inherited_jobs = (
        schedule.inherited_runs[name].jobs
        for name in possible.keys() & schedule.inherited_runs.keys()
        if not _is_listed(schedule, name)
    )
    return Handover(
        schedule.latest_term,
        has_sole_authority(schedule, now),
        possible,
        tuple(sorted(frozenset(unsaved_jobs).union(*inherited_jobs))),
        encode_bounds(find_bounds_to_leave(schedule, lease, now), now),
    )


def encode_bounds(
    bounds: t.Mapping[str, dt.datetime], now: dt.datetime
) -> dict[str, int]:
    """Return the time in ms until each bound, rounded up; 0 for one in the past."""
    return {
        instance_id: min(max(0, -((now - bound) // MILLISECOND)), MAX_LEASES_MS)
        for instance_id, bound in sorted(bounds.items())
    }


def _order_for_handover(schedule: Schedule, now: dt.datetime) -> list[str]:
    """Return the instances, first those that the successor may not list soon."""
    known = schedule.instances
    ids = known.keys() | schedule.inherited_runs.keys()
    return sorted(
        ids, key=lambda name: (name in known and accepts_runs(known[name], now), name)
    )


def _is_listed(schedule: Schedule, instance_id: str) -> bool:
    state = schedule.instances.get(instance_id)
    return state is not None and state.is_listed


def _find_possible_runs(schedule: Schedule, instance_id: str) -> PossibleRuns | None:
    """Return the runs that may exist on an instance; ``None`` if any may."""
    state = schedule.instances.get(instance_id)
    if state is not None and state.is_listed:
        return _describe_runs(state)
    inherited = schedule.inherited_runs.get(instance_id)
    if inherited is None:
        return None
    # One that has restarted since it was listed may get its runs late.
    started = _find_keys(state) if state is not None else frozenset()
    return PossibleRuns(_format_keys(inherited.tasks | started), bool(inherited.jobs))


def _describe_runs(state: InstanceState) -> PossibleRuns:
    has_unsaved_ends = state.last_end_sequence > state.stored_end_sequence
    return PossibleRuns(_format_keys(_find_keys(state)), has_unsaved_ends)


def _find_keys(state: InstanceState) -> frozenset[TaskKey]:
    return frozenset(key for key, _ in state.runs.keys() | state.unwanted.keys())


def _format_keys(keys: t.Iterable[TaskKey]) -> tuple[str, ...]:
    """Return the texts of keys, without those that an instance has made up."""
    return tuple(sorted(filter(_TASK_KEY.fullmatch, map(str, keys))))


def inherit_handover(
    schedule: Schedule, handover: Handover, read_at: dt.datetime
) -> bool:
    """Take over what the leader before left; return whether this schedule is the next.

    :param read_at: When the record was read.
    """
    if handover.term != schedule.term - 1:
        return False
    schedule.is_handed_over = handover.was_sole
    unsaved_jobs = frozenset(handover.unsaved_jobs)
    for instance_id, possible in handover.instances.items():
        schedule.inherited_runs[instance_id] = InheritedRuns(
            _parse_keys(possible.tasks),
            unsaved_jobs if possible.has_unsaved_ends else frozenset(),
        )
    _inherit_leases(schedule, handover.leases_ms, read_at)
    return True


def inherit_lease_bounds(
    schedule: Schedule, bounds: LeaseBounds, written_at: dt.datetime
) -> bool:
    """Take over when leases end; return whether this schedule is the next.

    :param written_at: Latest time at which the record was written.
    """
    if bounds.term != schedule.term - 1:
        return False
    _inherit_leases(schedule, bounds.leases_ms, written_at)
    return True


def _parse_keys(texts: t.Iterable[str]) -> frozenset[TaskKey]:
    return frozenset(parse_task_key(text) for text in texts)


def _inherit_leases(
    schedule: Schedule, leases_ms: t.Mapping[str, int], since: dt.datetime
) -> None:
    for instance_id, duration_ms in leases_ms.items():
        bound = since + duration_ms * MILLISECOND
        bound = min(bound, schedule.inherited_bounds.get(instance_id, bound))
        schedule.inherited_bounds[instance_id] = bound
