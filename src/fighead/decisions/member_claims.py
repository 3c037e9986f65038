"""Decisions on an entry's own claims: acquire, keep, hand over and release."""

import datetime as dt
import typing as t

from attrs import evolve
from pyrsistent import pmap

from ..model import Claim, Revision
from . import Step, lifecycle, ownership
from .lifecycle import ClaimStage, EntryStage
from .member_state import (
    ClaimDropped,
    ClaimWon,
    CloseResource,
    DropClaim,
    EndEntry,
    InstanceSuperseded,
    MemberState,
    MemberStep,
    OpenResource,
    OwnClaim,
    PreferredOwners,
    RetireResource,
    WriteClaim,
)

#: Number of claims that may be closing at the same time when claims are handed
#: over to their preferred owners.
MAX_CONCURRENT_HANDOVERS = 2
#: Time for which the store must list an untracked claim as this entry's before
#: the entry serves it.
UNTRACKED_CLAIM_DELAY = dt.timedelta(seconds=2)


def handle_lease_expired(state: MemberState) -> MemberStep:
    """Orphan held instances and retire all other resources.

    Orphaned instances are served until each is claimed again or found to be
    claimed by another entry; the epoch check at the instance makes that safe. A
    line can't be written without its claim, so lines are given up.
    """
    step = Step(evolve(state, lease=0))
    for own_claim in state.own_claims.values():
        step = step.then(lambda s, own_claim=own_claim: _expire_claim(s, own_claim))
    claims = step.state.claims
    for resource, claim in state.claims.items():
        if claim.owner == state.me.name:
            claims = claims.discard(resource)
    return Step(evolve(step.state, claims=claims), step.effects)


def _expire_claim(state: MemberState, own_claim: OwnClaim) -> MemberStep:
    is_open = own_claim.stage in (ClaimStage.HELD, ClaimStage.ORPHANED)
    if is_open and own_claim.resource.startswith(ownership.INSTANCE_PREFIX):
        stage = lifecycle.next_claim_stage(
            own_claim.stage, lambda claim: claim.expire()
        )
        orphan = evolve(own_claim, stage=stage, is_writing=False)
        return Step(
            evolve(state, own_claims=state.own_claims.set(own_claim.resource, orphan))
        )
    state = forget_own_claim(state, own_claim.resource)
    if own_claim.stage is ClaimStage.CLAIMING:
        return Step(state)
    return Step(state, (RetireResource(own_claim.resource),))


def handle_claim_failed(state: MemberState, resource: str) -> MemberState:
    """Allow another write of a claim after a failed one.

    A claim in stage CLAIMING is forgotten; any other keeps its stage.
    """
    own_claim = state.own_claims.get(resource)
    if own_claim is None or own_claim.stage is ClaimStage.CLAIMING:
        return forget_own_claim(state, resource)
    idle = evolve(own_claim, is_writing=False)
    return evolve(state, own_claims=state.own_claims.set(resource, idle))


def reconcile_claims(state: MemberState) -> MemberStep:
    """Bring own claims in line with the claims that the store lists.

    Resources claimed by another entry under a higher epoch are retired. Claims
    that the store no longer lists are treated as if their lease had expired.
    """
    step = Step(state)
    for resource, own_claim in state.own_claims.items():
        if own_claim.stage is ClaimStage.CLAIMING:
            continue
        claim = state.claims.get(resource)
        if claim is None and state.store_revision >= own_claim.epoch:
            step = step.then(
                lambda s, own_claim=own_claim: _expire_unless_orphaned(s, own_claim)
            )
        elif claim is not None and _is_taken_over(state, claim, own_claim):
            forgotten = forget_own_claim(step.state, resource)
            step = Step(forgotten, (*step.effects, RetireResource(resource)))
    return step


def _expire_unless_orphaned(state: MemberState, own_claim: OwnClaim) -> MemberStep:
    if own_claim.stage is ClaimStage.ORPHANED:
        return Step(state)
    return _expire_claim(state, own_claim)


def _is_taken_over(state: MemberState, claim: Claim, own_claim: OwnClaim) -> bool:
    return claim.owner != state.me.name and claim.epoch > own_claim.epoch


def handle_claim_won(state: MemberState, msg: ClaimWon) -> MemberStep:
    """Open the resource, or drop the claim if it is no longer wanted."""
    own_claim = state.own_claims.get(msg.resource)
    if own_claim is None or own_claim.stage not in (
        ClaimStage.CLAIMING,
        ClaimStage.ORPHANED,
    ):
        return Step(state, (DropClaim(msg.resource, msg.epoch),))
    stage = lifecycle.next_claim_stage(own_claim.stage, lambda claim: claim.win())
    held = OwnClaim(msg.resource, stage, msg.epoch)
    claim = Claim(msg.resource, state.me.name, msg.epoch)
    state = evolve(
        state,
        own_claims=state.own_claims.set(msg.resource, held),
        claims=state.claims.set(msg.resource, claim),
        routes=state.routes.set(msg.resource, claim),
    )
    return Step(state, (OpenResource(msg.resource, msg.epoch),))


def handle_claim_dropped(state: MemberState, msg: ClaimDropped) -> MemberState:
    """Forget a claim that was deleted; one of a higher epoch, of any entry, stays."""
    claim = state.claims.get(msg.resource)
    if claim is not None and claim.epoch <= msg.epoch:
        state = evolve(state, claims=state.claims.discard(msg.resource))
    own_claim = state.own_claims.get(msg.resource)
    if own_claim is None or own_claim.epoch != msg.epoch:
        return state
    return forget_own_claim(state, msg.resource)


def forget_own_claim(state: MemberState, resource: str) -> MemberState:
    """Stop tracking an own claim; the claim in the store is not touched."""
    return evolve(state, own_claims=state.own_claims.discard(resource))


def handle_superseded(state: MemberState, msg: InstanceSuperseded) -> MemberStep:
    """Retire an instance that has seen a higher epoch.

    Does nothing if the own claim has a different epoch than the message.
    """
    own_claim = state.own_claims.get(msg.resource)
    if own_claim is None or own_claim.epoch != msg.epoch:
        return Step(state)
    state = forget_own_claim(state, msg.resource)
    return Step(state, (RetireResource(msg.resource),))


def handle_resource_closed(state: MemberState, resource: str) -> MemberStep:
    """Drop the claim on a resource whose task has finished closing."""
    own_claim = state.own_claims.get(resource)
    if own_claim is None or own_claim.stage is not ClaimStage.CLOSING:
        return Step(state)
    stage = lifecycle.next_claim_stage(
        own_claim.stage, lambda claim: claim.finish_closing()
    )
    state = evolve(
        state,
        own_claims=state.own_claims.set(resource, evolve(own_claim, stage=stage)),
    )
    return Step(state, (DropClaim(resource, own_claim.epoch),))


def balance_claims(state: MemberState, now: dt.datetime) -> MemberStep:
    """Claim unclaimed resources and hand over those that others should own.

    A draining entry closes all its claims, and ends once they are gone and the
    caller front has drained. A serving entry does nothing while it has no lease,
    no applied revision or no member record in the store.
    """
    if state.stage is EntryStage.DRAINING:
        return _close_all(state)
    if (
        state.stage is not EntryStage.SERVING
        or state.revision is None
        or not state.lease
    ):
        return Step(state)
    if state.me.name not in state.members:
        return Step(state)
    preferred = _preferred_owners(state, state.revision)
    state = evolve(state, preferred_owners=preferred)
    step = _claim_unclaimed(
        state, preferred.zone_by_resource, preferred.owner_by_resource, now
    )
    step = step.then(lambda s: _hand_over(s, preferred.owner_by_resource, now))
    step = step.then(lambda s: _adopt_untracked(s, now))
    return step.then(lambda s: _close_undeclared(s, preferred.zone_by_resource))


def _preferred_owners(state: MemberState, revision: Revision) -> PreferredOwners:
    cached = state.preferred_owners
    if (
        cached is not None
        and cached.revision == revision.number
        and cached.members is state.members
    ):
        return cached
    zone_by_resource = ownership.zones_by_resource(revision.inventory)
    owner_by_resource = ownership.assign_owners(
        zone_by_resource, tuple(state.members.values())
    )
    return PreferredOwners(
        revision.number, state.members, zone_by_resource, owner_by_resource
    )


def _claim_unclaimed(
    state: MemberState,
    zone_by_resource: t.Mapping[str, str],
    owner_by_resource: t.Mapping[str, str],
    now: dt.datetime,
) -> MemberStep:
    effects: list[t.Any] = []
    own_claims = state.own_claims
    unclaimed = [name for name in zone_by_resource if name not in state.claims]
    first_seen = {name: state.unclaimed_since.get(name, now) for name in unclaimed}
    for resource in unclaimed:
        own_claim = own_claims.get(resource)
        if own_claim is not None:
            if own_claim.stage is ClaimStage.ORPHANED and not own_claim.is_writing:
                own_claims = own_claims.set(
                    resource, evolve(own_claim, is_writing=True)
                )
                effects.append(WriteClaim(resource, state.lease))
            continue
        preferred, since = owner_by_resource.get(resource, ""), first_seen[resource]
        if preferred == state.me.name or now - since >= ownership.claim_delay(
            resource,
            zone_by_resource[resource],
            state.me.name,
            preferred,
            state.members.values(),
        ):
            own_claims = own_claims.set(resource, OwnClaim(resource))
            effects.append(WriteClaim(resource, state.lease))
    if first_seen != state.unclaimed_since or own_claims is not state.own_claims:
        state = evolve(state, unclaimed_since=pmap(first_seen), own_claims=own_claims)
    return Step(state, tuple(effects))


def _adopt_untracked(state: MemberState, now: dt.datetime) -> MemberStep:
    """Serve claims whose writes took effect after they were reported as failed.

    No other entry can claim such a resource while this entry's lease is alive,
    so it would stay unserved. The delay leaves time for changes that are still
    on their way from the store.
    """
    untracked = {
        resource: state.untracked_since.get(resource, now)
        for resource, claim in state.claims.items()
        if claim.owner == state.me.name and resource not in state.own_claims
    }
    if untracked != state.untracked_since:
        state = evolve(state, untracked_since=pmap(untracked))
    effects = []
    own_claims = state.own_claims
    for resource, since in untracked.items():
        if now - since >= UNTRACKED_CLAIM_DELAY:
            epoch = state.claims[resource].epoch
            own_claims = own_claims.set(
                resource, OwnClaim(resource, ClaimStage.HELD, epoch)
            )
            effects.append(OpenResource(resource, epoch))
    if effects:
        state = evolve(state, own_claims=own_claims)
    return Step(state, tuple(effects))


def _hand_over(
    state: MemberState, owner_by_resource: t.Mapping[str, str], now: dt.datetime
) -> MemberStep:
    misplaced = {
        resource: state.misplaced_since.get(resource, now)
        for resource, own_claim in state.own_claims.items()
        if own_claim.stage is ClaimStage.HELD
        and owner_by_resource.get(resource, state.me.name) != state.me.name
    }
    due = [
        resource
        for resource, since in misplaced.items()
        if now - since >= ownership.HANDOVER_DELAY
    ]
    if misplaced != state.misplaced_since:
        state = evolve(state, misplaced_since=pmap(misplaced))
    step = Step(state)
    closing = sum(
        own_claim.stage is ClaimStage.CLOSING for own_claim in state.own_claims.values()
    )
    for resource in sorted(due)[: max(0, MAX_CONCURRENT_HANDOVERS - closing)]:
        step = step.then(lambda s, resource=resource: _close_resource(s, resource))
    return step


def _close_resource(state: MemberState, resource: str) -> MemberStep:
    own_claim = state.own_claims[resource]
    stage = lifecycle.next_claim_stage(
        own_claim.stage, lambda claim: claim.start_closing()
    )
    closing = state.own_claims.set(resource, evolve(own_claim, stage=stage))
    return Step(evolve(state, own_claims=closing), (CloseResource(resource),))


def _close_undeclared(state: MemberState, declared: t.Container[str]) -> MemberStep:
    step = Step(state)
    for resource, own_claim in state.own_claims.items():
        if own_claim.stage is ClaimStage.HELD and resource not in declared:
            step = step.then(lambda s, resource=resource: _close_resource(s, resource))
    return step


def _close_all(state: MemberState) -> MemberStep:
    step = Step(state)
    for resource, own_claim in state.own_claims.items():
        if own_claim.stage in (ClaimStage.HELD, ClaimStage.ORPHANED):
            step = step.then(lambda s, resource=resource: _close_resource(s, resource))
    if step.state.own_claims or not step.state.is_front_drained:
        return step
    stopped = lifecycle.next_entry_stage(step.state.stage, lambda entry: entry.finish())
    ended = evolve(step.state, stage=stopped)
    return Step(ended, (*step.effects, EndEntry(ended.lease)))
