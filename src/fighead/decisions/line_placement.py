"""Assignment of a line's waiting work to instances."""

import datetime as dt
import typing as t

from ..model import Assignment, WorkRecord
from . import Step, fair_share, quarantine, work_transitions
from .line_state import LineState, LineStep, quarantined_instances, write_record

#: Age above which an owner's load report is not used to assign work.
LOAD_MAX_AGE = dt.timedelta(seconds=5)
#: Slowdown of checks, as an added share of their run time, above which an instance
#: is chosen for a kind only if no other instance has room.
MAX_PREFERRED_SLOWDOWN = 0.2
#: Bounds the time that the handling of one message takes.
MAX_ASSIGNMENTS_PER_MESSAGE = 64


def assign_waiting(state: LineState, now: dt.datetime) -> LineStep:
    """Assign waiting work to instances with room, in fair-share order.

    Does nothing until the line is loaded, or while the store is unreachable.
    """
    if not state.is_loaded or not state.store_reachable or not state.shares.waiting:
        return Step(state)
    room_by_instance = batch_room_by_instance(state, now)
    step = Step(state)
    for _ in range(MAX_ASSIGNMENTS_PER_MESSAGE):
        if not room_by_instance:
            break
        next_step = _assign_next(step.state, room_by_instance, now)
        if not next_step.effects:
            break
        step = Step(next_step.state, step.effects + next_step.effects)
    return step


def _assign_next(
    state: LineState, room_by_instance: dict[str, int], now: dt.datetime
) -> LineStep:
    floor = state.upstream.watch_floor
    for group in fair_share.rank_groups(
        state.shares, state.kinds, state.weights, floor
    ):
        if not may_assign(state, group.kind):
            continue
        first = state.shares.waiting[group][0]
        item = state.items[first.work_id]
        target = choose_instance(state, item.record, room_by_instance)
        if target is None:
            continue
        room_by_instance[target.instance] -= 1
        if not room_by_instance[target.instance]:
            del room_by_instance[target.instance]
        assigned = work_transitions.apply(
            item.record, lambda work, to=target: work.assign(to)
        )
        return write_record(state, item, assigned, now)
    return Step(state)


def may_assign(state: LineState, kind: str) -> bool:
    """Whether work of ``kind`` may take a slot.

    Always true for plans; for watches, only while plans keep their share of slots.
    """
    if not fair_share.is_watch(state.kinds, kind):
        return True
    slots = sum(received.load.batch_slots for received in state.loads.values())
    return fair_share.may_add_watch(state.shares, state.kinds, slots)


def batch_room_by_instance(state: LineState, now: dt.datetime) -> dict[str, int]:
    """Return the number of batch tasks that each usable instance can still take.

    Instances without room are left out, as are unreachable, leaving and removed
    ones and those whose load report is too old. A quarantined instance has room
    for one probe at most.
    """
    quarantined = quarantined_instances(state)
    room_by_instance = {}
    for name in state.instances_with_room:
        received = state.loads[name]
        if name in state.leaving or name in state.gone or not received.load.reachable:
            continue
        if now - received.received_at > LOAD_MAX_AGE:
            continue
        room = received.load.batch_room - len(state.reserved_tasks.get(name, ()))
        if name in quarantined:
            room = min(room, _probe_allowance(state, name, now))
        if room > 0:
            room_by_instance[name] = room
    return room_by_instance


def _probe_allowance(state: LineState, name: str, now: dt.datetime) -> int:
    may_probe = quarantine.may_probe(state.health[name], now)
    return 1 if may_probe and not state.reserved_tasks.get(name) else 0


def choose_instance(
    state: LineState, record: WorkRecord, room_by_instance: t.Mapping[str, int]
) -> Assignment | None:
    """Return the best instance with room for the work, or ``None``.

    Prefers instances where the kind slows checks little, then those with the most
    room. Instances on which the work failed are not used.

    :param room_by_instance: Number of batch tasks that each instance can still take.
    """
    usable = [name for name in room_by_instance if name not in record.failed_on]
    if not usable:
        return None
    best = min(
        usable,
        key=lambda name: _assignment_cost(
            state, name, record.kind, room_by_instance[name]
        ),
    )
    load = state.loads[best].load
    return Assignment(best, load.epoch, load.boot)


def _assignment_cost(
    state: LineState, name: str, kind: str, room: int
) -> tuple[bool, int, float, str]:
    slowdown = state.loads[name].load.slowdown.get(kind, 0.0)
    return (slowdown > MAX_PREFERRED_SLOWDOWN, -room, slowdown, name)
