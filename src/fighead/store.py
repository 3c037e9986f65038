"""Requests to the platform's key-value service, apart from their encoding.

The service offers compare-and-swap, leases and watches. A change is a
:class:`Txn`: if every compare holds, ``success`` is carried out, and else
``failure``; either way in one step.
"""

import typing as t

from attrs import field, frozen

#: Keys under this prefix are watched by entries.
CONTROL = "/fighead/control/"
MEMBERS = CONTROL + "members/"
CLAIMS = CONTROL + "claims/"
CURRENT_REVISION = CONTROL + "revision"
HISTORY = "/fighead/history/"
WORK = "/fighead/work/"
BURN = "/fighead/burn/"
#: Who schedules, and which entries there are.
JOB_CONTROL = "fighead/control/"
JOB_LEADER = JOB_CONTROL + "leader"
JOB_TERM = JOB_CONTROL + "term"
JOB_MEMBERS = JOB_CONTROL + "members/"
#: Accepted jobs that have not ended, and marks of cancelled ones.
JOBS = "fighead/jobs/"
CANCEL_MARK = "/cancelled"
JOB_PROGRESS = "fighead/progress/"
JOB_ENDINGS = "fighead/ended/"
#: What was learned of how images disturb each other.
LEARNED = "fighead/learned"
FLEET = "fighead/fleet"


@frozen
class KeyValue:
    """A key as the service holds it.

    :param create_revision: Revision at which the key came into being.
    :param mod_revision: Revision of its last write; 0 if the key is absent.
    """

    key: str
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0


@frozen
class Compare:
    """Holds if the key's last write was at ``mod_revision``; 0 means absent."""

    key: str
    mod_revision: int


@frozen
class Put:
    """Writes a key.

    :param lease: Lease that the key lives under; 0 for none.
    """

    key: str
    value: str
    lease: int = 0


@frozen
class Delete:
    """Removes a key."""

    key: str


@frozen
class Range:
    """Reads a key, or all keys that begin with it.

    :param limit: Most keys to return; 0 for all.
    :param start: First key of a page within the prefix.
    :param is_stale_ok: Whether the answer may be seconds old, for a lower price.
    """

    key: str
    is_prefix: bool = False
    limit: int = 0
    start: str = ""
    is_stale_ok: bool = False


@frozen
class Txn:
    """Compares and acts in one step."""

    compares: tuple[Compare, ...] = ()
    success: tuple[Put | Delete, ...] = ()
    failure: tuple[Range, ...] = ()


@frozen
class LeaseGrant:
    """Asks for a lease of ``ttl_s`` seconds."""

    ttl_s: int


@frozen
class LeaseKeepAlive:
    """Renews a lease."""

    lease: int


@frozen
class LeaseRevoke:
    """Ends a lease and removes the keys under it."""

    lease: int


@frozen
class RangeResult:
    """The keys found, and the revision at which they were read."""

    revision: int
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


@frozen
class TxnResult:
    """Outcome of a :class:`Txn`.

    :param kvs: What the reads of the failure branch found.
    """

    succeeded: bool
    revision: int
    kvs: tuple[KeyValue, ...] = ()


@frozen
class LeaseResult:
    """A lease and its remaining seconds; 0 means that it is gone."""

    lease: int
    ttl_s: float


@frozen
class WatchEvent:
    """One change of a watched key; ``deleted`` tells a removal."""

    kv: KeyValue
    deleted: bool = False


@frozen
class WatchBatch:
    """Changes in the order of their revisions, up to ``revision``."""

    revision: int
    events: tuple[WatchEvent, ...] = ()


StoreRequest = Txn | Range | LeaseGrant | LeaseKeepAlive | LeaseRevoke
StoreResult = TxnResult | RangeResult | LeaseResult


@frozen
class WriteOutcome:
    """What became of a settled write.

    :param written: Whether this write took effect.
    :param kv: The key as it stands after a conflict.
    """

    written: bool
    revision: int
    kv: KeyValue = field(factory=lambda: KeyValue(""))


def put_if_unchanged(key: str, value: str, mod_revision: int, lease: int = 0) -> Txn:
    """Return the write of ``key`` if its last write was at ``mod_revision``.

    >>> put_if_unchanged("/a", "1", 0).compares[0].mod_revision
    0
    """
    return Txn(
        compares=(Compare(key, mod_revision),),
        success=(Put(key, value, lease),),
        failure=(Range(key),),
    )


def delete_if_unchanged(key: str, mod_revision: int) -> Txn:
    """Return the removal of ``key`` if its last write was at ``mod_revision``."""
    return Txn(
        compares=(Compare(key, mod_revision),),
        success=(Delete(key),),
        failure=(Range(key),),
    )


def read_outcome(result: TxnResult, txn: Txn) -> WriteOutcome:
    """Tell what became of a one-key write from the answer to its last try.

    A compare that fails on a repeat may have failed because an earlier try
    took effect and only its answer was lost; the value then is the one that
    was written, since every value carries an identity of its write.
    """
    if result.succeeded:
        return WriteOutcome(True, result.revision)
    write = txn.success[0]
    absent = KeyValue(write.key)
    found = next((kv for kv in result.kvs if kv.key == write.key), absent)
    return WriteOutcome(_is_applied(found, write), found.mod_revision, found)


def _is_applied(found: KeyValue, write: Put | Delete) -> bool:
    if isinstance(write, Delete):
        return found.mod_revision == 0
    return found.mod_revision > 0 and found.value == write.value


def is_write(req: t.Any) -> bool:
    """Whether a request may change what the service holds."""
    return isinstance(req, Txn | LeaseGrant | LeaseRevoke)
