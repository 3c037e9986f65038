"""State, messages and effects of the owner of one instance, and what fits."""

import datetime as dt
import enum

from attrs import frozen
from pyrsistent import PMap, PSet, pmap, pset

from .. import message as m
from ..model import Instance, Kind, TaskStatus, Upstream, WorkRecord
from . import Step
from .control import Control, Level
from .health import Health
from .policy import policy_of
from .queue import CheckQueue
from .slowdown import Slowdown

#: Lease of a batch task at its instance.
TASK_LEASE = dt.timedelta(seconds=15)
#: Added to a task lease before a task counts as stopped, for clock drift.
LEASE_MARGIN = dt.timedelta(seconds=1)
DEFAULT_SERVICE = dt.timedelta(milliseconds=50)
#: Time past its deadline for which an instance may go on with a check.
CHECK_GRACE = dt.timedelta(milliseconds=500)


class Stage(enum.Enum):
    """How far the owner is with taking over its instance."""

    FENCING = "fencing"
    SERVING = "serving"
    RELEASING = "releasing"


class Hold(enum.Enum):
    """What the owner knows of a task that takes a slot."""

    STARTING = "starting"
    RUNNING = "running"
    UNCERTAIN = "uncertain"
    ENDED = "ended"


@frozen
class HeldCheck:
    """A check that takes a slot.

    :param lease_until: Point on the instance's own clock after which the
        instance neither starts it nor goes on with it.
    """

    request: m.CheckRequest
    lease_until: dt.timedelta
    hold: Hold = Hold.RUNNING


@frozen
class HeldTask:
    """A plan or watch that takes a slot, or whose end is not recorded yet.

    :param since: When ``hold`` took its value.
    :param lease_until: Point on the instance's own clock after which its start
        is refused.
    :param record: ``None`` for a task that was found when taking over.
    """

    task_id: str
    kind: str
    hold: Hold
    since: dt.datetime
    lease_until: dt.timedelta = dt.timedelta()
    record: WorkRecord | None = None
    status: TaskStatus | None = None
    speed: float = 1.0
    stop_requested: bool = False


@frozen
class InstanceState:
    """Everything the owner knows of its instance.

    :param pending: Recorded attempts that wait for the next free slot.
    :param handled: Task ids that were started or refused in this epoch.
    :param refused: What was told of each attempt that will not start.
    :param clock_at_report: The instance's own clock at its last report.
    :param asked_at: When the request for that report was sent.
    :param reported_at: When that report was received.
    """

    instance: Instance
    upstream: Upstream
    kinds: PMap
    weights: PMap
    epoch: int
    stage: Stage = Stage.FENCING
    boot: str = ""
    checks: PMap = pmap()
    tasks: PMap = pmap()
    pending: tuple[WorkRecord, ...] = ()
    waiting: CheckQueue = CheckQueue()
    handled: PSet = pset()
    refused: PMap = pmap()
    clock_at_report: dt.timedelta = dt.timedelta()
    asked_at: dt.datetime | None = None
    reported_at: dt.datetime | None = None
    is_reachable: bool = True
    service: dt.timedelta = DEFAULT_SERVICE
    learned: Slowdown = Slowdown()
    control: Control = Control()
    health: Health = Health()
    is_leaving: bool = False


@frozen
class RunCheck:
    """Effect: send a check to the instance."""

    request: m.CheckRequest
    lease_until: dt.timedelta


@frozen
class RunTask:
    """Effect: start a plan or watch at the instance."""

    record: WorkRecord
    kind: Kind
    lease_until: dt.timedelta


@frozen
class ControlTask:
    """Effect: throttle, evict or stop a task."""

    task_id: str
    speed: float
    evict: bool = False


@frozen
class AnswerCheck:
    """Effect: give the outcome of a check to the one who offered it."""

    request_id: str
    outcome: m.CheckOutcome


@frozen
class ListTasks:
    """Effect: ask the instance for a listing ahead of time."""


@frozen
class ConfirmRecorded:
    """Effect: tell the instance that the end of a task is recorded."""

    task_id: str


@frozen
class RulesChanged:
    """Message: the declarations that concern this instance, as they are now."""

    instance: Instance
    upstream: Upstream
    kinds: PMap
    weights: PMap
    is_leaving: bool


InstanceStep = Step[InstanceState]


def used_slots(state: InstanceState) -> int:
    """Return the slots that are taken or may be."""
    running = sum(task.hold is not Hold.ENDED for task in state.tasks.values())
    return len(state.checks) + running


def batch_tasks(state: InstanceState) -> int:
    """Return the slots taken by plans and watches, pending ones included."""
    running = sum(task.hold is not Hold.ENDED for task in state.tasks.values())
    return running + len(state.pending)


def batch_slots(state: InstanceState) -> int:
    """Return the slots that plans and watches may take at most."""
    return state.instance.slots - _check_floor(state)


def batch_room(state: InstanceState) -> int:
    """Return how many more plans and watches may be started now."""
    if state.stage is not Stage.SERVING or state.is_leaving:
        return 0
    if not state.is_reachable:
        return 0
    held = batch_tasks(state)
    if held < _batch_floor(state):
        return _batch_floor(state) - held
    if state.control.level > Level.OPEN:
        return 0
    return max(0, batch_slots(state) - held)


def _check_floor(state: InstanceState) -> int:
    policy = policy_of(state.upstream)
    return policy.check_floor(state.upstream, state.instance.slots)


def _batch_floor(state: InstanceState) -> int:
    policy = policy_of(state.upstream)
    return policy.batch_floor(state.upstream, state.instance.slots)


def free_for_checks(state: InstanceState) -> int:
    """Return how many checks could start at once."""
    if state.stage is not Stage.SERVING or state.is_leaving or not state.is_reachable:
        return 0
    reserved = len(state.pending)
    by_slots = state.instance.slots - used_slots(state) - reserved
    # One connection stays free for polls and one for control orders.
    by_connections = state.instance.connections - 2 - len(state.checks)
    return max(0, min(by_slots, by_connections))


def memory_free(state: InstanceState) -> int:
    """Return the memory that no held task has declared."""
    used = sum(held.request.memory_bytes for held in state.checks.values())
    for task in state.tasks.values():
        if task.hold is not Hold.ENDED:
            used += memory_of(state, task.kind)
    return state.instance.memory_bytes - used


def memory_of(state: InstanceState, kind: str) -> int:
    """Return the memory that a kind declares."""
    declared = state.kinds.get(kind)
    return declared.memory_bytes if declared else 0


def refusal_message(
    state: InstanceState, record: WorkRecord, reason: str
) -> m.WorkNotStarted:
    """Return the message that an attempt did not and will not start."""
    return m.WorkNotStarted(
        state.instance.upstream, state.instance.name, record.task_id, reason
    )


def end_message(state: InstanceState, status: TaskStatus) -> m.WorkEnded:
    """Return the message that a task ended."""
    return m.WorkEnded(state.instance.upstream, state.instance.name, status)
