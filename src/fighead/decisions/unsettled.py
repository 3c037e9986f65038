"""Describes what a schedule waits for that is not settled."""

import datetime as dt
import enum
import itertools
import typing as t

from attrs import asdict

from ..log import Event
from . import instance_tracking, placement
from .leader_status import LeaderStatus, describe_age, to_ms
from .schedule_state import LogNote, Schedule, StageState

#: Maximum number of IDs of tasks in one line.
MAX_LOGGED_TASKS = 5


class Need(enum.Enum):
    """What an unsettled schedule waits for."""

    #: The record of the fleet has not been read.
    FLEET = "fleet"
    #: The accepted jobs have not been read, so that no listing is applied.
    JOBS = "jobs"
    #: An earlier leader may still act and renew leases.
    PREDECESSORS = "predecessors"
    #: An instance answers and has not been listed.
    LISTINGS = "listings"
    #: Leases at an instance that is silent or unknown have yet to end.
    LEASES = "leases"
    #: They have ended, and the store has yet to confirm the leader since.
    STORE = "store"


def describe_unsettled(
    schedule: Schedule, status: LeaderStatus, now: dt.datetime
) -> LogNote:
    """Describe what a schedule that is not settled waits for."""
    fleet = instance_tracking.find_fleet_to_settle(schedule, status.lease)
    names = instance_tracking.find_awaited(schedule, status.lease) or []
    awaited = [schedule.instances[name] for name in names if name in schedule.instances]
    unknown = [name for name in names if name not in schedule.instances]
    unlisted = [state for state in awaited if state.is_reachable]
    silent = [state for state in awaited if not state.is_reachable]
    bounds = [
        instance_tracking.lease_bound(schedule, state, status.lease) for state in silent
    ]
    bounds += [
        instance_tracking.unlisted_lease_bound(schedule, name, status.lease)
        for name in unknown
    ]
    needs = []
    if fleet is None:
        needs.append(Need.FLEET)
    if not status.is_loaded:
        needs.append(Need.JOBS)
    elif unlisted:
        needs.append(Need.LISTINGS)
    if bounds or fleet is None:
        needs += _find_needs_of_leases(schedule, bounds, now)
    waiting = [
        (stage, stage.waiting_indexes - set(schedule.find_startable(job, stage)))
        for job, stage in placement.find_due_stages(schedule, now)
    ]
    waiting = [(stage, indexes) for stage, indexes in waiting if indexes]
    runs = schedule.unknown_runs
    exclusion = status.authority.exclusion
    fields = {
        "term": schedule.term,
        "since_election_ms": schedule.ms_since_election(now),
        "is_loaded": status.is_loaded,
        "waits_for": [need.value for need in needs],
        "excluded_by": exclusion.value if exclusion is not None else "",
        **asdict(status.authority.support),
        "predecessors_ms": to_ms(instance_tracking.predecessors_end(schedule) - now),
        "sole_age_ms": describe_age(schedule.sole_at, now),
        "fleet": len(fleet) if fleet is not None else None,
        "listed": sum(
            name in schedule.instances and schedule.instances[name].is_listed
            for name in fleet or ()
        ),
        "unknown": len(unknown),
        "unlisted": len(unlisted),
        "silent": len(silent),
        "leases_ms": to_ms(max(bounds) - now) if bounds else None,
        "listings_in_lookup": status.listings_in_lookup,
        "awaited": names[: instance_tracking.MAX_LOGGED_INSTANCES],
        "possible_runs": len(runs.tasks) if runs is not None else None,
        "waiting_jobs": len({stage.tasks[0].key.job_id for stage, _ in waiting}),
        "waiting_tasks": sum(len(indexes) for _, indexes in waiting),
        "lasting": sum(
            len(indexes) for stage, indexes in waiting if stage.spec.is_lasting
        ),
        "tasks": name_tasks(waiting),
    }
    return LogNote(Event.SCHEDULE_UNSETTLED, fields)


def name_tasks(waiting: t.Iterable[tuple[StageState, set[int]]]) -> list[str]:
    """Return the names of the first waiting tasks, those that are to last first.

    :param waiting: Stages with the indexes of those of their tasks that wait.
    """
    ordered = sorted(waiting, key=lambda item: not item[0].spec.is_lasting)
    keys = (
        stage.tasks[index].key
        for stage, indexes in ordered
        for index in sorted(indexes)
    )
    return [str(key) for key in itertools.islice(keys, MAX_LOGGED_TASKS)]


def _find_needs_of_leases(
    schedule: Schedule, bounds: t.Collection[dt.datetime], now: dt.datetime
) -> list[Need]:
    """Return what has to happen for leases to count as ended.

    :param bounds: When those at each silent or unknown instance have ended.
    """
    sole_at, needs = schedule.sole_at, []
    if not instance_tracking.has_sole_authority(schedule, now):
        needs.append(Need.PREDECESSORS)
    if any(now < bound for bound in bounds):
        needs.append(Need.LEASES)
    if any(bound <= now and (not sole_at or sole_at < bound) for bound in bounds):
        needs.append(Need.STORE)
    return needs
