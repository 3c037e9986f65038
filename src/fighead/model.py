"""Core types: inventory, rules, records of work and membership.

All types are immutable. Durations are :class:`datetime.timedelta`, points in
time are aware :class:`datetime.datetime` in UTC, memory is in bytes.
"""

import datetime as dt
import enum
import math
import typing as t

from attrs import field, frozen


class Category(enum.Enum):
    """Class of service of a kind of work."""

    #: Answered inline within its deadline; may be repeated.
    CHECK = "check"
    #: Recorded before it starts, completed once, answered inline or by id.
    PLAN = "plan"
    #: Runs for hours; may be evicted with a checkpoint but must never be lost.
    WATCH = "watch"


class Phase(enum.Enum):
    """Phase of a recorded plan or watch."""

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
    """One declared upstream instance and its capacity.

    :param address: ``http://host:port`` of the instance.
    :param slots: Maximum number of concurrent tasks.
    :param connections: Maximum number of concurrent requests.
    :param cores: Processor cores available to tasks.
    :param memory_bytes: Memory available to tasks.
    :param leaving: Whether it is to be removed and gets no new work.
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
    :param non_idempotent: Whether it must not run more than once.
    :param weight: Relative share of contended slots among kinds.
    :param cores: Declared processor cores of one task.
    :param memory_bytes: Declared memory of one task.
    :param run_time: Declared run time of one task.
    :param objective: Share of requests that must succeed within the deadline.
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

    :param check_floor: Share of each instance's slots reserved for checks.
    :param batch_floor: Share of each instance's slots reserved for plans and
        watches.
    :param watch_floor: Share of the batch slots reserved for watches.
    :param policy: Name of the control policy for its slots.
    """

    name: str
    check_floor: float = 0.25
    batch_floor: float = 0.375
    watch_floor: float = 0.25
    policy: str = "adaptive"


@frozen
class Caller:
    """A caller, under its canonical name.

    :param aliases: Other spellings of the name that requests use.
    :param weight: Relative share among callers of the same kind of work.
    :param max_queued: Maximum number of its plans and watches in the queue.
    """

    name: str
    aliases: tuple[str, ...] = ()
    weight: float = 1.0
    max_queued: int = 10_000


@frozen
class Inventory:
    """All declarations of one revision: instances, callers and rules.

    .. versionadded:: 0.1
    """

    availability_zones: tuple[str, ...] = ()
    racks: dict[str, Rack] = field(factory=dict)
    instances: dict[str, Instance] = field(factory=dict)
    upstreams: dict[str, Upstream] = field(factory=dict)
    kinds: dict[str, Kind] = field(factory=dict)
    callers: dict[str, Caller] = field(factory=dict)

    def kind(self, upstream: str, name: str) -> Kind | None:
        """Return the kind ``name`` of ``upstream``; ``None`` if undeclared."""
        return self.kinds.get(f"{upstream}/{name}")

    def instances_of(self, upstream: str) -> tuple[Instance, ...]:
        """Return the instances of ``upstream``, sorted by name."""
        found = (i for i in self.instances.values() if i.upstream == upstream)
        return tuple(sorted(found, key=lambda i: i.name))


@frozen
class Revision:
    """The inventory after one accepted change, with its entry in the history.

    :param number: Number of the revision, from 1.
    :param change_id: Idempotency key of the change.
    :param summary: Lines that describe the change.
    """

    number: int
    inventory: Inventory
    author: str = ""
    accepted_at: dt.datetime | None = None
    change_id: str = ""
    summary: tuple[str, ...] = ()


@frozen
class HistoryRow:
    """One line of the revision history: a revision without its inventory."""

    number: int
    author: str
    accepted_at: str
    summary: tuple[str, ...]


@frozen
class Member:
    """An entry, as it registers itself for the others.

    :param applied_revision: Number of the inventory revision that it applies.
    :param ready: Whether it accepts new claims and requests.
    """

    name: str
    availability_zone: str
    peer_address: str
    peer_public_key: str = ""
    applied_revision: int = 0
    ready: bool = True


def _check_amount(_: t.Any, attribute: t.Any, value: float | None) -> None:
    if value is not None and not 0 <= value < math.inf:
        raise ValueError(f"{attribute.name} must be finite and not negative")


@frozen
class Capacity:
    """What the machine of an entry provides; ``None`` where it is unknown.

    :param processor_cores: Processor time, in reference cores.
    :param link_mbit_s: Rate of the machine's link in Mbit/s.
    """

    processor_cores: float | None = field(default=None, validator=_check_amount)
    link_mbit_s: float | None = field(default=None, validator=_check_amount)

    @property
    def is_known(self) -> bool:
        """Whether both figures are known."""
        return self.processor_cores is not None and self.link_mbit_s is not None


@frozen
class JobMember(Member):
    """An entry that schedules jobs, as it registers itself for the others."""

    capacity: Capacity = Capacity()


@frozen
class Claim:
    """Ownership of an instance or of an upstream's line.

    :param epoch: Store revision at which the claim was created. It fences off
        earlier claims on the same resource, whose epochs are lower.
    """

    resource: str
    owner: str
    epoch: int


@frozen
class Assignment:
    """The instance on which an attempt may run, and the claim that allows it.

    :param epoch: Epoch of the claim on the instance.
    :param boot: Identifies the instance's process since its last restart.
    """

    instance: str
    epoch: int
    boot: str


@frozen
class WorkRecord:
    """The stored state of one plan or watch.

    :param body_digest: Digest of kind and body, to detect a request id that is
        reused for other work.
    :param attempt: Number of the current attempt, from 1.
    :param evictions: Number of evictions so far.
    :param failed_on: Names of the instances on which an attempt failed.
    :param write_id: Unique id of the write that stored this value.
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
        """Id of the work, unique within its upstream."""
        return work_id(self.caller, self.request_id)

    @property
    def task_id(self) -> str:
        """Id of the current attempt, under which instances know it."""
        return f"{self.upstream}/{self.work_id}#{self.attempt}"


@frozen
class StoredRecord:
    """A work record with its store revisions.

    :param place: Store revision of its creation, which orders work in its line.
    :param mod_revision: Store revision of its last write.
    """

    record: WorkRecord
    place: int
    mod_revision: int


def work_id(caller: str, request_id: str) -> str:
    """Return the id of work, unique within its upstream."""
    return f"{caller}/{request_id}"


class Ending(enum.Enum):
    """How a task ended on its instance."""

    DONE = "done"
    FAILED = "failed"
    EVICTED = "evicted"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"


@frozen
class TaskStatus:
    """A task, as its instance reports it.

    :param ending: ``None`` while the task runs.
    :param elapsed: Run time so far.
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
    """The state of an instance, as it reports it.

    :param boot: Identifies the instance's process; changes with each restart.
    :param clock: The instance's own clock, by which task leases expire.
    :param highest_epoch: Highest epoch of any order that it has seen.
    """

    boot: str
    clock: dt.timedelta
    highest_epoch: int
    tasks: tuple[TaskStatus, ...] = ()
