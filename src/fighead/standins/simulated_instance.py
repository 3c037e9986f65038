"""Simulates the tasks of one instance and the interference between them."""

import datetime as dt
import json
import typing as t

from attrs import define, evolve, field, frozen
from twisted.internet.interfaces import IDelayedCall

from ..clock import Clock
from ..model import Ending, TaskStatus
from ..worker import (
    REASON_DUPLICATE,
    REASON_FULL,
    REASON_LATE,
    REASON_OTHER_BOOT,
    REASON_STALE_EPOCH,
    JournalEntry,
    Refusal,
    TaskOrder,
    Violations,
)

#: Work that a task of a failing instance still does before it fails.
FAILURE_DELAY = dt.timedelta(milliseconds=20)


@frozen
class Interference:
    """Slowdown that each running task of one kind causes in tasks of another.

    :param noisy: Kind that causes the slowdown.
    :param kind: Kind that is slowed down; ``*`` matches every kind.
    :param added: Share of its run time that one task of ``noisy`` at full speed
        adds to a task of ``kind``.
    """

    noisy: str
    kind: str
    added: float


@frozen
class TaskBehaviour:
    """Simulated behaviour of a task, given in its body.

    :param run_time_s: Run time without interference; ``None`` for the declared
        one.
    :param memory_bytes: Memory reported as used; ``None`` for the declared amount.
    :param fails: Whether the task fails at the end of its run time.
    """

    run_time_s: float | None = None
    memory_bytes: int | None = None
    fails: bool = False


@define(eq=False)
class RunningTask:
    """A running task and its progress.

    :param total_work: Run time at full speed without interference.
    :param work_done: Part of ``total_work`` that is done.
    :param speed: Share of full speed that the owner allows.
    :param lease_until: Uptime of the instance at which the lease expires.
    """

    order: TaskOrder
    is_batch: bool
    behaviour: TaskBehaviour
    total_work: dt.timedelta
    work_done: dt.timedelta
    started_at: dt.datetime
    on_end: t.Callable[["RunningTask", Ending], None]
    speed: float = 1.0
    lease_until: dt.timedelta = dt.timedelta()

    @property
    def checkpoint(self) -> str:
        """Seconds of work done, as text; an order can resume the task from it."""
        return f"{self.work_done.total_seconds():.3f}"


@define(eq=False)
class SimulatedInstance:
    """Simulates one instance: runs its tasks, without any transport.

    :param interference: Slowdowns between the kinds of tasks.
    :param fail_all: Whether every task fails :data:`FAILURE_DELAY` after its start.
    :param guard: Whether orders with a stale epoch, duplicate tasks and tasks that
        do not fit are refused. Otherwise they are executed, and starts among them
        are counted as violations. Starts for another boot or after the lease are
        refused either way.
    """

    clock: Clock
    boot: str
    slots: int
    memory_bytes: int
    interference: tuple[Interference, ...] = ()
    fail_all: bool = False
    guard: bool = True
    tasks: dict[str, RunningTask] = field(factory=dict)
    started_ids: set[str] = field(factory=set)
    journal: list[JournalEntry] = field(factory=list)
    violations: Violations = Violations()
    highest_epoch: int = 0
    _progress_updated_at: dt.datetime | None = None
    _wake_call: IDelayedCall | None = None
    _booted_at: dt.datetime = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._booted_at = self.clock.now()

    def uptime(self) -> dt.timedelta:
        """Return the time since boot, the clock on which leases end."""
        return self.clock.now() - self._booted_at

    def check_epoch(self, epoch: int) -> Refusal | None:
        """Record the highest epoch seen; return a refusal if this one is lower.

        Without ``guard``, a lower epoch is not refused.
        """
        highest = self.highest_epoch
        if epoch >= highest:
            self.highest_epoch = epoch
            return None
        if self.guard:
            return Refusal(REASON_STALE_EPOCH, f"{epoch} is below {highest}")
        return None

    def admit(self, order: TaskOrder) -> Refusal | None:
        """Return a refusal if the task must not start, else ``None``.

        Without ``guard``, starts that break a rule are counted as violations.
        """
        refusal = self.check_epoch(order.epoch)
        if refusal is not None:
            return refusal
        if order.boot != self.boot:
            return Refusal(REASON_OTHER_BOOT, self.boot)
        if self.uptime() > order.lease_until:
            return Refusal(REASON_LATE, "The lease of the order has run out.")
        if order.epoch < self.highest_epoch:
            self._count_violation("stale_start")
        if order.task_id in self.started_ids:
            if self.guard:
                return Refusal(REASON_DUPLICATE, order.task_id)
            self._count_violation("same_task_twice")
        if not self.fits(order):
            if self.guard:
                return Refusal(REASON_FULL, f"{len(self.tasks)} tasks run")
            self._count_violation("over_capacity")
        return None

    def _count_violation(self, name: str) -> None:
        count = getattr(self.violations, name) + 1
        self.violations = evolve(self.violations, **{name: count})

    def fits(self, order: TaskOrder) -> bool:
        """Whether there is a free slot and enough memory for the task."""
        used_bytes = sum(task.order.memory_bytes for task in self.tasks.values())
        has_memory = used_bytes + order.memory_bytes <= self.memory_bytes
        return has_memory and len(self.tasks) < self.slots

    def start(
        self,
        order: TaskOrder,
        is_batch: bool,
        on_end: t.Callable[[RunningTask, Ending], None],
    ) -> None:
        """Start a task, from its checkpoint if it has one.

        :param on_end: Called with the task and its ending once it ends.
        """
        self._update_progress()
        behaviour = _read_behaviour(order.body)
        declared_s = order.run_time.total_seconds()
        run_time_s = (
            declared_s if behaviour.run_time_s is None else behaviour.run_time_s
        )
        done = dt.timedelta(seconds=float(order.checkpoint or 0))
        task = RunningTask(
            order,
            is_batch,
            behaviour,
            dt.timedelta(seconds=run_time_s),
            done,
            self.clock.now(),
            on_end,
        )
        if self.fail_all:
            task.total_work = done + FAILURE_DELAY
        task.lease_until = order.lease_until
        self.tasks[order.task_id] = task
        self.started_ids.add(order.task_id)
        self.record("start", order.task_id, order.epoch, order.kind, order.checkpoint)
        self._schedule_wake()

    def renew(self, lease_until: dt.timedelta) -> None:
        """Extend the leases of batch tasks; never shortens one.

        Tasks whose lease has already expired end first.
        """
        self._update_progress()
        for task in self.tasks.values():
            if task.is_batch:
                task.lease_until = max(task.lease_until, lease_until)
        self._schedule_wake()

    def control(self, task_id: str, speed: float, evict: bool) -> None:
        """Change the speed of a task or end it; unknown tasks are ignored.

        :param speed: Share of full speed; the task ends if it is not positive.
        :param evict: Whether that ending is an eviction rather than a stop.
        """
        self._update_progress()
        task = self.tasks.get(task_id)
        if task is None:
            return
        if speed > 0:
            task.speed = speed
            self._schedule_wake()
            return
        self._end(task, Ending.EVICTED if evict else Ending.STOPPED)
        self._schedule_wake()

    def status(self, task: RunningTask) -> TaskStatus:
        """Return the current status of a running task."""
        self._update_progress()
        memory = task.behaviour.memory_bytes
        return TaskStatus(
            task.order.task_id,
            task.order.kind,
            checkpoint=task.checkpoint,
            cores_used=task.speed * task.order.cores,
            memory_used_bytes=task.order.memory_bytes if memory is None else memory,
            elapsed=self.clock.now() - task.started_at,
        )

    def record(
        self, event: str, task_id: str, epoch: int, kind: str = "", checkpoint: str = ""
    ) -> None:
        """Append an event to the journal, which history checks read."""
        at_s = self.clock.now().timestamp()
        entry = JournalEntry(at_s, event, task_id, epoch, self.boot, kind, checkpoint)
        self.journal.append(entry)

    def _progress_rate(self, task: RunningTask) -> float:
        added = 0.0
        for other in self.tasks.values():
            if other is task:
                continue
            for rule in self.interference:
                if rule.noisy == other.order.kind and rule.kind in (
                    task.order.kind,
                    "*",
                ):
                    added += rule.added * other.speed
        return task.speed / (1 + added)

    def _update_progress(self) -> None:
        now = self.clock.now()
        elapsed = now - (self._progress_updated_at or now)
        self._progress_updated_at = now
        rates = {
            task_id: self._progress_rate(task) for task_id, task in self.tasks.items()
        }
        for task_id, task in self.tasks.items():
            task.work_done += elapsed * rates[task_id]
        for task in list(self.tasks.values()):
            # The ``on_end`` callback of one task may have ended another.
            if task.order.task_id in self.tasks:
                self._end_if_due(task)

    def _end_if_due(self, task: RunningTask) -> None:
        if task.lease_until <= self.uptime():
            self._end(task, Ending.LEASE_EXPIRED)
        elif task.work_done >= task.total_work:
            fails = self.fail_all or task.behaviour.fails
            self._end(task, Ending.FAILED if fails else Ending.DONE)

    def _end(self, task: RunningTask, ending: Ending) -> None:
        del self.tasks[task.order.task_id]
        order = task.order
        self.record(
            ending.value, order.task_id, order.epoch, order.kind, task.checkpoint
        )
        task.on_end(task, ending)

    def _schedule_wake(self) -> None:
        if self._wake_call is not None and self._wake_call.active():
            self._wake_call.cancel()
        delays = [self._time_to_end(task) for task in self.tasks.values()]
        if delays:
            delay = min(delays) + dt.timedelta(milliseconds=1)
            self._wake_call = self.clock.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._update_progress()
        self._schedule_wake()

    def _time_to_end(self, task: RunningTask) -> dt.timedelta:
        until_done = (task.total_work - task.work_done) / self._progress_rate(task)
        return min(until_done, task.lease_until - self.uptime())


def _read_behaviour(body: str) -> TaskBehaviour:
    try:
        fields = json.loads(body)
    except ValueError:
        return TaskBehaviour()
    if not isinstance(fields, dict):
        return TaskBehaviour()
    return TaskBehaviour(
        fields.get("run_time_s"),
        fields.get("memory_bytes"),
        bool(fields.get("fails", False)),
    )
