"""State, messages and effects of the owner of one instance, and its capacity.

The owner is the entry that holds the claim on the instance. Checks and batch
tasks (plans and watches) share the instance's slots. Leases are expressed on
the instance's own clock, which need not agree with the owner's.
"""

import datetime as dt
import enum

from attrs import frozen
from pyrsistent import PMap, PSet, pmap, pset

from .. import message as m
from ..model import Instance, Kind, TaskStatus, Upstream, WorkRecord
from . import Step
from .batch_control import BatchController, Level
from .check_queue import CheckQueue
from .policy import policy_of
from .quarantine import Health
from .slowdown import SlowdownModel

#: Lease of a batch task, counted from the instance's last report.
TASK_LEASE = dt.timedelta(seconds=15)
#: Added to a task lease before a task counts as stopped, to allow for clock
#: drift.
LEASE_MARGIN = dt.timedelta(seconds=1)
#: Assumed mean duration of a check before any has been observed.
DEFAULT_SERVICE_TIME = dt.timedelta(milliseconds=50)
#: How long past its deadline an instance may keep running a check.
CHECK_GRACE = dt.timedelta(milliseconds=500)


class OwnershipStage(enum.Enum):
    """How far the owner has taken over its instance or handed it back.

    ``FENCING``: the instance has not yet accepted this owner's epoch, and nothing
    is started. ``SERVING``: work is accepted. ``RELEASING``: running work
    continues, but nothing new is accepted.
    """

    FENCING = "fencing"
    SERVING = "serving"
    RELEASING = "releasing"


class TaskPhase(enum.Enum):
    """What the owner knows about a check or task.

    ``STARTING``: the start call is in flight. ``UNCERTAIN``: a call got no answer,
    so the task may or may not run. ``ENDED``: the slot is free, but the end is not
    recorded yet. All but ``ENDED`` occupy a slot.
    """

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    ENDED = "ended"


@frozen
class TrackedCheck:
    """A check that occupies a slot.

    :param lease_until: Time on the instance's own clock after which the instance
        neither starts the check nor continues it.
    """

    request: m.CheckRequest
    lease_until: dt.timedelta
    phase: TaskPhase = TaskPhase.RUNNING


@frozen
class TrackedTask:
    """A plan or watch that occupies a slot, or whose end is not recorded yet.

    :param changed_at: When ``phase`` last changed; not maintained once the task has
        ended.
    :param lease_until: Time on the instance's own clock after which the instance
        refuses to start the task.
    :param record: ``None`` for a task that the instance listed but this owner did
        not start.
    :param status: How the task ended; ``None`` until it has.
    :param speed: Share of full speed that was last ordered.
    """

    task_id: str
    kind: str
    phase: TaskPhase
    changed_at: dt.datetime
    lease_until: dt.timedelta = dt.timedelta()
    record: WorkRecord | None = None
    status: TaskStatus | None = None
    speed: float = 1.0
    stop_requested: bool = False


@frozen
class InstanceOwnerState:
    """Everything the owner knows about its instance.

    :param kinds: :class:`.Kind` by name.
    :param weights: Fair-share weight by caller.
    :param boot: Incarnation of the instance; empty before its first report.
    :param checks: :class:`TrackedCheck` by request id.
    :param tasks: :class:`TrackedTask` by task id.
    :param pending: Recorded attempts that wait for a free slot.
    :param check_queue: Checks that wait for a free slot.
    :param handled: Ids of the tasks that were started, refused or lost in this
        epoch.
    :param refusals: :class:`.WorkNotStarted` by task id, for each attempt that
        will not start.
    :param clock_at_report: The instance's own clock at its last report.
    :param asked_at: When the request for that report was sent.
    :param reported_at: When that report was received.
    :param service_time: Moving average of the duration of checks.
    """

    instance: Instance
    upstream: Upstream
    kinds: PMap
    weights: PMap
    epoch: int
    stage: OwnershipStage = OwnershipStage.FENCING
    boot: str = ""
    checks: PMap = pmap()
    tasks: PMap = pmap()
    pending: tuple[WorkRecord, ...] = ()
    check_queue: CheckQueue = CheckQueue()
    handled: PSet = pset()
    refusals: PMap = pmap()
    clock_at_report: dt.timedelta = dt.timedelta()
    asked_at: dt.datetime | None = None
    reported_at: dt.datetime | None = None
    is_reachable: bool = True
    service_time: dt.timedelta = DEFAULT_SERVICE_TIME
    slowdown_model: SlowdownModel = SlowdownModel()
    control: BatchController = BatchController()
    health: Health = Health()
    is_leaving: bool = False


@frozen
class RunCheck:
    """Effect: send a check to the instance, with its lease."""

    request: m.CheckRequest
    lease_until: dt.timedelta


@frozen
class RunTask:
    """Effect: start a plan or watch on the instance, with its lease."""

    record: WorkRecord
    kind: Kind
    lease_until: dt.timedelta


@frozen
class ControlTask:
    """Effect: throttle, evict or stop a task.

    :param speed: Share of full speed; 0 ends the task.
    :param evict: Whether a task that is ended keeps a checkpoint.
    """

    task_id: str
    speed: float
    evict: bool = False


@frozen
class AnswerCheck:
    """Effect: return the outcome of a check to the entry that offered it."""

    request_id: str
    outcome: m.CheckOutcome


@frozen
class ListTasks:
    """Effect: request a report from the instance now, ahead of the next poll."""


@frozen
class ConfirmRecorded:
    """Effect: let the instance discard a task whose end is recorded."""

    task_id: str


@frozen
class RulesChanged:
    """Message: the current declarations that concern this instance.

    :param is_leaving: Whether the instance must not get new work.
    """

    instance: Instance
    upstream: Upstream
    kinds: PMap
    weights: PMap
    is_leaving: bool


InstanceStep = Step[InstanceOwnerState]


def used_slots(state: InstanceOwnerState) -> int:
    """Return the number of slots that are or may be occupied."""
    occupied = sum(task.phase is not TaskPhase.ENDED for task in state.tasks.values())
    return len(state.checks) + occupied


def used_batch_slots(state: InstanceOwnerState) -> int:
    """Return the number of slots that plans and watches occupy or are waiting for."""
    occupied = sum(task.phase is not TaskPhase.ENDED for task in state.tasks.values())
    return occupied + len(state.pending)


def batch_slots(state: InstanceOwnerState) -> int:
    """Return the maximum number of slots for plans and watches."""
    return state.instance.slots - _check_floor(state)


def batch_room(state: InstanceOwnerState) -> int:
    """Return how many more plans and watches the owner accepts now.

    Below the batch floor they are accepted whatever the control level is.
    """
    if state.stage is not OwnershipStage.SERVING or state.is_leaving:
        return 0
    if not state.is_reachable:
        return 0
    accepted = used_batch_slots(state)
    if accepted < _batch_floor(state):
        return _batch_floor(state) - accepted
    if state.control.level > Level.OPEN:
        return 0
    return max(0, batch_slots(state) - accepted)


def _check_floor(state: InstanceOwnerState) -> int:
    policy = policy_of(state.upstream)
    return policy.check_floor(state.upstream, state.instance.slots)


def _batch_floor(state: InstanceOwnerState) -> int:
    policy = policy_of(state.upstream)
    return policy.batch_floor(state.upstream, state.instance.slots)


def free_check_slots(state: InstanceOwnerState) -> int:
    """Return how many checks could start now.

    Pending batch work has priority over checks for free slots.
    """
    if (
        state.stage is not OwnershipStage.SERVING
        or state.is_leaving
        or not state.is_reachable
    ):
        return 0
    reserved = len(state.pending)
    by_slots = state.instance.slots - used_slots(state) - reserved
    # One connection is reserved for polls and one for control orders.
    by_connections = state.instance.connections - 2 - len(state.checks)
    return max(0, min(by_slots, by_connections))


def free_memory_bytes(state: InstanceOwnerState) -> int:
    """Return the memory not declared by any check or task that occupies a slot."""
    used = sum(check.request.memory_bytes for check in state.checks.values())
    for task in state.tasks.values():
        if task.phase is not TaskPhase.ENDED:
            used += declared_memory_bytes(state, task.kind)
    return state.instance.memory_bytes - used


def declared_memory_bytes(state: InstanceOwnerState, kind: str) -> int:
    """Return the memory that ``kind`` declares, or 0 if the kind is unknown."""
    declared = state.kinds.get(kind)
    return declared.memory_bytes if declared else 0


def refusal_message(
    state: InstanceOwnerState, record: WorkRecord, reason: str
) -> m.WorkNotStarted:
    """Return the message that the attempt has not started and never will."""
    return m.WorkNotStarted(
        state.instance.upstream, state.instance.name, record.task_id, reason
    )


def end_message(state: InstanceOwnerState, status: TaskStatus) -> m.WorkEnded:
    """Return the message that reports the end of a task to the line owner."""
    return m.WorkEnded(state.instance.upstream, state.instance.name, status)
