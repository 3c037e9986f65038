"""Decisions on membership, claims and the revision in force of one entry."""

import datetime as dt
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

from .. import message as m
from ..model import Claim, Member, Revision
from . import Step, life, ownership
from .life import ClaimStage, Life

#: Claims that are handed over for balance at once.
HANDOVERS_AT_ONCE = 2
#: Time without the store and without a peer after which an entry leaves the
#: balancer.
ISOLATION_LIMIT = dt.timedelta(seconds=10)


@frozen
class OwnClaim:
    """A claim that this entry makes, holds or gives up.

    :param is_writing: Whether a write of the claim is on its way.
    """

    resource: str
    stage: ClaimStage = ClaimStage.CLAIMING
    epoch: int = 0
    is_writing: bool = False


@frozen
class Placement:
    """Preferred owners, and the revision and members that they follow from."""

    revision: int
    members: PMap
    zones: dict[str, str]
    owners: dict[str, str]


@frozen
class MemberState:
    """What an entry knows of itself and of the others.

    :param lease: The entry's lease; 0 while it has none.
    :param routes: The last claim on each resource, whether or not it stands.
    :param free_since: When each resource without a claim was first seen so.
    :param misplaced_since: When another entry was first preferred for a
        resource that this one holds.
    :param seen_revision: Revision of the store up to which events are known.
    """

    me: Member
    life: Life = Life.STARTING
    lease: int = 0
    is_loaded: bool = False
    members: PMap = pmap()
    claims: PMap = pmap()
    routes: PMap = pmap()
    own: PMap = pmap()
    revision: Revision | None = None
    free_since: PMap = pmap()
    misplaced_since: PMap = pmap()
    platform_gone: frozenset[str] = frozenset()
    platform_leaving: frozenset[str] = frozenset()
    seen_revision: int = 0
    store_seen_at: dt.datetime | None = None
    peer_seen_at: dt.datetime | None = None
    store_reachable: bool = False
    front_is_idle: bool = False
    placement: Placement | None = None


@frozen
class LeaseGranted:
    """Message: the store granted a lease."""

    lease: int


@frozen
class LeaseLapsed:
    """Message: the store no longer knows the lease."""


@frozen
class ControlLoaded:
    """Message: everything under the control prefix, read as a whole."""

    revision: int
    members: PMap
    claims: PMap
    current: Revision | None


@frozen
class ControlChanged:
    """Message: changes under the control prefix, ``None`` for a removal."""

    revision: int
    members: PMap
    claims: PMap
    current: Revision | None


@frozen
class ClaimWon:
    """Message: the store took a claim."""

    resource: str
    epoch: int


@frozen
class ClaimFailed:
    """Message: the store did not take a claim."""

    resource: str


@frozen
class ClaimDropped:
    """Message: a claim that was given up is gone."""

    resource: str


@frozen
class Superseded:
    """Message: an instance has seen a higher epoch than this entry's."""

    resource: str
    epoch: int


@frozen
class ResourceClosed:
    """Message: the task of a resource has nothing in flight any more."""

    resource: str


@frozen
class RevisionHeard:
    """Message: a peer told of a revision."""

    revision: Revision


@frozen
class PeerSeen:
    """Message: a peer answered."""


@frozen
class StoreSeen:
    """Message: whether the store answered the last call."""

    reachable: bool


@frozen
class PlatformSeen:
    """Message: the platform's list of instances that are not just live."""

    leaving: frozenset[str]
    gone: frozenset[str]


@frozen
class FrontIdle:
    """Message: no request of a caller is in flight."""


@frozen
class WriteClaim:
    """Effect: claim a resource under the lease."""

    resource: str
    lease: int


@frozen
class DropClaim:
    """Effect: remove an own claim."""

    resource: str
    epoch: int


@frozen
class WriteMember:
    """Effect: write this entry's own description."""

    member: Member
    lease: int


@frozen
class OpenResource:
    """Effect: start the task of a resource that was won."""

    resource: str
    epoch: int


@frozen
class CloseResource:
    """Effect: end the task of a resource gracefully and say when it is done."""

    resource: str


@frozen
class RetireResource:
    """Effect: take no more work on a resource that was lost."""

    resource: str


@frozen
class Publish:
    """Effect: tell all tasks what is known now."""

    view: m.View


@frozen
class RevisionApplied:
    """Effect: log that a revision is in force."""

    number: int


@frozen
class RevisionIgnored:
    """Effect: log that an older revision was offered."""

    number: int


@frozen
class EndEntry:
    """Effect: give up the lease and end the process."""

    lease: int


MemberStep = Step[MemberState]


def decide(state: MemberState, msg: t.Any, now: dt.datetime) -> MemberStep:
    """Return the new state and the effects of one message."""
    step = _handle(state, msg, now)
    if not isinstance(msg, PeerSeen | StoreSeen | PlatformSeen):
        step = step.then(lambda s: _balance(s, now))
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
            return _lose_lease(state)
        case ControlLoaded() | ControlChanged():
            return _take_control(state, msg)
        case ClaimWon():
            return _win(state, msg)
        case ClaimFailed(resource):
            return Step(_note_failure(state, resource))
        case ClaimDropped(resource):
            claims = state.claims.discard(resource)
            return Step(_forget_own(evolve(state, claims=claims), resource))
        case Superseded():
            return _give_way(state, msg)
        case ResourceClosed(resource):
            return _drop(state, resource)
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


def _lose_lease(state: MemberState) -> MemberStep:
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
    state = _forget_own(state, mine.resource)
    if mine.stage is ClaimStage.CLAIMING:
        return Step(state)
    return Step(state, (RetireResource(mine.resource),))


def _note_failure(state: MemberState, resource: str) -> MemberState:
    mine = state.own.get(resource)
    if mine is None or mine.stage is ClaimStage.CLAIMING:
        return _forget_own(state, resource)
    waiting = evolve(mine, is_writing=False)
    return evolve(state, own=state.own.set(resource, waiting))


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
    step = _drop_lost(state)
    if msg.current is not None:
        step = step.then(lambda s: _apply_revision(s, msg.current))
    return step


def _merge(known: PMap, changes: PMap) -> PMap:
    for key, value in changes.items():
        known = known.discard(key) if value is None else known.set(key, value)
    return known


def _drop_lost(state: MemberState) -> MemberStep:
    """Give up what the store says is another's, and orphan what is nobody's."""
    step = Step(state)
    for resource, mine in state.own.items():
        if mine.stage is ClaimStage.CLAIMING:
            continue
        claim = state.claims.get(resource)
        if claim is None and state.seen_revision >= mine.epoch:
            step = step.then(lambda s, mine=mine: _lapse_once(s, mine))
        elif claim is not None and _is_anothers(state, claim, mine):
            forgotten = _forget_own(step.state, resource)
            step = Step(forgotten, (*step.effects, RetireResource(resource)))
    return step


def _lapse_once(state: MemberState, mine: OwnClaim) -> MemberStep:
    if mine.stage is ClaimStage.ORPHANED:
        return Step(state)
    return _lapse(state, mine)


def _is_anothers(state: MemberState, claim: Claim, mine: OwnClaim) -> bool:
    return claim.owner != state.me.name and claim.epoch > mine.epoch


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


def _win(state: MemberState, msg: ClaimWon) -> MemberStep:
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


def _forget_own(state: MemberState, resource: str) -> MemberState:
    return evolve(state, own=state.own.discard(resource))


def _give_way(state: MemberState, msg: Superseded) -> MemberStep:
    own = state.own.get(msg.resource)
    if own is None or own.epoch != msg.epoch:
        return Step(state)
    state = _forget_own(state, msg.resource)
    return Step(state, (RetireResource(msg.resource),))


def _drop(state: MemberState, resource: str) -> MemberStep:
    own = state.own.get(resource)
    if own is None or own.stage is not ClaimStage.CLOSING:
        return Step(state)
    stage = life.change_claim(own.stage, lambda claim: claim.closed())
    state = evolve(state, own=state.own.set(resource, evolve(own, stage=stage)))
    return Step(state, (DropClaim(resource, own.epoch),))


def _drain(state: MemberState) -> MemberStep:
    if state.life in (Life.DRAINING, Life.STOPPED):
        return Step(state)
    draining = life.change_life(state.life, lambda entry: entry.drain())
    state = evolve(state, life=draining, me=evolve(state.me, ready=False))
    return _announce(state)


def _balance(state: MemberState, now: dt.datetime) -> MemberStep:
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
