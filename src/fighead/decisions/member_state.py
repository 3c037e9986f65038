"""State, messages and effects of an entry's membership."""

import datetime as dt

from attrs import frozen
from pyrsistent import PMap, pmap

from .. import message as m
from ..model import Member, Revision
from . import Step
from .life import ClaimStage, Life


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
    :param stray_since: When each claim that the store holds for this entry, but
        that the entry does not know of, was first seen.
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
    stray_since: PMap = pmap()
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
