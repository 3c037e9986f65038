"""Decisions of an entry on its claims: make, keep, hand over, give up."""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import pmap

from ..model import Claim, Revision
from . import Step, life, ownership
from .life import ClaimStage, Life
from .member_state import (
    ClaimWon,
    CloseResource,
    DropClaim,
    EndEntry,
    MemberState,
    MemberStep,
    OpenResource,
    OwnClaim,
    Placement,
    RetireResource,
    Superseded,
    WriteClaim,
)

#: Claims that are handed over for balance at once.
HANDOVERS_AT_ONCE = 2
#: Time for which a claim must be seen as this entry's own before it is served.
STRAY_DELAY = dt.timedelta(seconds=2)


def lose_lease(state: MemberState) -> MemberStep:
    """Go on with instances until each is claimed anew or seen to be another's.

    The epoch at the instance keeps that safe. A line can't be written without
    its claim, so lines are given up.
    """
    step = Step(evolve(state, lease=0))
    for mine in state.own.values():
        step = step.then(lambda s, mine=mine: _lapse(s, mine))
    claims = step.state.claims
    for resource, claim in state.claims.items():
        if claim.owner == state.me.name:
            claims = claims.discard(resource)
    return Step(evolve(step.state, claims=claims), step.effects)


def _lapse(state: MemberState, mine: OwnClaim) -> MemberStep:
    keeps = mine.stage in (ClaimStage.HELD, ClaimStage.ORPHANED)
    if keeps and mine.resource.startswith(ownership.INSTANCE_PREFIX):
        stage = life.change_claim(mine.stage, lambda claim: claim.lapse())
        orphan = evolve(mine, stage=stage, is_writing=False)
        return Step(evolve(state, own=state.own.set(mine.resource, orphan)))
    state = forget_own(state, mine.resource)
    if mine.stage is ClaimStage.CLAIMING:
        return Step(state)
    return Step(state, (RetireResource(mine.resource),))


def note_failure(state: MemberState, resource: str) -> MemberState:
    """Note that the store did not take a claim."""
    mine = state.own.get(resource)
    if mine is None or mine.stage is ClaimStage.CLAIMING:
        return forget_own(state, resource)
    waiting = evolve(mine, is_writing=False)
    return evolve(state, own=state.own.set(resource, waiting))


def drop_lost(state: MemberState) -> MemberStep:
    """Give up what the store says is another's, and orphan what is nobody's."""
    step = Step(state)
    for resource, mine in state.own.items():
        if mine.stage is ClaimStage.CLAIMING:
            continue
        claim = state.claims.get(resource)
        if claim is None and state.seen_revision >= mine.epoch:
            step = step.then(lambda s, mine=mine: _lapse_once(s, mine))
        elif claim is not None and _is_anothers(state, claim, mine):
            forgotten = forget_own(step.state, resource)
            step = Step(forgotten, (*step.effects, RetireResource(resource)))
    return step


def _lapse_once(state: MemberState, mine: OwnClaim) -> MemberStep:
    if mine.stage is ClaimStage.ORPHANED:
        return Step(state)
    return _lapse(state, mine)


def _is_anothers(state: MemberState, claim: Claim, mine: OwnClaim) -> bool:
    return claim.owner != state.me.name and claim.epoch > mine.epoch


def win_claim(state: MemberState, msg: ClaimWon) -> MemberStep:
    """Open a resource whose claim the store took."""
    own = state.own.get(msg.resource)
    if own is None or own.stage not in (ClaimStage.CLAIMING, ClaimStage.ORPHANED):
        return Step(state, (DropClaim(msg.resource, msg.epoch),))
    stage = life.change_claim(own.stage, lambda claim: claim.win())
    held = OwnClaim(msg.resource, stage, msg.epoch)
    claim = Claim(msg.resource, state.me.name, msg.epoch)
    state = evolve(
        state,
        own=state.own.set(msg.resource, held),
        claims=state.claims.set(msg.resource, claim),
        routes=state.routes.set(msg.resource, claim),
    )
    return Step(state, (OpenResource(msg.resource, msg.epoch),))


def forget_own(state: MemberState, resource: str) -> MemberState:
    """Forget an own claim."""
    return evolve(state, own=state.own.discard(resource))


def give_way(state: MemberState, msg: Superseded) -> MemberStep:
    """Give up an instance that has seen a higher epoch."""
    own = state.own.get(msg.resource)
    if own is None or own.epoch != msg.epoch:
        return Step(state)
    state = forget_own(state, msg.resource)
    return Step(state, (RetireResource(msg.resource),))


def drop_claim(state: MemberState, resource: str) -> MemberStep:
    """Remove the claim on a resource that is closed."""
    own = state.own.get(resource)
    if own is None or own.stage is not ClaimStage.CLOSING:
        return Step(state)
    stage = life.change_claim(own.stage, lambda claim: claim.closed())
    state = evolve(state, own=state.own.set(resource, evolve(own, stage=stage)))
    return Step(state, (DropClaim(resource, own.epoch),))


def balance_claims(state: MemberState, now: dt.datetime) -> MemberStep:
    """Claim what is free, hand over what suits others better."""
    if state.life is Life.DRAINING:
        return _close_all(state)
    if state.life is not Life.SERVING or state.revision is None or not state.lease:
        return Step(state)
    if state.me.name not in state.members:
        return Step(state)
    placement = _placement(state, state.revision)
    state = evolve(state, placement=placement)
    step = _claim_free(state, placement.zones, placement.owners, now)
    step = step.then(lambda s: _hand_over(s, placement.owners, now))
    step = step.then(lambda s: _take_up_strays(s, now))
    return step.then(lambda s: _close_undeclared(s, placement.zones))


def _placement(state: MemberState, revision: Revision) -> Placement:
    known = state.placement
    if (
        known is not None
        and known.revision == revision.number
        and known.members is state.members
    ):
        return known
    zones = ownership.resources_of(revision.inventory)
    owners = ownership.assign_owners(zones, tuple(state.members.values()))
    return Placement(revision.number, state.members, zones, owners)


def _claim_free(
    state: MemberState,
    zones: t.Mapping[str, str],
    owners: t.Mapping[str, str],
    now: dt.datetime,
) -> MemberStep:
    effects: list[t.Any] = []
    own = state.own
    free = [resource for resource in zones if resource not in state.claims]
    since_by = {name: state.free_since.get(name, now) for name in free}
    for resource in free:
        mine = own.get(resource)
        if mine is not None:
            if mine.stage is ClaimStage.ORPHANED and not mine.is_writing:
                own = own.set(resource, evolve(mine, is_writing=True))
                effects.append(WriteClaim(resource, state.lease))
            continue
        preferred, since = owners.get(resource, ""), since_by[resource]
        if preferred == state.me.name or now - since >= ownership.claim_delay(
            resource,
            zones[resource],
            state.me.name,
            preferred,
            state.members.values(),
        ):
            own = own.set(resource, OwnClaim(resource))
            effects.append(WriteClaim(resource, state.lease))
    if since_by != state.free_since or own is not state.own:
        state = evolve(state, free_since=pmap(since_by), own=own)
    return Step(state, tuple(effects))


def _take_up_strays(state: MemberState, now: dt.datetime) -> MemberStep:
    """Serve a claim whose write took effect after it was given up as failed.

    Nobody else may claim the resource while this entry's lease lives. The pause
    leaves time for news that are still on their way.
    """
    strays = {
        resource: state.stray_since.get(resource, now)
        for resource, claim in state.claims.items()
        if claim.owner == state.me.name and resource not in state.own
    }
    if strays != state.stray_since:
        state = evolve(state, stray_since=pmap(strays))
    effects = []
    own = state.own
    for resource, since in strays.items():
        if now - since >= STRAY_DELAY:
            epoch = state.claims[resource].epoch
            own = own.set(resource, OwnClaim(resource, ClaimStage.HELD, epoch))
            effects.append(OpenResource(resource, epoch))
    if effects:
        state = evolve(state, own=own)
    return Step(state, tuple(effects))


def _hand_over(
    state: MemberState, owners: t.Mapping[str, str], now: dt.datetime
) -> MemberStep:
    misplaced = {
        resource: state.misplaced_since.get(resource, now)
        for resource, own in state.own.items()
        if own.stage is ClaimStage.HELD
        and owners.get(resource, state.me.name) != state.me.name
    }
    ready = [
        resource
        for resource, since in misplaced.items()
        if now - since >= ownership.HANDOVER_DELAY
    ]
    if misplaced != state.misplaced_since:
        state = evolve(state, misplaced_since=pmap(misplaced))
    step = Step(state)
    closing = sum(own.stage is ClaimStage.CLOSING for own in state.own.values())
    for resource in sorted(ready)[: max(0, HANDOVERS_AT_ONCE - closing)]:
        step = step.then(lambda s, resource=resource: _close(s, resource))
    return step


def _close(state: MemberState, resource: str) -> MemberStep:
    own = state.own[resource]
    stage = life.change_claim(own.stage, lambda claim: claim.close())
    closing = state.own.set(resource, evolve(own, stage=stage))
    return Step(evolve(state, own=closing), (CloseResource(resource),))


def _close_undeclared(state: MemberState, declared: t.Container[str]) -> MemberStep:
    step = Step(state)
    for resource, own in state.own.items():
        if own.stage is ClaimStage.HELD and resource not in declared:
            step = step.then(lambda s, resource=resource: _close(s, resource))
    return step


def _close_all(state: MemberState) -> MemberStep:
    step = Step(state)
    for resource, own in state.own.items():
        if own.stage in (ClaimStage.HELD, ClaimStage.ORPHANED):
            step = step.then(lambda s, resource=resource: _close(s, resource))
    if step.state.own or not step.state.front_is_idle:
        return step
    stopped = life.change_life(step.state.life, lambda entry: entry.finish())
    ended = evolve(step.state, life=stopped)
    return Step(ended, (*step.effects, EndEntry(ended.lease)))
