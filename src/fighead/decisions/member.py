"""Decisions on membership and the revision in force of one entry."""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import PMap

from .. import message as m
from ..model import Revision
from . import Step, life
from .life import Life
from .member_claims import (
    balance_claims,
    drop_claim,
    drop_lost,
    forget_own,
    give_way,
    lose_lease,
    note_failure,
    win_claim,
)
from .member_state import (
    ClaimDropped,
    ClaimFailed,
    ClaimWon,
    ControlChanged,
    ControlLoaded,
    FrontIdle,
    LeaseGranted,
    LeaseLapsed,
    MemberState,
    MemberStep,
    PeerSeen,
    PlatformSeen,
    Publish,
    ResourceClosed,
    RevisionApplied,
    RevisionHeard,
    RevisionIgnored,
    StoreSeen,
    Superseded,
    WriteMember,
)

#: Time without the store and without a peer after which an entry leaves the
#: balancer.
ISOLATION_LIMIT = dt.timedelta(seconds=10)


def decide(state: MemberState, msg: t.Any, now: dt.datetime) -> MemberStep:
    """Return the new state and the effects of one message."""
    step = _handle(state, msg, now)
    if not isinstance(msg, PeerSeen | StoreSeen | PlatformSeen):
        step = step.then(lambda s: balance_claims(s, now))
    if _shows_the_same(state, step.state):
        return step
    return Step(step.state, (*step.effects, Publish(view_of(step.state))))


def _shows_the_same(before: MemberState, after: MemberState) -> bool:
    # Unchanged parts keep their identity, which spares comparing all claims.
    return all(
        getattr(before, name) is getattr(after, name)
        for name in (
            "members",
            "claims",
            "routes",
            "revision",
            "platform_gone",
            "platform_leaving",
            "store_reachable",
        )
    )


def view_of(state: MemberState) -> m.View:
    """Return what the other tasks of the entry are told."""
    return m.View(
        me=state.me.name,
        members=state.members,
        claims=state.claims,
        routes=state.routes,
        revision=state.revision,
        platform_gone=state.platform_gone,
        platform_leaving=state.platform_leaving,
        store_reachable=state.store_reachable,
    )


def is_ready(state: MemberState, now: dt.datetime) -> bool:
    """Whether the balancer should send requests to this entry."""
    if state.life is not Life.SERVING or state.revision is None:
        return False
    seen = [at for at in (state.store_seen_at, state.peer_seen_at) if at is not None]
    return bool(seen) and now - max(seen) < ISOLATION_LIMIT


def _handle(state: MemberState, msg: t.Any, now: dt.datetime) -> MemberStep:
    match msg:
        case LeaseGranted(lease):
            return _announce(evolve(state, lease=lease))
        case LeaseLapsed():
            return lose_lease(state)
        case ControlLoaded() | ControlChanged():
            return _take_control(state, msg)
        case ClaimWon():
            return win_claim(state, msg)
        case ClaimFailed(resource):
            return Step(note_failure(state, resource))
        case ClaimDropped(resource):
            claims = state.claims.discard(resource)
            return Step(forget_own(evolve(state, claims=claims), resource))
        case Superseded():
            return give_way(state, msg)
        case ResourceClosed(resource):
            return drop_claim(state, resource)
        case RevisionHeard(revision):
            return _apply_revision(state, revision)
        case PeerSeen():
            return Step(evolve(state, peer_seen_at=now))
        case StoreSeen(reachable):
            return Step(_note_store(state, reachable, now))
        case PlatformSeen(leaving, gone):
            return Step(_note_platform(state, leaving, gone))
        case m.Stop():
            return _drain(state)
        case FrontIdle():
            return Step(evolve(state, front_is_idle=True))
        case m.Tick():
            return Step(state)
    raise TypeError(f"Unexpected message {type(msg).__name__}.")


def _announce(state: MemberState) -> MemberStep:
    if not state.lease:
        return Step(state)
    return Step(state, (WriteMember(state.me, state.lease),))


def _note_store(state: MemberState, reachable: bool, now: dt.datetime) -> MemberState:
    seen_at = now if reachable else state.store_seen_at
    return evolve(state, store_reachable=reachable, store_seen_at=seen_at)


def _note_platform(
    state: MemberState, leaving: frozenset[str], gone: frozenset[str]
) -> MemberState:
    if (leaving, gone) == (state.platform_leaving, state.platform_gone):
        return state
    return evolve(state, platform_leaving=leaving, platform_gone=gone)


def _take_control(
    state: MemberState, msg: ControlLoaded | ControlChanged
) -> MemberStep:
    if msg.revision < state.seen_revision:
        # The store answered from the past.
        return Step(state)
    if isinstance(msg, ControlLoaded):
        members, claims = msg.members, msg.claims
    else:
        members = _merge(state.members, msg.members)
        claims = _merge(state.claims, msg.claims)
    state = evolve(
        state,
        members=members,
        claims=claims,
        routes=state.routes.update(claims),
        seen_revision=msg.revision,
        is_loaded=True,
    )
    if state.life is Life.STARTING:
        joined = life.change_life(state.life, lambda entry: entry.join())
        state = evolve(state, life=joined)
    step = drop_lost(state)
    if msg.current is not None:
        step = step.then(lambda s: _apply_revision(s, msg.current))
    return step


def _merge(known: PMap, changes: PMap) -> PMap:
    for key, value in changes.items():
        known = known.discard(key) if value is None else known.set(key, value)
    return known


def _apply_revision(state: MemberState, revision: Revision) -> MemberStep:
    applied = state.revision
    if applied is not None and revision.number <= applied.number:
        if revision.number < applied.number:
            return Step(state, (RevisionIgnored(revision.number),))
        return Step(state)
    me = evolve(state.me, applied_revision=revision.number)
    state = evolve(state, revision=revision, me=me)
    step = _announce(state)
    return Step(state, (RevisionApplied(revision.number), *step.effects))


def _drain(state: MemberState) -> MemberStep:
    if state.life in (Life.DRAINING, Life.STOPPED):
        return Step(state)
    draining = life.change_life(state.life, lambda entry: entry.drain())
    state = evolve(state, life=draining, me=evolve(state.me, ready=False))
    return _announce(state)
