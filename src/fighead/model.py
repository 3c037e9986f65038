"""Core types: inventory, rules, records of work and membership.

All types are immutable. Durations are :class:`datetime.timedelta`, points in
time are aware :class:`datetime.datetime` in UTC, memory is in bytes.
"""

import datetime as dt
import enum

from attrs import field, frozen


class Category(enum.Enum):
    """How a kind of work is served."""

    #: Answered in line before a deadline; idempotent.
    CHECK = "check"
    #: Recorded before it starts, done once, answered in line or by id.
    PLAN = "plan"
    #: Runs for hours, may be evicted with a checkpoint, must never be lost.
    WATCH = "watch"


class Phase(enum.Enum):
    """Phase of a recorded piece of work."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"

    @property
    def is_final(self) -> bool:
        """Whether no transition leads out of this phase."""
        return self in _FINAL_PHASES


_FINAL_PHASES = frozenset({Phase.DONE, Phase.FAILED, Phase.CANCELLED, Phase.PARKED})


@frozen
class Rack:
    """A rack of instances in one availability zone."""

    name: str
    availability_zone: str


@frozen
class Instance:
    """One upstream instance and what it holds.

    :param address: ``http://host:port`` of the instance.
    :param slots: Tasks that it may run at once.
    :param connections: Requests that it accepts at once.
    :param cores: Processor cores.
    :param memory_bytes: Memory for tasks.
    :param leaving: Whether it gets no new work.
    """

    name: str
    upstream: str
    rack: str
    availability_zone: str
    address: str
    slots: int
    connections: int
    cores: float
    memory_bytes: int
    leaving: bool = False


@frozen
class Kind:
    """A kind of work that an upstream accepts, with its rules.

    :param deadline: Time within which a check must be answered, or after which
        an inline wait for a plan ends.
    :param non_idempotent: Whether it must run at most once.
    :param weight: Share of contended slots against other kinds.
    :param cores: Declared processor cores of one task.
    :param memory_bytes: Declared memory of one task.
    :param run_time: Declared run time of one task.
    :param objective: Share of requests that must succeed in time.
    """

    name: str
    upstream: str
    category: Category
    deadline: dt.timedelta
    non_idempotent: bool = False
    weight: float = 1.0
    cores: float = 1.0
    memory_bytes: int = 1 << 30
    run_time: dt.timedelta = dt.timedelta(seconds=1)
    objective: float = 0.999


@frozen
class Upstream:
    """A service that runs on a group of instances.

    :param check_floor: Share of every instance's slots kept for checks.
    :param batch_floor: Share of every instance's slots kept for plans and
        watches.
    :param watch_floor: Share of the batch slots kept for watches.
    """

    name: str
    check_floor: float = 0.25
    batch_floor: float = 0.375
    watch_floor: float = 0.25
    policy: str = "adaptive"


@frozen
class Caller:
    """A caller by its canonical name.

    :param aliases: Other spellings under which its requests arrive.
    :param weight: Fair share against other callers of the same kind of work.
    :param max_queued: Plans and watches that may wait at once.
    """

    name: str
    aliases: tuple[str, ...] = ()
    weight: float = 1.0
    max_queued: int = 10_000


@frozen
class Inventory:
    """All declarations of one revision: what exists and by which rules.

    .. versionadded:: 0.1
    """

    availability_zones: tuple[str, ...] = ()
    racks: dict[str, Rack] = field(factory=dict)
    instances: dict[str, Instance] = field(factory=dict)
    upstreams: dict[str, Upstream] = field(factory=dict)
    kinds: dict[str, Kind] = field(factory=dict)
    callers: dict[str, Caller] = field(factory=dict)

    def kind(self, upstream: str, name: str) -> Kind | None:
        """Return the kind ``name`` of ``upstream``, or ``None``."""
        return self.kinds.get(f"{upstream}/{name}")

    def instances_of(self, upstream: str) -> tuple[Instance, ...]:
        """Return the instances of ``upstream`` in order of their names."""
        found = (i for i in self.instances.values() if i.upstream == upstream)
        return tuple(sorted(found, key=lambda i: i.name))


@frozen
class Revision:
    """One accepted change of the inventory and its place in the history.

    :param number: Number of the revision; the first is 1.
    :param change_id: Identity of the change, which makes a repeat harmless.
    """

    number: int
    inventory: Inventory
    author: str = ""
    accepted_at: dt.datetime | None = None
    change_id: str = ""
    summary: tuple[str, ...] = ()


@frozen
class HistoryRow:
    """One accepted revision without its inventory."""

    number: int
    author: str
    accepted_at: str
    summary: tuple[str, ...]


@frozen
class Member:
    """An entry instance as it describes itself to the others.

    :param applied_revision: Revision of the inventory that it works by.
    :param ready: Whether it takes new claims and requests.
    """

    name: str
    availability_zone: str
    peer_address: str
    peer_public_key: str = ""
    applied_revision: int = 0
    ready: bool = True


@frozen
class Claim:
    """Ownership of an instance or of an upstream's line.

    :param epoch: Revision at which the store created the claim; a later claim
        on the same resource always has a higher one.
    """

    resource: str
    owner: str
    epoch: int


@frozen
class Assignment:
    """Where a piece of work may run, and under which fence.

    :param boot: Identity of the instance's run since its last restart.
    """

    instance: str
    epoch: int
    boot: str


@frozen
class WorkRecord:
    """The stored state of one plan or watch.

    :param write_id: Identity of the write that produced this value.
    :param body_digest: Digest of kind and body, to detect a reused id.
    :param failed_on: Instances on which an attempt failed.
    """

    upstream: str
    caller: str
    request_id: str
    kind: str
    category: Category
    non_idempotent: bool
    body: str
    body_digest: str
    submitted_at: dt.datetime
    phase: Phase = Phase.QUEUED
    attempt: int = 1
    assignment: Assignment | None = None
    checkpoint: str = ""
    answer: str = ""
    reason: str = ""
    cancel_requested: bool = False
    evictions: int = 0
    failed_on: tuple[str, ...] = ()
    finished_at: dt.datetime | None = None
    write_id: str = ""

    @property
    def work_id(self) -> str:
        """Identity of the work within its upstream."""
        return work_id(self.caller, self.request_id)

    @property
    def task_id(self) -> str:
        """Identity of the present attempt at an instance."""
        return f"{self.upstream}/{self.work_id}#{self.attempt}"


@frozen
class StoredRecord:
    """A record with the revisions that the store gave it.

    :param place: Create revision: the place in line.
    :param mod_revision: Revision of the last write.
    """

    record: WorkRecord
    place: int
    mod_revision: int


def work_id(caller: str, request_id: str) -> str:
    """Return the identity of work within its upstream."""
    return f"{caller}/{request_id}"


class Ending(enum.Enum):
    """How a task ended at an instance."""

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"


@frozen
class TaskStatus:
    """A task as its instance lists it.

    :param ending: ``None`` while the task runs.
    """

    task_id: str
    kind: str
    ending: Ending | None = None
    answer: str = ""
    checkpoint: str = ""
    reason: str = ""
    cores_used: float = 0.0
    memory_used_bytes: int = 0
    elapsed: dt.timedelta = dt.timedelta()


@frozen
class InstanceReport:
    """What an instance says of itself.

    :param boot: Changes with every restart of the instance.
    :param clock: The instance's own time, the base of task leases.
    """

    boot: str
    clock: dt.timedelta
    highest_epoch: int
    tasks: tuple[TaskStatus, ...] = ()
