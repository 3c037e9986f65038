"""Tracks instances, and when all runs of an unreachable one must have ended."""

import datetime as dt
import typing as t

from attrs import asdict, evolve

from ..job import TaskKey
from ..log import Event
from ..run import RegisteredInstance
from .authority import MAX_TIME_WITH_NEARLY_ALL, Authority
from .lost_calls import LostCalls
from .run_updates import MAX_ORDER_DELAY, find_run, requeue_lost_run
from .schedule_state import (
    Effect,
    InheritedRuns,
    InstanceState,
    LogNote,
    RunState,
    Schedule,
)
from .stopping import stop_runs

#: Maximum share by which an instance's steady clock may run slow, as specified by
#: the page on running tasks.
MAX_CLOCK_LAG_SHARE = 0.02
#: How long a scheduler may act without confirmation by the store or by most members.
#: It is confirmed every 0.5 s.
AUTHORITY_TIMEOUT = dt.timedelta(milliseconds=1500)
#: Margin added to each time limit because timers may fire late.
TIMER_SLACK = dt.timedelta(milliseconds=200)
#: Time before the drain deadline at which checkpointed runs are stopped, so that
#: their checkpoints are saved.
CHECKPOINT_NOTICE = dt.timedelta(milliseconds=1000)
#: Silence of an instance after which its leases are no longer extended without a write
#: to the store. It exceeds the time that a call to an instance takes.
MIN_SILENCE = dt.timedelta(seconds=2)
#: Maximum number of IDs of instances in one log line.
MAX_LOGGED_INSTANCES = 20


def latest_lease_expiry(sent_at: dt.datetime, lease: dt.timedelta) -> dt.datetime:
    """Return when a lease requested at ``sent_at`` has expired at the latest.

    >>> at = dt.datetime(2030, 1, 1)
    >>> (latest_lease_expiry(at, dt.timedelta(seconds=4.9)) - at).total_seconds()
    5.2
    """
    return sent_at + lease / (1 - MAX_CLOCK_LAG_SHARE) + TIMER_SLACK


def add_instance(
    schedule: Schedule, instance: RegisteredInstance, now: dt.datetime
) -> list[Effect]:
    """Add an instance, or update it from a new registration.

    The lasting runs of a known instance that starts draining are stopped.
    """
    state = schedule.instances.get(instance.instance_id)
    if state is None:
        _add_new_instance(schedule, instance, now)
        fields = {"instance": instance.instance_id, "address": instance.address}
        return [LogNote(Event.INSTANCE_FOUND, fields)]
    was_draining = state.instance.is_draining
    state.is_registered = True
    state.instance = instance
    state.is_evacuated = instance.zone in schedule.evacuations.zones
    state.cold_until = _find_cold_end(instance, now)
    if instance.is_draining and not was_draining:
        state.drain_deadline = _find_drain_deadline(instance, now)
        fields = {"instance": instance.instance_id, "left_ms": instance.remaining_ms}
        return [LogNote(Event.INSTANCE_DRAINING, fields), *stop_lasting_runs(state)]
    return []


def add_unregistered(
    schedule: Schedule, instance: RegisteredInstance, now: dt.datetime
) -> None:
    """Add an instance, unless it is known, whose runs go on but that gets no others."""
    if instance.instance_id not in schedule.instances:
        _add_new_instance(schedule, instance, now).is_registered = False


def _add_new_instance(
    schedule: Schedule, instance: RegisteredInstance, now: dt.datetime
) -> InstanceState:
    # Leases of earlier schedulers count as long as it has not been listed.
    state = InstanceState(instance, schedule.elected_at, silent_since=now)
    state.is_in_stored_fleet = _is_in_stored_fleet(schedule, instance.instance_id)
    state.restart_count = schedule.restart_counts.get(instance.instance_id, 0)
    state.is_evacuated = instance.zone in schedule.evacuations.zones
    state.cold_until = _find_cold_end(instance, now)
    if instance.is_draining:
        state.drain_deadline = _find_drain_deadline(instance, now)
    schedule.instances[instance.instance_id] = state
    return state


def _find_drain_deadline(instance: RegisteredInstance, now: dt.datetime) -> dt.datetime:
    return now + dt.timedelta(milliseconds=instance.remaining_ms)


def _find_cold_end(
    instance: RegisteredInstance, now: dt.datetime
) -> dt.datetime | None:
    if not instance.cold_ms:
        return None
    return now + dt.timedelta(milliseconds=instance.cold_ms)


def update_authority(schedule: Schedule, authority: Authority) -> list[Effect]:
    """Record what the scheduler may infer from silence at present."""
    schedule.sole_at = authority.sole_at
    if schedule.predecessors_end is not None or authority.followed_at is None:
        return []
    # An earlier scheduler was last confirmed before, by the store or in its place.
    followed_at = max(authority.followed_at, schedule.elected_at)
    schedule.predecessors_end = followed_at + AUTHORITY_TIMEOUT
    fields = {
        "term": schedule.term,
        "since_election_ms": schedule.ms_since_election(followed_at),
        "by": authority.exclusion.value if authority.exclusion is not None else "",
        **asdict(authority.support),
    }
    return [LogNote(Event.LEADER_ACKNOWLEDGED, fields)]


def has_sole_authority(schedule: Schedule, now: dt.datetime) -> bool:
    """Whether no earlier scheduler acts any more."""
    return now >= predecessors_end(schedule) + TIMER_SLACK


def predecessors_end(schedule: Schedule) -> dt.datetime:
    """Return when no earlier scheduler acts any more, at the latest."""
    if schedule.is_handed_over:
        return schedule.elected_at
    latest_end = schedule.elected_at + MAX_TIME_WITH_NEARLY_ALL + AUTHORITY_TIMEOUT
    return min(schedule.predecessors_end or latest_end, latest_end)


def inherited_lease_bound(schedule: Schedule, lease: dt.timedelta) -> dt.datetime:
    """Return when all leases granted by earlier schedulers have expired."""
    return latest_lease_expiry(predecessors_end(schedule), lease)


def lease_bound(
    schedule: Schedule, state: InstanceState, lease: dt.timedelta
) -> dt.datetime:
    """Return when all leases on an instance have expired.

    An earlier scheduler may extend them until the instance has been listed, and so
    refuses its orders.
    """
    if state.is_listed:
        return state.leases_end_at
    inherited = unlisted_lease_bound(schedule, state.instance.instance_id, lease)
    return max(state.leases_end_at, inherited)


def unlisted_lease_bound(
    schedule: Schedule, instance_id: str, lease: dt.timedelta
) -> dt.datetime:
    """Return when all leases of earlier schedulers on an instance have expired.

    The one before may have left that for an instance that it didn't reach.
    """
    bound = inherited_lease_bound(schedule, lease)
    return min(bound, schedule.inherited_bounds.get(instance_id, bound))


def _has_lapsed(schedule: Schedule, state: InstanceState, lease: dt.timedelta) -> bool:
    """Whether all leases on an instance that doesn't answer have certainly expired.

    A later scheduler may have extended them, unless the store has confirmed since
    that there is none.
    """
    bound = lease_bound(schedule, state, lease)
    return not state.is_reachable and _is_sole_since(schedule, bound)


def _is_sole_since(schedule: Schedule, bound: dt.datetime) -> bool:
    return schedule.sole_at is not None and schedule.sole_at >= bound


def has_restarted(state: InstanceState, instance: RegisteredInstance) -> bool:
    """Whether a registration is from another incarnation than the known one."""
    known = state.instance.incarnation
    return bool(instance.incarnation and known and instance.incarnation != known)


def is_outdated(state: InstanceState, instance: RegisteredInstance) -> bool:
    """Whether a registration is from an incarnation that another has replaced."""
    return instance.incarnation in state.replaced_incarnations


def replace_incarnation(state: InstanceState, incarnation: str) -> None:
    """Set the incarnation of an instance that answered before it registered.

    Nothing is placed on it until then, since its capacity may have changed.
    """
    state.instance = evolve(state.instance, incarnation=incarnation)
    state.is_registered = False


def reset_after_restart(
    state: InstanceState,
    lease: dt.timedelta,
    now: dt.datetime,
    *,
    is_replaced: bool = False,
) -> None:
    """Reset the state of an instance that has restarted under the same ID.

    Its runs have ended, but a start order in transit may still reach the new
    incarnation. The runs are therefore kept until that incarnation has been listed
    under its own fence, or all leases on it have expired and no start arrives any
    more.

    :param is_replaced: Whether an instance with another ID has its address, and so
        refuses all that was meant for it.
    """
    state.restart_count += 1
    if not is_replaced:
        state.replaced_incarnations.add(state.instance.incarnation)
    # Nothing that an earlier scheduler sent is carried out there any more.
    state.was_listed = is_replaced and (state.was_listed or state.is_listed)
    state.instance = evolve(state.instance, is_draining=False)
    state.is_reachable = state.is_listed = False
    state.silent_since = state.silent_since or now
    state.last_end_sequence = state.stored_end_sequence = 0
    state.drain_deadline = state.start_backoff_until = state.suspect_until = None
    state.suspect_reason = ""
    state.recent_ends.clear()
    state.lost_calls = LostCalls()
    if is_replaced:
        state.late_starts.clear()
    state.leases_end_at = max(state.leases_end_at, latest_lease_expiry(now, lease))
    for run in state.runs.values():
        if is_replaced or not run.may_start_late:
            run.late_until = None
        else:
            expect_late_start(run, lease)
        run.confirmed_at = run.progressed_at = now
        run.percent = run.first_listed_percent = 0
        run.first_listed_at = None


def stop_lasting_runs(state: InstanceState) -> list[Effect]:
    """Stop the lasting runs on an instance, so that they restart elsewhere."""
    return stop_runs(run for run in state.runs.values() if run.stage.is_lasting)


def _stop_checkpointed_runs(state: InstanceState, now: dt.datetime) -> list[Effect]:
    """Stop checkpointed runs shortly before the drain deadline of their instance."""
    if state.drain_deadline is None or now < state.drain_deadline - CHECKPOINT_NOTICE:
        return []
    return stop_runs(run for run in state.runs.values() if run.stage.is_checkpointed)


def unregister_instances(
    schedule: Schedule, instance_ids: t.Iterable[str]
) -> list[Effect]:
    """Mark instances as unregistered, so that no new run is placed on them."""
    effects: list[Effect] = []
    for instance_id in instance_ids:
        state = schedule.instances.get(instance_id)
        if state is not None and state.is_registered:
            state.is_registered = False
            effects.append(
                LogNote(Event.INSTANCE_UNREGISTERED, {"instance": instance_id})
            )
    return effects


def record_instance_contact(
    state: InstanceState,
    leases_end_at: dt.datetime | None,
    lease: dt.timedelta,
    now: dt.datetime,
) -> None:
    """Mark an instance as reachable and extend the bound of its leases.

    :param leases_end_at: Latest expiry of the leases; ``None`` if unchanged.
    :param lease: Lease that an earlier scheduler may have granted until ``now``, if
        this is the first listing of the instance.
    """
    state.is_reachable = state.was_reached = True
    state.silent_since = None
    extend_lease_bound(state, leases_end_at)
    if not state.is_listed:
        extend_lease_bound(state, latest_lease_expiry(now, lease))


def note_late_orders(
    schedule: Schedule, state: InstanceState, sent_at: dt.datetime
) -> None:
    """Record that calls get lost, once an instance answers a later one.

    An instance that has crashed loses calls too, but answers none afterwards.
    """
    for first, last in state.lost_calls.take_before(sent_at):
        schedule.lost_calls.add_span(first, last)


def note_unanswered_start(
    schedule: Schedule,
    key: TaskKey,
    number: int,
    lease: dt.timedelta,
    now: dt.datetime,
) -> None:
    """Record that a start, of which an attempt got no answer, may arrive late."""
    run = find_run(schedule, key, number)
    state = schedule.instances.get(run.instance_id) if run else None
    if run is None or state is None:
        return
    for task, ends in list(state.late_starts.items()):
        if max(ends.values()) <= now:
            del state.late_starts[task]
    end = latest_lease_expiry(run.ordered_at + MAX_ORDER_DELAY, lease)
    state.late_starts.setdefault(key, {})[number] = end


def rule_out_late_start(schedule: Schedule, key: TaskKey, number: int) -> None:
    """Record that no attempt to start a run can arrive any more."""
    run = find_run(schedule, key, number)
    if run is None:
        return
    run.may_start_late = False
    state = schedule.instances.get(run.instance_id)
    ends = state.late_starts.get(key, {}) if state else {}
    ends.pop(number, None)
    if state is not None and not ends:
        state.late_starts.pop(key, None)


def record_silence(state: InstanceState, now: dt.datetime) -> None:
    """Mark an instance as unreachable."""
    state.is_reachable = False
    state.silent_since = now


def extend_lease_bound(state: InstanceState, leases_end_at: dt.datetime | None) -> None:
    """Extend the bound of an instance's leases, including unconfirmed ones.

    :param leases_end_at: Latest expiry of the leases; ``None`` if unchanged.
    """
    if leases_end_at is not None:
        state.leases_end_at = max(state.leases_end_at, leases_end_at)


def update_instances(
    schedule: Schedule, lease: dt.timedelta, now: dt.datetime
) -> list[Effect]:
    """Requeue the runs of instances whose leases have expired.

    Such instances are removed if they are no longer registered. Also stops
    checkpointed runs before a drain deadline, and settles the schedule once no unknown
    run can exist.

    :param lease: Lease that earlier schedulers may have granted.
    """
    effects: list[Effect] = []
    for state in list(schedule.instances.values()):
        effects += _stop_checkpointed_runs(state, now)
        if _has_lapsed(schedule, state, lease):
            effects += _expire_instance(schedule, state, now)
    if not schedule.is_settled:
        awaited = find_awaited(schedule, lease)
        schedule.unknown_runs = _find_unknown_runs(schedule, awaited)
        if awaited is not None and not awaited:
            schedule.is_settled = True
            effects.append(_describe_settling(schedule, now))
    return effects


def awaits_confirmation(
    schedule: Schedule, lease: dt.timedelta, now: dt.datetime
) -> bool:
    """Whether a confirmation by the store would show that leases have expired."""
    bounds = [
        lease_bound(schedule, state, lease)
        for state in schedule.instances.values()
        if not state.is_reachable and (state.runs or not schedule.is_settled)
    ]
    if not schedule.is_settled:
        bounds.append(inherited_lease_bound(schedule, lease))
        bounds += schedule.inherited_bounds.values()
    sole_at = schedule.sole_at
    return any(bound <= now and (not sole_at or sole_at < bound) for bound in bounds)


def _find_unknown_runs(
    schedule: Schedule, awaited: t.Collection[str] | None
) -> InheritedRuns | None:
    """Return the runs of earlier schedulers that may exist and are not known.

    :param awaited: Instances that may have unknown runs; ``None`` if not yet known.
    :return: ``None`` if any run may exist.
    """
    if awaited is None:
        return None
    found = [schedule.inherited_runs.get(instance_id) for instance_id in awaited]
    possible = [runs for runs in found if runs is not None]
    if len(possible) < len(found):
        return None
    return InheritedRuns(
        frozenset[TaskKey]().union(*(runs.tasks for runs in possible)),
        frozenset[str]().union(*(runs.jobs for runs in possible)),
    )


def find_awaited(schedule: Schedule, lease: dt.timedelta) -> list[str] | None:
    """Return the instances that may have unknown runs; ``None`` if not yet known.

    An instance without a registration may still run tasks: it registers in the store,
    and gets its leases from the scheduler.
    """
    fleet = find_fleet_to_settle(schedule, lease)
    if fleet is None:
        return None
    return [
        name for name in sorted(fleet) if _may_have_unknown_run(schedule, name, lease)
    ]


def _may_have_unknown_run(
    schedule: Schedule, instance_id: str, lease: dt.timedelta
) -> bool:
    state = schedule.instances.get(instance_id)
    if state is not None:
        return not has_no_unknown_run(schedule, state, lease)
    bound = unlisted_lease_bound(schedule, instance_id, lease)
    return not _is_sole_since(schedule, bound)


def find_fleet_to_settle(
    schedule: Schedule, lease: dt.timedelta
) -> t.Collection[str] | None:
    """Return the instances that may have unknown runs; ``None`` if not yet known."""
    sole_at = schedule.sole_at
    if sole_at is not None and sole_at >= inherited_lease_bound(schedule, lease):
        return schedule.instances.keys()
    return schedule.inherited_fleet


def has_no_unknown_run(
    schedule: Schedule, state: InstanceState, lease: dt.timedelta
) -> bool:
    """Whether each run of an earlier scheduler on an instance is known or has ended."""
    if state.is_listed or state.was_listed:
        return True
    # A listing of an instance that answers may be on its way.
    return _has_lapsed(schedule, state, lease)


def _describe_settling(schedule: Schedule, now: dt.datetime) -> LogNote:
    states = schedule.instances.values()
    fields = {
        "instances": len(schedule.instances),
        "listed": sum(state.is_listed for state in states),
        "unregistered": len(find_unregistered_fleet(schedule)),
        "term": schedule.term,
        "since_election_ms": schedule.ms_since_election(now),
    }
    return LogNote(Event.SCHEDULE_SETTLED, fields)


def find_unregistered_fleet(schedule: Schedule) -> list[str]:
    """Return the inherited instances that are not registered, in order of ID."""
    states = schedule.instances
    return sorted(
        instance_id
        for instance_id in schedule.inherited_fleet or ()
        if instance_id not in states or not states[instance_id].is_registered
    )


def set_inherited_fleet(schedule: Schedule, instance_ids: t.Iterable[str]) -> None:
    """Set the instances to which an earlier scheduler may have assigned runs."""
    schedule.inherited_fleet = frozenset(instance_ids)
    # What the one before left of others would be handed on for ever.
    for instance_id in schedule.inherited_runs.keys() - schedule.inherited_fleet:
        del schedule.inherited_runs[instance_id]


def describe_incomplete_fleet(schedule: Schedule, now: dt.datetime) -> list[Effect]:
    """Return a note that names the inherited instances that are not registered."""
    missing = find_unregistered_fleet(schedule)
    if not missing:
        return []
    fields = {
        "count": len(missing),
        "reachable_by_record": sum(i in schedule.instances for i in missing),
        "instances": missing[:MAX_LOGGED_INSTANCES],
        "term": schedule.term,
        "since_election_ms": schedule.ms_since_election(now),
    }
    return [LogNote(Event.FLEET_INCOMPLETE, fields)]


def fleet_to_store(schedule: Schedule, lease: dt.timedelta) -> set[str]:
    """Return the IDs of the instances that have, or may be assigned, runs.

    Until the schedule is settled, they include the fleet of the earlier scheduler.
    Those that have left, or never answered, are left out, since the next one would wait
    for them.
    """
    known = schedule.instances
    fleet = {
        instance_id for instance_id, state in known.items() if not _has_left(state)
    }
    if not schedule.is_settled:
        inherited = (schedule.inherited_fleet or frozenset()) - known.keys()
        return fleet | {
            name for name in inherited if _may_have_unknown_run(schedule, name, lease)
        }
    return {
        instance_id
        for instance_id in fleet
        if known[instance_id].runs
        or not _never_answered(schedule, known[instance_id], lease)
    }


def _has_left(state: InstanceState) -> bool:
    """Whether an instance has no run and gets none until it registers again."""
    return (
        state.is_listed
        and not state.is_registered
        and not (state.runs or state.unwanted)
        and state.last_end_sequence <= state.stored_end_sequence
    )


def _never_answered(
    schedule: Schedule, state: InstanceState, lease: dt.timedelta
) -> bool:
    return not state.is_listed and _has_lapsed(schedule, state, lease)


def find_registrations(
    schedule: Schedule, instance_ids: t.Container[str]
) -> list[RegisteredInstance]:
    """Return the last registrations of known instances, without what changes often.

    :param instance_ids: IDs of the instances to include.
    """
    return [
        _without_draining(state)
        for name, state in sorted(schedule.instances.items())
        if name in instance_ids
    ]


def _without_draining(state: InstanceState) -> RegisteredInstance:
    instance = state.instance
    # Called often, and a copy takes longer than all else in the record of the fleet.
    if not state.is_registered or not (instance.is_draining or instance.remaining_ms):
        return instance
    return evolve(instance, is_draining=False, remaining_ms=0)


def set_stored_records(
    schedule: Schedule,
    instance_ids: t.Iterable[str],
    bounds: t.Mapping[str, dt.datetime],
) -> None:
    """Set what the store holds for the next scheduler.

    :param instance_ids: The instances that the fleet record certainly includes.
    :param bounds: The ends of leases that it may hold, by instance ID.
    """
    schedule.stored_fleet = frozenset(instance_ids)
    schedule.stored_bounds = dict(bounds)
    for instance_id, state in schedule.instances.items():
        state.is_in_stored_fleet = _is_in_stored_fleet(schedule, instance_id)


def _is_in_stored_fleet(schedule: Schedule, instance_id: str) -> bool:
    """Whether the next scheduler would expect runs and leases on an instance."""
    return (
        instance_id in schedule.stored_fleet
        and instance_id not in schedule.stored_bounds
    )


def find_bounds_to_leave(
    schedule: Schedule, lease: dt.timedelta, now: dt.datetime
) -> dict[str, dt.datetime]:
    """Return when the leases on silent instances end, by instance ID.

    Only those that the scheduler doesn't extend, also by calls under way.
    """
    known = {
        name: max(
            [lease_bound(schedule, state, lease), *_find_late_ends(schedule, state)]
        )
        for name, state in schedule.instances.items()
        if not state.is_reachable
        and (not state.was_reached or _is_silent_for_long(state, now))
    }
    unknown = fleet_to_store(schedule, lease) - schedule.instances.keys()
    return known | {
        name: unlisted_lease_bound(schedule, name, lease) for name in unknown
    }


def _find_late_ends(schedule: Schedule, state: InstanceState) -> list[dt.datetime]:
    """Return until when runs may go on whose starts may arrive late."""
    ends = [find_late_end(schedule, state, run) for run in state.runs.values()]
    return [end for end in ends if end is not None]


def find_late_end(
    schedule: Schedule, state: InstanceState, run: RunState
) -> dt.datetime | None:
    """Return until when a late start may run the task of a run on an instance.

    ``None`` if no start of the task can arrive there late. A restart of an instance
    that was listed is not known; it counts as possible only while calls get lost that
    are none of a crash, since the tasks of each crash would wait otherwise.
    """
    late_start = max(state.late_starts.get(run.key, {}).values(), default=None)
    if state.is_listed:
        return late_start if _are_orders_late(schedule, run) else None
    ends = [end for end in (run.late_until, late_start) if end is not None]
    return max(ends, default=None)


def _are_orders_late(schedule: Schedule, run: RunState) -> bool:
    return schedule.lost_calls.has_any_near(run.ordered_at, MAX_ORDER_DELAY)


def find_bounds_to_store(
    schedule: Schedule, lease: dt.timedelta, now: dt.datetime
) -> dict[str, dt.datetime]:
    """Return the ends of leases to store for the next scheduler, by instance ID.

    An instance that has just fallen silent is left out, since its leases could not be
    extended before another write. So are all that the store doesn't hold yet while it
    doesn't answer.
    """
    states, sole_at = schedule.instances, schedule.sole_at
    is_store_away = sole_at is None or now - sole_at > AUTHORITY_TIMEOUT
    return {
        name: bound
        for name, bound in find_bounds_to_leave(schedule, lease, now).items()
        if (name in schedule.stored_bounds or not is_store_away)
        and (
            name not in states
            or name in schedule.inherited_bounds
            or _is_silent_for_long(states[name], now)
        )
    }


def _is_silent_for_long(state: InstanceState, now: dt.datetime) -> bool:
    since = state.silent_since
    return since is not None and now - since >= MIN_SILENCE


def _expire_instance(
    schedule: Schedule, state: InstanceState, now: dt.datetime
) -> list[Effect]:
    effects: list[Effect] = []
    ends = {run: find_late_end(schedule, state, run) for run in state.runs.values()}
    lost = [run for run, end in ends.items() if end is None or now >= end]
    if lost:
        fields = {"instance": state.instance.instance_id, "runs": len(lost)}
        effects.append(LogNote(Event.INSTANCE_LOST, fields))
    for run in lost:
        requeue_lost_run(schedule, run, ended_at=state.silent_since)
    if not state.is_registered and not state.runs:
        instance_id = state.instance.instance_id
        schedule.restart_counts[instance_id] = state.restart_count + 1
        del schedule.instances[instance_id]
        if schedule.inherited_fleet is not None:
            schedule.inherited_fleet -= {instance_id}
    return effects


def expect_late_start(run: RunState, lease: dt.timedelta) -> None:
    """Keep a run until its start, should it arrive late, has run out of its lease.

    An incarnation that has not been listed accepts it.
    """
    run.late_until = latest_lease_expiry(run.ordered_at + MAX_ORDER_DELAY, lease)
