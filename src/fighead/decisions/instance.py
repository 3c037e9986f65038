"""Decisions of the owner of one instance.

The owner alone starts work on its instance, so what it counts here is what
the instance holds. A slot is free again only when the instance has said so:
after a call without an answer the slot stays taken until a listing shows that
the task is gone.
"""

import collections
import datetime as dt
import enum
import typing as t

from attrs import evolve, frozen
from pyrsistent import PMap, PSet, pmap, pset

from .. import message as m
from ..model import (
    Category,
    Ending,
    Instance,
    InstanceReport,
    Kind,
    TaskStatus,
    Upstream,
    WorkRecord,
)
from . import Step, control, health, queue, slowdown
from .control import Control, Level
from .health import Health
from .policy import policy_of
from .queue import CheckQueue
from .slowdown import Slowdown

#: Lease of a batch task at its instance.
TASK_LEASE = dt.timedelta(seconds=15)
#: Added to a task lease before a task counts as stopped, for clock drift.
LEASE_MARGIN = dt.timedelta(seconds=1)
#: Checks that may wait for each slot.
QUEUED_CHECKS_PER_SLOT = 32
#: Weight of one check in the running mean of service times.
SERVICE_WEIGHT = 0.1
DEFAULT_SERVICE = dt.timedelta(milliseconds=50)
#: Learned slowdown from which on a task is throttled or evicted.
LEAST_NOISE = 0.05
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


def load_of(state: InstanceState, now: dt.datetime) -> m.InstanceLoad:
    """Return what the owner tells the others of its instance."""
    held = (*state.tasks.keys(), *(record.task_id for record in state.pending))
    effects = state.learned.effects.items()
    return m.InstanceLoad(
        instance=state.instance.name,
        upstream=state.instance.upstream,
        epoch=state.epoch,
        boot=state.boot,
        batch_room=batch_room(state),
        free_slots=_free_for_checks(state),
        queued_checks=len(state.waiting),
        slowdown={kind: round(effect.cautious, 3) for kind, effect in effects},
        batch_tasks=held,
        reachable=state.is_reachable and state.stage is not Stage.FENCING,
        quarantined=state.health.is_quarantined,
        lapsed=_has_lapsed(state, now),
    )


def decide(state: InstanceState, msg: t.Any, now: dt.datetime) -> InstanceStep:
    """Return the new state and the effects of one message."""
    match msg:
        case m.OfferCheck(request=request):
            step = _offer(state, request, now)
        case m.CheckEnded():
            step = _end_check(state, msg, now)
        case m.StartWork(record):
            step = _start_work(state, record)
        case m.StartEnded():
            step = _end_start(state, msg, now)
        case m.StopWork(task_id=task_id):
            step = _stop_work(state, task_id)
        case m.EndRecorded(task_id=task_id):
            step = _forget_task(state, task_id)
        case m.ReportReceived(report, asked_at):
            step = _take_report(state, report, asked_at, now)
        case m.PollFailed():
            step = Step(evolve(state, is_reachable=False))
        case RulesChanged():
            step = _change_rules(state, msg)
        case m.Tick():
            step = _tick(state, now)
        case m.Stop():
            step = _release(state)
        case _:
            raise TypeError(f"Unexpected message {type(msg).__name__}.")
    return step.then(lambda following: _fill(following, now))


def _check_floor(state: InstanceState) -> int:
    policy = policy_of(state.upstream)
    return policy.check_floor(state.upstream, state.instance.slots)


def _batch_floor(state: InstanceState) -> int:
    policy = policy_of(state.upstream)
    return policy.batch_floor(state.upstream, state.instance.slots)


def _free_for_checks(state: InstanceState) -> int:
    if state.stage is not Stage.SERVING or state.is_leaving or not state.is_reachable:
        return 0
    reserved = len(state.pending)
    by_slots = state.instance.slots - used_slots(state) - reserved
    # One connection stays free for polls and one for control orders.
    by_connections = state.instance.connections - 2 - len(state.checks)
    return max(0, min(by_slots, by_connections))


def _memory_free(state: InstanceState) -> int:
    used = sum(held.request.memory_bytes for held in state.checks.values())
    for task in state.tasks.values():
        if task.hold is not Hold.ENDED:
            used += _memory_of(state, task.kind)
    return state.instance.memory_bytes - used


def _memory_of(state: InstanceState, kind: str) -> int:
    declared = state.kinds.get(kind)
    return declared.memory_bytes if declared else 0


def _offer(
    state: InstanceState, request: m.CheckRequest, now: dt.datetime
) -> InstanceStep:
    if state.stage is not Stage.SERVING or state.is_leaving:
        return _refuse(state, request, "The instance takes no new work.")
    if not state.is_reachable:
        return _refuse(state, request, "The instance does not answer.")
    if state.health.is_quarantined and not health.may_probe(state.health, now):
        return _refuse(state, request, "The instance fails what it starts.")
    if request.request_id in state.checks:
        return _refuse(state, request, "The same request is already running.")
    wait = _expected_wait(state, request.caller)
    if now + wait + state.service > request.deadline:
        return _refuse(state, request, "The deadline can't be met.", wait)
    if len(state.waiting) >= QUEUED_CHECKS_PER_SLOT * state.instance.slots:
        return _refuse(state, request, "The queue of checks is full.", wait)
    if state.health.is_quarantined:
        state = evolve(state, health=health.note_probe(state.health, now))
    weight = state.weights.get(request.caller, 1.0)
    return Step(evolve(state, waiting=queue.push(state.waiting, request, weight)))


def _refuse(
    state: InstanceState,
    request: m.CheckRequest,
    reason: str,
    wait: dt.timedelta = dt.timedelta(milliseconds=200),
) -> InstanceStep:
    outcome = m.NotRun(reason, wait)
    return Step(state, (AnswerCheck(request.request_id, outcome),))


def _expected_wait(state: InstanceState, caller: str) -> dt.timedelta:
    if _free_for_checks(state) > len(state.waiting):
        return dt.timedelta()
    ahead = queue.position_of(state.waiting, caller) + 1
    slots = max(1, state.instance.slots - batch_tasks(state))
    return state.service * (ahead / slots)


def _end_check(
    state: InstanceState, msg: m.CheckEnded, now: dt.datetime
) -> InstanceStep:
    held = state.checks.get(msg.request_id)
    effects: list[t.Any] = [AnswerCheck(msg.request_id, msg.outcome)]
    if held is None:
        return Step(state, tuple(effects))
    if msg.certain:
        checks = state.checks.remove(msg.request_id)
    else:
        uncertain = evolve(held, hold=Hold.UNCERTAIN)
        checks = state.checks.set(msg.request_id, uncertain)
        effects.append(ListTasks())
    state = evolve(state, checks=checks)
    if isinstance(msg.outcome, m.Answered):
        state = _learn(state, held.request, msg.took, now)
    if isinstance(msg.outcome, m.Answered) or msg.failed:
        judged = health.record_ending(state.health, msg.request_id, msg.failed, now)
        state = evolve(state, health=judged)
    return Step(state, tuple(effects))


def _learn(
    state: InstanceState, request: m.CheckRequest, took: dt.timedelta, now: dt.datetime
) -> InstanceState:
    beside: collections.Counter[str] = collections.Counter()
    for task in state.tasks.values():
        if task.hold is Hold.RUNNING:
            beside[task.kind] += task.speed  # type: ignore[assignment]
    learned = slowdown.observe(state.learned, request.kind, took, beside)
    ratio = took.total_seconds() / learned.undisturbed[request.kind]
    return evolve(
        state,
        learned=learned,
        control=control.observe(state.control, ratio, now),
        service=state.service + SERVICE_WEIGHT * (took - state.service),
    )


def _start_work(state: InstanceState, record: WorkRecord) -> InstanceStep:
    task_id = record.task_id
    if state.stage is Stage.FENCING:
        # Until the instance is fenced and listed nothing can be said.
        return Step(state)
    if task_id in state.tasks or _is_pending(state, task_id):
        return Step(state, _repeat_end(state, task_id))
    if task_id in state.handled:
        return Step(state)
    assignment = record.assignment
    if assignment is None or assignment.epoch > state.epoch:
        return Step(state)
    if assignment.epoch < state.epoch:
        return Step(state, (_account_for(state, record),))
    if batch_room(state) <= 0 or _memory_free(state) < _memory_of(state, record.kind):
        handled = state.handled.add(task_id)
        told = _not_started(state, record, "The instance has no room.")
        return Step(evolve(state, handled=handled), (told,))
    return Step(evolve(state, pending=(*state.pending, record)))


def _account_for(state: InstanceState, record: WorkRecord) -> t.Any:
    """Tell what became of an attempt of an earlier epoch that is not listed."""
    assignment = record.assignment
    if assignment is not None and assignment.boot == state.boot:
        return _not_started(state, record, "The owner changed before the start.")
    lost = TaskStatus(
        record.task_id,
        record.kind,
        Ending.LEASE_EXPIRED,
        checkpoint=record.checkpoint,
        reason="The instance was restarted.",
    )
    return m.WorkEnded(state.instance.upstream, state.instance.name, lost)


def _not_started(
    state: InstanceState, record: WorkRecord, reason: str
) -> m.WorkNotStarted:
    return m.WorkNotStarted(
        state.instance.upstream, state.instance.name, record.task_id, reason
    )


def _is_pending(state: InstanceState, task_id: str) -> bool:
    return any(record.task_id == task_id for record in state.pending)


def _repeat_end(state: InstanceState, task_id: str) -> tuple[t.Any, ...]:
    task = state.tasks.get(task_id)
    if task is None or task.hold is not Hold.ENDED or task.status is None:
        return ()
    return (_ended(state, task.status),)


def _ended(state: InstanceState, status: TaskStatus) -> m.WorkEnded:
    return m.WorkEnded(state.instance.upstream, state.instance.name, status)


def _end_start(
    state: InstanceState, msg: m.StartEnded, now: dt.datetime
) -> InstanceStep:
    task = state.tasks.get(msg.task_id)
    if task is None or task.hold is not Hold.STARTING:
        return Step(state)
    if msg.started is None:
        uncertain = evolve(task, hold=Hold.UNCERTAIN, since=now)
        tasks = state.tasks.set(msg.task_id, uncertain)
        return Step(evolve(state, tasks=tasks), (ListTasks(),))
    if msg.started:
        running = evolve(task, hold=Hold.RUNNING, since=now)
        tasks = state.tasks.set(msg.task_id, running)
        effects = _stop_if_requested(running)
        return Step(evolve(state, tasks=tasks), effects)
    tasks = state.tasks.remove(msg.task_id)
    told = m.WorkNotStarted(
        state.instance.upstream, state.instance.name, msg.task_id, msg.reason
    )
    return Step(evolve(state, tasks=tasks), (told,))


def _stop_if_requested(task: HeldTask) -> tuple[t.Any, ...]:
    if task.stop_requested:
        return (ControlTask(task.task_id, 0.0),)
    return ()


def _stop_work(state: InstanceState, task_id: str) -> InstanceStep:
    for record in state.pending:
        if record.task_id == task_id:
            pending = tuple(r for r in state.pending if r.task_id != task_id)
            handled = state.handled.add(task_id)
            told = _not_started(state, record, "It was cancelled before its start.")
            return Step(evolve(state, pending=pending, handled=handled), (told,))
    task = state.tasks.get(task_id)
    if task is None or task.hold is Hold.ENDED:
        return Step(state, _repeat_end(state, task_id))
    tasks = state.tasks.set(task_id, evolve(task, stop_requested=True))
    state = evolve(state, tasks=tasks)
    if task.hold is Hold.STARTING:
        return Step(state)
    return Step(state, (ControlTask(task_id, 0.0),))


def _forget_task(state: InstanceState, task_id: str) -> InstanceStep:
    task = state.tasks.get(task_id)
    if task is None or task.hold is not Hold.ENDED:
        return Step(state)
    state = evolve(state, tasks=state.tasks.remove(task_id))
    return Step(state, (ConfirmRecorded(task_id),))


def _take_report(
    state: InstanceState,
    report: InstanceReport,
    asked_at: dt.datetime,
    now: dt.datetime,
) -> InstanceStep:
    if state.asked_at is not None and asked_at < state.asked_at:
        # Reports may cross; an older one must not undo a newer one.
        return Step(state)
    listed = {status.task_id: status for status in report.tasks}
    effects: list[t.Any] = []
    first = state.stage is Stage.FENCING
    was_restarted = bool(state.boot) and state.boot != report.boot
    state = evolve(
        state,
        stage=Stage.SERVING if first else state.stage,
        boot=report.boot,
        clock_at_report=report.clock,
        asked_at=asked_at,
        reported_at=now,
        is_reachable=True,
    )
    tasks, lost = _match_tasks(state, listed, was_restarted, effects)
    tasks = _adopt(state, tasks, listed, effects, now)
    state = evolve(state, tasks=tasks, handled=state.handled.update(lost))
    return Step(evolve(state, checks=_match_checks(state, listed)), tuple(effects))


def _match_tasks(
    state: InstanceState,
    listed: t.Mapping[str, TaskStatus],
    was_restarted: bool,
    effects: list[t.Any],
) -> tuple[PMap, list[str]]:
    tasks, lost = state.tasks, []
    for task_id, task in state.tasks.items():
        if task_id in listed:
            continue
        if task.hold is Hold.RUNNING and _is_judged_by(task, state):
            gone = _gone(task, was_restarted)
            ended = evolve(task, hold=Hold.ENDED, status=gone)
            tasks = tasks.set(task_id, ended)
            effects.append(_ended(state, gone))
        elif task.hold is Hold.UNCERTAIN and _can_start_no_more(task, state):
            tasks = tasks.remove(task_id)
            lost.append(task_id)
            effects.append(_missing(state, task, was_restarted))
    return tasks, lost


def _is_judged_by(task: HeldTask, state: InstanceState) -> bool:
    """Whether the last report was made after the task was known to run."""
    return state.asked_at is not None and task.since < state.asked_at


def _can_start_no_more(task: HeldTask, state: InstanceState) -> bool:
    """Whether a start that is still on its way would come too late."""
    return state.clock_at_report > task.lease_until


def _gone(task: HeldTask, was_restarted: bool) -> TaskStatus:
    reason = "The instance was restarted." if was_restarted else "It disappeared."
    checkpoint = task.record.checkpoint if task.record else ""
    return TaskStatus(
        task.task_id,
        task.kind,
        Ending.LEASE_EXPIRED,
        checkpoint=checkpoint,
        reason=reason,
    )


def _missing(state: InstanceState, task: HeldTask, was_restarted: bool) -> t.Any:
    if was_restarted:
        return _ended(state, _gone(task, was_restarted))
    return m.WorkNotStarted(
        state.instance.upstream,
        state.instance.name,
        task.task_id,
        "The start did not reach the instance.",
    )


def _adopt(
    state: InstanceState,
    tasks: PMap,
    listed: t.Mapping[str, TaskStatus],
    effects: list[t.Any],
    now: dt.datetime,
) -> PMap:
    for task_id, status in listed.items():
        if _is_check(state, status):
            continue
        known = tasks.get(task_id)
        if status.ending is not None:
            if known is None or known.hold is not Hold.ENDED:
                effects.append(_ended(state, status))
            ended = HeldTask(task_id, status.kind, Hold.ENDED, now, status=status)
            tasks = tasks.set(task_id, ended)
        elif known is None:
            found = HeldTask(task_id, status.kind, Hold.RUNNING, now)
            tasks = tasks.set(task_id, found)
        elif known.hold is Hold.UNCERTAIN:
            tasks = tasks.set(task_id, evolve(known, hold=Hold.RUNNING, since=now))
            effects.extend(_stop_if_requested(known))
    return tasks


def _is_check(state: InstanceState, status: TaskStatus) -> bool:
    kind = state.kinds.get(status.kind)
    return kind is not None and kind.category is Category.CHECK


def _match_checks(state: InstanceState, listed: t.Mapping[str, TaskStatus]) -> PMap:
    checks = state.checks
    for request_id, held in state.checks.items():
        is_over = state.clock_at_report > held.lease_until
        if held.hold is Hold.UNCERTAIN and is_over and request_id not in listed:
            checks = checks.remove(request_id)
    for task_id, status in listed.items():
        if task_id not in checks and _is_check(state, status):
            checks = checks.set(task_id, _found_check(state, status))
    return checks


def _found_check(state: InstanceState, status: TaskStatus) -> HeldCheck:
    """Hold the slot of a check that an earlier owner started."""
    request = m.CheckRequest(
        state.instance.upstream,
        status.kind,
        "",
        status.task_id,
        "",
        t.cast(dt.datetime, state.asked_at),
    )
    return HeldCheck(request, state.clock_at_report, Hold.UNCERTAIN)


def _change_rules(state: InstanceState, msg: RulesChanged) -> InstanceStep:
    state = evolve(
        state,
        instance=msg.instance,
        upstream=msg.upstream,
        kinds=msg.kinds,
        weights=msg.weights,
        is_leaving=msg.is_leaving,
    )
    if not msg.is_leaving:
        return Step(state)
    effects = [
        AnswerCheck(request.request_id, m.NotRun("The instance is leaving."))
        for request in queue.drain(state.waiting)
    ]
    effects += [
        _not_started(state, record, "The instance is leaving.")
        for record in state.pending
    ]
    handled = state.handled.update(record.task_id for record in state.pending)
    state = evolve(state, waiting=CheckQueue(), pending=(), handled=handled)
    return Step(state, tuple(effects))


def _release(state: InstanceState) -> InstanceStep:
    leaving = RulesChanged(
        state.instance, state.upstream, state.kinds, state.weights, True
    )
    step = _change_rules(state, leaving)
    return Step(evolve(step.state, stage=Stage.RELEASING), step.effects)


def _tick(state: InstanceState, now: dt.datetime) -> InstanceStep:
    before = state.control.level
    state = evolve(state, control=policy_of(state.upstream).advance(state.control, now))
    effects: list[t.Any] = []
    if state.control.level is Level.EVICTING:
        state = _evict_noisiest(state, effects, now)
    if state.control.level is not before:
        state = _set_speeds(state, effects)
    if any(held.hold is Hold.UNCERTAIN for held in state.checks.values()):
        effects.append(ListTasks())
    effects.extend(_overdue_ends(state))
    return Step(state, tuple(effects))


def _overdue_ends(state: InstanceState) -> t.Iterator[t.Any]:
    # Told again until it is recorded, since the holder of the line may change.
    for task in state.tasks.values():
        if task.hold is Hold.ENDED and task.status is not None:
            yield _ended(state, task.status)


def _evict_noisiest(
    state: InstanceState, effects: list[t.Any], now: dt.datetime
) -> InstanceState:
    watches = [
        task
        for task in state.tasks.values()
        if task.hold is Hold.RUNNING
        and _is_watch(state, task)
        and _noise(state, task) > LEAST_NOISE
    ]
    state = evolve(state, control=control.note_eviction(state.control, now))
    if not watches:
        return state
    noisiest = max(watches, key=lambda task: (_noise(state, task), task.task_id))
    effects.append(ControlTask(noisiest.task_id, 0.0, evict=True))
    return state


def _is_watch(state: InstanceState, task: HeldTask) -> bool:
    kind = state.kinds.get(task.kind)
    return kind is not None and kind.category is Category.WATCH


def _noise(state: InstanceState, task: HeldTask) -> float:
    return slowdown.effect_of(state.learned, task.kind).certain


def _set_speeds(state: InstanceState, effects: list[t.Any]) -> InstanceState:
    speed = control.speed_at(state.control.level)
    tasks = state.tasks
    for task_id, task in state.tasks.items():
        is_noisy = _noise(state, task) > LEAST_NOISE
        wanted = speed if is_noisy else 1.0
        if task.hold is Hold.RUNNING and task.speed != wanted:
            tasks = tasks.set(task_id, evolve(task, speed=wanted))
            effects.append(ControlTask(task_id, wanted))
    return evolve(state, tasks=tasks)


def _has_lapsed(state: InstanceState, now: dt.datetime) -> bool:
    """Whether every task lease that this owner ever gave has run out.

    Leases end on the instance's own clock, a fixed time after its last report,
    so the time since that report bounds them whatever happened to renewals on
    their way.
    """
    if state.is_reachable or state.reported_at is None:
        return False
    return now - state.reported_at > TASK_LEASE + LEASE_MARGIN


def _fill(state: InstanceState, now: dt.datetime) -> InstanceStep:
    """Start what waits while slots are free, floors first."""
    effects: list[t.Any] = []
    state = _fill_tasks(state, effects, now)
    state = _fill_checks(state, effects, now)
    return Step(state, tuple(effects))


def _fill_tasks(
    state: InstanceState, effects: list[t.Any], now: dt.datetime
) -> InstanceState:
    while state.pending and used_slots(state) < state.instance.slots:
        record, *rest = state.pending
        kind = state.kinds.get(record.kind)
        state = evolve(
            state, pending=tuple(rest), handled=state.handled.add(record.task_id)
        )
        if kind is None or not state.is_reachable:
            effects.append(_not_started(state, record, "It can't be started now."))
            continue
        lease_until = state.clock_at_report + TASK_LEASE
        held = HeldTask(
            record.task_id, record.kind, Hold.STARTING, now, lease_until, record
        )
        state = evolve(state, tasks=state.tasks.set(record.task_id, held))
        effects.append(RunTask(record, kind, lease_until))
    return state


def _fill_checks(
    state: InstanceState, effects: list[t.Any], now: dt.datetime
) -> InstanceState:
    while len(state.waiting) and _free_for_checks(state) > 0:
        popped = queue.pop(state.waiting, now, state.service)
        for request in popped.expired:
            outcome = m.NotRun("The deadline passed in the queue.", state.service)
            effects.append(AnswerCheck(request.request_id, outcome))
        state = evolve(state, waiting=popped.queue)
        request = popped.request
        if request is None:
            break
        lease_until = _clock_estimate(state, now) + (request.deadline - now)
        lease_until += CHECK_GRACE
        held = HeldCheck(request, lease_until)
        state = evolve(state, checks=state.checks.set(request.request_id, held))
        effects.append(RunCheck(request, lease_until))
    return state


def _clock_estimate(state: InstanceState, now: dt.datetime) -> dt.timedelta:
    """Return a time that the instance's own clock has certainly reached."""
    return state.clock_at_report + (now - (state.reported_at or now))
