"""Decisions on an entry's membership and the revision it has applied."""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import PMap

from .. import message as m
from ..model import Revision
from . import Step, lifecycle
from .lifecycle import EntryStage
from .member_claims import (
    balance_claims,
    handle_claim_dropped,
    handle_claim_failed,
    handle_claim_won,
    handle_lease_expired,
    handle_resource_closed,
    handle_superseded,
    reconcile_claims,
)
from .member_state import (
    ClaimDropped,
    ClaimFailed,
    ClaimWon,
    ControlChanged,
    ControlLoaded,
    FrontDrained,
    InstanceSuperseded,
    LeaseExpired,
    LeaseGranted,
    MemberState,
    MemberStep,
    PeerAnswered,
    PlatformInstances,
    PublishView,
    ResourceClosed,
    RevisionApplied,
    RevisionIgnored,
    RevisionReceived,
    StoreReachability,
    WriteMember,
)

#: Time without contact to the store or to any peer after which an entry reports
#: itself as not ready to the balancer.
ISOLATION_LIMIT = dt.timedelta(seconds=10)


def decide(state: MemberState, msg: t.Any, now: dt.datetime) -> MemberStep:
    """Handle one message and rebalance claims where it may affect them.

    The last effect is :class:`PublishView` if anything in the view has changed.

    :raises TypeError: If ``msg`` is not a membership message.
    """
    step = _handle(state, msg, now)
    if not isinstance(msg, PeerAnswered | StoreReachability | PlatformInstances):
        step = step.then(lambda s: balance_claims(s, now))
    if _has_same_view(state, step.state):
        return step
    return Step(step.state, (*step.effects, PublishView(build_view(step.state))))


def _has_same_view(before: MemberState, after: MemberState) -> bool:
    # Unchanged values are the same objects, so comparing identity is enough and
    # avoids comparing all claims.
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


def build_view(state: MemberState) -> m.View:
    """Return the part of the state that the entry's other tasks receive."""
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
    """Whether the balancer should send requests to this entry.

    An entry is ready while it is serving, has applied a revision and has reached
    the store or a peer within :data:`ISOLATION_LIMIT`.
    """
    if state.stage is not EntryStage.SERVING or state.revision is None:
        return False
    contacts = [
        at for at in (state.store_reached_at, state.peer_reached_at) if at is not None
    ]
    return bool(contacts) and now - max(contacts) < ISOLATION_LIMIT


def _handle(state: MemberState, msg: t.Any, now: dt.datetime) -> MemberStep:
    match msg:
        case LeaseGranted(lease):
            return _write_member(evolve(state, lease=lease))
        case LeaseExpired():
            return handle_lease_expired(state)
        case ControlLoaded() | ControlChanged():
            return _apply_control(state, msg)
        case ClaimWon():
            return handle_claim_won(state, msg)
        case ClaimFailed(resource):
            return Step(handle_claim_failed(state, resource))
        case ClaimDropped():
            return Step(handle_claim_dropped(state, msg))
        case InstanceSuperseded():
            return handle_superseded(state, msg)
        case ResourceClosed(resource):
            return handle_resource_closed(state, resource)
        case RevisionReceived(revision):
            return _apply_revision(state, revision)
        case PeerAnswered():
            return Step(evolve(state, peer_reached_at=now))
        case StoreReachability(reachable):
            return Step(_update_store_contact(state, reachable, now))
        case PlatformInstances(leaving, gone):
            return Step(_update_platform_instances(state, leaving, gone))
        case m.Stop():
            return _drain(state)
        case FrontDrained():
            return Step(evolve(state, is_front_drained=True))
        case m.Tick():
            return Step(state)
    raise TypeError(
        f"Membership received {type(msg).__name__}; expected Stop, Tick or a message"
        " class of member_state."
    )


def _write_member(state: MemberState) -> MemberStep:
    if not state.lease:
        return Step(state)
    return Step(state, (WriteMember(state.me, state.lease),))


def _update_store_contact(
    state: MemberState, reachable: bool, now: dt.datetime
) -> MemberState:
    reached_at = now if reachable else state.store_reached_at
    return evolve(state, store_reachable=reachable, store_reached_at=reached_at)


def _update_platform_instances(
    state: MemberState, leaving: frozenset[str], gone: frozenset[str]
) -> MemberState:
    if (leaving, gone) == (state.platform_leaving, state.platform_gone):
        return state
    return evolve(state, platform_leaving=leaving, platform_gone=gone)


def _apply_control(
    state: MemberState, msg: ControlLoaded | ControlChanged
) -> MemberStep:
    if msg.store_revision < state.store_revision:
        # The store returned data older than what has already been applied.
        return Step(state)
    if isinstance(msg, ControlLoaded):
        members, claims = msg.members, msg.claims
    else:
        members = _merge_changes(state.members, msg.members)
        claims = _merge_changes(state.claims, msg.claims)
    state = evolve(
        state,
        members=members,
        claims=claims,
        routes=state.routes.update(claims),
        store_revision=msg.store_revision,
        is_loaded=True,
    )
    if state.stage is EntryStage.STARTING:
        serving = lifecycle.next_entry_stage(state.stage, lambda entry: entry.join())
        state = evolve(state, stage=serving)
    step = reconcile_claims(state)
    if msg.current_revision is not None:
        step = step.then(lambda s: _apply_revision(s, msg.current_revision))
    return step


def _merge_changes(known: PMap, changes: PMap) -> PMap:
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
    step = _write_member(state)
    return Step(state, (RevisionApplied(revision.number), *step.effects))


def _drain(state: MemberState) -> MemberStep:
    if state.stage in (EntryStage.DRAINING, EntryStage.STOPPED):
        return Step(state)
    draining = lifecycle.next_entry_stage(state.stage, lambda entry: entry.drain())
    state = evolve(state, stage=draining, me=evolve(state.me, ready=False))
    return _write_member(state)
