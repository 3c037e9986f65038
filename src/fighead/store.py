"""Requests to the platform's key-value service, independent of their encoding.

The service provides transactions, leases and watches. A write is a :class:`Txn`:
if every compare holds, ``success`` is executed, otherwise ``failure``, atomically
in both cases.
"""

import typing as t

from attrs import field, frozen

#: Prefix of the keys that entries watch.
CONTROL_PREFIX = "/fighead/control/"
MEMBERS_PREFIX = CONTROL_PREFIX + "members/"
CLAIMS_PREFIX = CONTROL_PREFIX + "claims/"
CURRENT_REVISION_KEY = CONTROL_PREFIX + "revision"
HISTORY_PREFIX = "/fighead/history/"
WORK_PREFIX = "/fighead/work/"
BURN_PREFIX = "/fighead/burn/"
#: Prefix of the leader and the members among entries that schedule jobs.
JOB_CONTROL_PREFIX = "fighead/control/"
JOB_LEADER_KEY = JOB_CONTROL_PREFIX + "leader"
JOB_TERM_KEY = JOB_CONTROL_PREFIX + "term"
JOB_ELECTORATE_KEY = JOB_CONTROL_PREFIX + "electorate"
#: The entries that may still act as the leader of some term.
JOB_LEADERS_KEY = JOB_CONTROL_PREFIX + "leaders"
JOB_MEMBERS_PREFIX = JOB_CONTROL_PREFIX + "members/"
#: Ends of leases that the leader keeps to. Other entries watch when they are written.
JOB_LEASES_KEY = JOB_CONTROL_PREFIX + "leases"
#: Accepted jobs that have not ended; the key of a job followed by
#: ``CANCEL_MARK_SUFFIX`` marks it as cancelled.
JOBS_PREFIX = "fighead/jobs/"
CANCEL_MARK_SUFFIX = "/cancelled"
JOB_PROGRESS_PREFIX = "fighead/progress/"
JOB_ENDINGS_PREFIX = "fighead/ended/"
#: Estimates of the interference between images.
LEARNED_EFFECTS_KEY = "fighead/learned"
FLEET_KEY = "fighead/fleet"
#: What the latest leader that stepped down left to its successor.
HANDOVER_KEY = "fighead/handover"


@frozen
class KeyValue:
    """A key with its value and revisions.

    :param create_revision: Revision at which the key was created.
    :param mod_revision: Revision of its last write; 0 if the key is absent.
    """

    key: str
    value: str = ""
    create_revision: int = 0
    mod_revision: int = 0


@frozen
class Compare:
    """Condition that a key was last written at ``mod_revision``; 0 if absent."""

    key: str
    mod_revision: int


@frozen
class Put:
    """Write of a key.

    :param lease: Id of the lease with which the key expires; 0 for none.
    """

    key: str
    value: str
    lease: int = 0


@frozen
class Delete:
    """Deletion of a key."""

    key: str


@frozen
class Range:
    """Read of one key, or of all keys with a prefix.

    :param key: The key or the prefix.
    :param limit: Maximum number of keys to return; 0 for all.
    :param start: First key to return, to read a prefix in pages.
    :param is_stale_ok: Whether the result may be seconds old, which costs less.
    """

    key: str
    is_prefix: bool = False
    limit: int = 0
    start: str = ""
    is_stale_ok: bool = False


@frozen
class Txn:
    """Atomic transaction.

    :param success: Writes if all compares hold.
    :param failure: Reads otherwise.
    """

    compares: tuple[Compare, ...] = ()
    success: tuple[Put | Delete, ...] = ()
    failure: tuple[Range, ...] = ()


@frozen
class LeaseGrant:
    """Request for a lease with a time to live of ``ttl_s`` seconds."""

    ttl_s: int


@frozen
class LeaseKeepAlive:
    """Renewal of a lease before it expires."""

    lease: int


@frozen
class LeaseRevoke:
    """End of a lease, which deletes its keys."""

    lease: int


@frozen
class RangeResult:
    """The keys found, and the revision at which they were read.

    :param more: Whether ``limit`` left out further keys.
    """

    revision: int
    kvs: tuple[KeyValue, ...] = ()
    more: bool = False


@frozen
class TxnResult:
    """Outcome of a :class:`Txn`.

    :param succeeded: Whether all compares held.
    :param kvs: Keys found by the reads of the failure branch.
    """

    succeeded: bool
    revision: int
    kvs: tuple[KeyValue, ...] = ()


@frozen
class LeaseResult:
    """A lease and its remaining time to live; 0 if it has ended."""

    lease: int
    ttl_s: float


@frozen
class WatchEvent:
    """One change of a watched key: a write, or its deletion if ``deleted``."""

    kv: KeyValue
    deleted: bool = False


@frozen
class WatchBatch:
    """Changes up to ``revision``, in order of their revisions."""

    revision: int
    events: tuple[WatchEvent, ...] = ()


StoreRequest = Txn | Range | LeaseGrant | LeaseKeepAlive | LeaseRevoke
StoreResult = TxnResult | RangeResult | LeaseResult


@frozen
class WriteOutcome:
    """Known outcome of a write of one key.

    :param written: Whether the write took effect.
    :param kv: The current state of the key after a conflict.
    """

    written: bool
    revision: int
    kv: KeyValue = field(factory=lambda: KeyValue(""))


def put_if_unchanged(key: str, value: str, mod_revision: int, lease: int = 0) -> Txn:
    """Return a write of ``key`` on condition that it is still at ``mod_revision``.

    On a conflict, the transaction reads the key.

    >>> put_if_unchanged("/a", "1", 0).compares[0].mod_revision
    0
    """
    return Txn(
        compares=(Compare(key, mod_revision),),
        success=(Put(key, value, lease),),
        failure=(Range(key),),
    )


def delete_if_unchanged(key: str, mod_revision: int) -> Txn:
    """Return a deletion of ``key`` on condition that it is at ``mod_revision``.

    On a conflict, the transaction reads the key.
    """
    return Txn(
        compares=(Compare(key, mod_revision),),
        success=(Delete(key),),
        failure=(Range(key),),
    )


def read_outcome(result: TxnResult, txn: Txn) -> WriteOutcome:
    """Return the outcome of a one-key write, given the result of its last attempt.

    The compare of a retry also fails if an earlier attempt took effect but its
    answer was lost. The key then holds the value of this write, since every value
    contains a unique id of its write.
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
    """Whether a request may change stored keys or leases.

    The renewal of a lease is not counted as a write.
    """
    return isinstance(req, Txn | LeaseGrant | LeaseRevoke)
