"""Decisions of the holder of a line on which work starts where."""

import datetime as dt
import typing as t

from ..model import Assignment, WorkRecord
from . import Step, health, item, share
from .line_state import LineState, LineStep, find_suspects, write_record

#: Age at which an owner's report of load says nothing any more.
LOAD_MAX_AGE = dt.timedelta(seconds=5)
#: Largest added slowdown at which a kind is placed beside checks while other
#: instances are left.
PREFERRED_SLOWDOWN = 0.2
#: Placements that one message may cause, so that none takes long.
MAX_PLACEMENTS = 64


def place_waiting(state: LineState, now: dt.datetime) -> LineStep:
    """Give free slots to waiting work in the order of shares."""
    if not state.is_loaded or not state.store_reachable or not state.shares.waiting:
        return Step(state)
    rooms = free_rooms(state, now)
    step = Step(state)
    for _ in range(MAX_PLACEMENTS):
        if not rooms:
            break
        following = _place_one(step.state, rooms, now)
        if not following.effects:
            break
        step = Step(following.state, step.effects + following.effects)
    return step


def _place_one(state: LineState, rooms: dict[str, int], now: dt.datetime) -> LineStep:
    floor = state.upstream.watch_floor
    for group in share.order(state.shares, state.kinds, state.weights, floor):
        if not may_place(state, group.kind):
            continue
        first = state.shares.waiting[group][0]
        found = state.items[first.work_id]
        target = choose_instance(state, found.record, rooms)
        if target is None:
            continue
        rooms[target.instance] -= 1
        if not rooms[target.instance]:
            del rooms[target.instance]
        assigned = item.change(found.record, lambda w, to=target: w.assign(to))
        return write_record(state, found, assigned, now)
    return Step(state)


def may_place(state: LineState, kind: str) -> bool:
    """Whether work of ``kind`` may take a slot, which watches leave to plans."""
    if not share.is_watch(state.kinds, kind):
        return True
    slots = sum(seen.load.batch_slots for seen in state.loads.values())
    return share.may_add_watch(state.shares, state.kinds, slots)


def free_rooms(state: LineState, now: dt.datetime) -> dict[str, int]:
    """Return the batch tasks that each usable instance can still take."""
    avoided = find_suspects(state)
    rooms = {}
    for name in state.roomy:
        seen = state.loads[name]
        if name in state.leaving or name in state.gone or not seen.load.reachable:
            continue
        if now - seen.seen_at > LOAD_MAX_AGE:
            continue
        room = seen.load.batch_room - len(state.placed.get(name, ()))
        if name in avoided:
            room = min(room, _probe_room(state, name, now))
        if room > 0:
            rooms[name] = room
    return rooms


def _probe_room(state: LineState, name: str, now: dt.datetime) -> int:
    may_probe = health.may_probe(state.health[name], now)
    return 1 if may_probe and not state.placed.get(name) else 0


def choose_instance(
    state: LineState, record: WorkRecord, rooms: t.Mapping[str, int]
) -> Assignment | None:
    """Return the best instance with room for the work, or ``None``."""
    usable = [name for name in rooms if name not in record.failed_on]
    if not usable:
        return None
    best = min(usable, key=lambda name: _cost(state, name, record.kind, rooms[name]))
    load = state.loads[best].load
    return Assignment(best, load.epoch, load.boot)


def _cost(
    state: LineState, name: str, kind: str, room: int
) -> tuple[bool, int, float, str]:
    added = state.loads[name].load.slowdown.get(kind, 0.0)
    return (added > PREFERRED_SLOWDOWN, -room, added, name)
