"""State, messages and effects of the membership decisions of an entry."""

import datetime as dt

from attrs import frozen
from pyrsistent import PMap, pmap

from .. import message as m
from ..model import Member, Revision
from . import Step
from .lifecycle import ClaimStage, EntryStage


@frozen
class OwnClaim:
    """An entry's own claim on a resource, from the first write to its removal.

    :param epoch: Store revision that created the claim; 0 until it is won.
    :param is_writing: Whether a repeated write of an orphaned claim is in flight.
    """

    resource: str
    stage: ClaimStage = ClaimStage.CLAIMING
    epoch: int = 0
    is_writing: bool = False


@frozen
class PreferredOwners:
    """Cached preferred owners, with the inputs that they were computed from.

    :param revision: Number of the applied revision.
    :param zone_by_resource: Availability zones; empty for a line.
    :param owner_by_resource: Names of the preferred entries.
    """

    revision: int
    members: PMap
    zone_by_resource: dict[str, str]
    owner_by_resource: dict[str, str]


@frozen
class MemberState:
    """State of an entry's membership and its copy of the shared control data.

    :param lease: Store id of the entry's lease; 0 while it has none.
    :param is_loaded: Whether the control data has been read at least once.
    :param members: Member records by entry name.
    :param claims: Claims in force, by resource.
    :param routes: Last known claim on each resource, even if no longer in force.
    :param own_claims: :class:`OwnClaim` by resource.
    :param revision: The applied revision of the inventory.
    :param unclaimed_since: When each unclaimed resource was first seen unclaimed.
    :param misplaced_since: When another entry was first preferred for a
        resource that this entry holds.
    :param untracked_since: When each claim that the store lists for this entry,
        but that is not in ``own_claims``, was first seen.
    :param store_revision: Store revision up to which changes have been applied.
    :param is_front_drained: Whether :class:`FrontDrained` has been received.
    """

    me: Member
    stage: EntryStage = EntryStage.STARTING
    lease: int = 0
    is_loaded: bool = False
    members: PMap = pmap()
    claims: PMap = pmap()
    routes: PMap = pmap()
    own_claims: PMap = pmap()
    revision: Revision | None = None
    unclaimed_since: PMap = pmap()
    misplaced_since: PMap = pmap()
    untracked_since: PMap = pmap()
    platform_gone: frozenset[str] = frozenset()
    platform_leaving: frozenset[str] = frozenset()
    store_revision: int = 0
    store_reached_at: dt.datetime | None = None
    peer_reached_at: dt.datetime | None = None
    store_reachable: bool = False
    is_front_drained: bool = False
    preferred_owners: PreferredOwners | None = None


@frozen
class LeaseGranted:
    """Message: the store granted a lease, given by its id."""

    lease: int


@frozen
class LeaseExpired:
    """Message: the lease has expired in the store."""


@frozen
class ControlLoaded:
    """Message: all keys under the control prefix, from a single read.

    :param store_revision: Store revision of the read.
    :param current_revision: The inventory's revision in force, if there is one.
    """

    store_revision: int
    members: PMap
    claims: PMap
    current_revision: Revision | None


@frozen
class ControlChanged:
    """Message: a batch of changes under the control prefix.

    :param store_revision: Store revision after the batch.
    :param members: Changed members by name; ``None`` for a deleted one.
    :param claims: Changed claims by resource; ``None`` for a deleted one.
    :param current_revision: The inventory's revision in force, if it changed.
    """

    store_revision: int
    members: PMap
    claims: PMap
    current_revision: Revision | None


@frozen
class ClaimWon:
    """Message: the store accepted a claim, under the given epoch."""

    resource: str
    epoch: int


@frozen
class ClaimFailed:
    """Message: writing a claim failed.

    A write that was reported as failed may still take effect in the store.
    """

    resource: str


@frozen
class ClaimDropped:
    """Message: this entry's claim of the given epoch is no longer in the store."""

    resource: str
    epoch: int


@frozen
class InstanceSuperseded:
    """Message: an instance has seen a higher epoch than the given one."""

    resource: str
    epoch: int


@frozen
class ResourceClosed:
    """Message: the task of a closing resource has nothing left in flight."""

    resource: str


@frozen
class RevisionReceived:
    """Message: a peer sent a revision newer than this entry's."""

    revision: Revision


@frozen
class PeerAnswered:
    """Message: a peer answered a probe."""


@frozen
class StoreReachability:
    """Message: whether the store answered the last call."""

    reachable: bool


@frozen
class PlatformInstances:
    """Message: instances that the platform lists as leaving or gone."""

    leaving: frozenset[str]
    gone: frozenset[str]


@frozen
class FrontDrained:
    """Message: the caller front has drained, or its drain timeout has passed."""


@frozen
class WriteClaim:
    """Effect: write a claim on a resource, attached to the lease."""

    resource: str
    lease: int


@frozen
class DropClaim:
    """Effect: delete this entry's claim if it still has the given epoch."""

    resource: str
    epoch: int


@frozen
class WriteMember:
    """Effect: write this entry's member record, attached to the lease."""

    member: Member
    lease: int


@frozen
class OpenResource:
    """Effect: start the task of a resource under the given epoch."""

    resource: str
    epoch: int


@frozen
class CloseResource:
    """Effect: close the task of a resource gracefully.

    Answered by :class:`ResourceClosed`.
    """

    resource: str


@frozen
class RetireResource:
    """Effect: stop the task of a resource whose claim was lost.

    No new work is accepted; calls in flight may end.
    """

    resource: str


@frozen
class PublishView:
    """Effect: send the current view to the entry's other tasks."""

    view: m.View


@frozen
class RevisionApplied:
    """Effect: log the newly applied revision and report it as a metric."""

    number: int


@frozen
class RevisionIgnored:
    """Effect: log that a revision older than the applied one was ignored."""

    number: int


@frozen
class EndEntry:
    """Effect: revoke the lease, if it is not 0, and end the process."""

    lease: int


MemberStep = Step[MemberState]
