"""The tasks of one stand-in instance and how they slow each other down."""

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

#: Run time after which a task of a failing instance ends.
FAILURE_DELAY = dt.timedelta(milliseconds=20)


@frozen
class Interference:
    """Slowdown that one running task of ``noisy`` adds to a task of ``kind``.

    A ``kind`` of ``*`` stands for every kind.
    """

    noisy: str
    kind: str
    added: float


@frozen
class TrueBehaviour:
    """How a task really behaves, read from its body.

    :param run_time_s: Real run time without interference; the declared one if
        not given.
    :param fails: Whether the task ends with a failure.
    """

    run_time_s: float | None = None
    memory_bytes: int | None = None
    fails: bool = False


@define(eq=False)
class RunningTask:
    """One task and its progress."""

    order: TaskOrder
    is_batch: bool
    behaviour: TrueBehaviour
    total: dt.timedelta
    done: dt.timedelta
    started_at: dt.datetime
    on_end: t.Callable[["RunningTask", Ending], None]
    speed: float = 1.0
    lease_until: dt.timedelta = dt.timedelta()

    @property
    def checkpoint(self) -> str:
        """Progress in a form from which the task can be resumed."""
        return f"{self.done.total_seconds():.3f}"


@define(eq=False)
class Machine:
    """The tasks that run on one instance, without any transport.

    :param guard: Whether orders with a stale epoch and tasks that do not fit
        are refused. Without it they are carried out and counted as violations.
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
    _advanced_at: dt.datetime | None = None
    _next_end: IDelayedCall | None = None
    _origin: dt.datetime = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._origin = self.clock.now()

    def uptime(self) -> dt.timedelta:
        """Return the instance's own clock."""
        return self.clock.now() - self._origin

    def check_epoch(self, epoch: int) -> Refusal | None:
        """Refuse an order of an owner that was replaced, and note a new one."""
        highest = self.highest_epoch
        if epoch >= highest:
            self.highest_epoch = epoch
            return None
        if self.guard:
            return Refusal(REASON_STALE_EPOCH, f"{epoch} is below {highest}")
        return None

    def admit(self, order: TaskOrder) -> Refusal | None:
        """Refuse a task that must not start here now."""
        refusal = self.check_epoch(order.epoch)
        if refusal is not None:
            return refusal
        if order.boot != self.boot:
            return Refusal(REASON_OTHER_BOOT, self.boot)
        if self.uptime() > order.lease_until:
            return Refusal(REASON_LATE, "The lease of the order has run out.")
        if order.epoch < self.highest_epoch:
            self._violate("stale_start")
        if order.task_id in self.started_ids:
            if self.guard:
                return Refusal(REASON_DUPLICATE, order.task_id)
            self._violate("same_task_twice")
        if not self.fits(order):
            if self.guard:
                return Refusal(REASON_FULL, f"{len(self.tasks)} tasks run")
            self._violate("over_capacity")
        return None

    def _violate(self, name: str) -> None:
        count = getattr(self.violations, name) + 1
        self.violations = evolve(self.violations, **{name: count})

    def fits(self, order: TaskOrder) -> bool:
        """Whether the task can be held beside those that run."""
        used = sum(task.order.memory_bytes for task in self.tasks.values())
        has_memory = used + order.memory_bytes <= self.memory_bytes
        return has_memory and len(self.tasks) < self.slots

    def start(
        self,
        order: TaskOrder,
        is_batch: bool,
        on_end: t.Callable[[RunningTask, Ending], None],
    ) -> None:
        """Start a task and call ``on_end`` once it ends."""
        self._advance()
        behaviour = _read_behaviour(order.body)
        declared = order.run_time.total_seconds()
        total_s = declared if behaviour.run_time_s is None else behaviour.run_time_s
        done = dt.timedelta(seconds=float(order.checkpoint or 0))
        task = RunningTask(
            order,
            is_batch,
            behaviour,
            dt.timedelta(seconds=total_s),
            done,
            self.clock.now(),
            on_end,
        )
        if self.fail_all:
            task.total = done + FAILURE_DELAY
        task.lease_until = order.lease_until
        self.tasks[order.task_id] = task
        self.started_ids.add(order.task_id)
        self.record("start", order.task_id, order.epoch, order.kind, order.checkpoint)
        self._schedule()

    def renew(self, lease_until: dt.timedelta) -> None:
        """Extend the leases of all tasks whose lease has not lapsed."""
        self._advance()
        for task in self.tasks.values():
            if task.is_batch:
                task.lease_until = max(task.lease_until, lease_until)
        self._schedule()

    def control(self, task_id: str, speed: float, evict: bool) -> None:
        """Change the speed of a task or stop it."""
        self._advance()
        task = self.tasks.get(task_id)
        if task is None:
            return
        if speed > 0:
            task.speed = speed
            self._schedule()
            return
        self._end(task, Ending.EVICTED if evict else Ending.STOPPED)
        self._schedule()

    def status(self, task: RunningTask) -> TaskStatus:
        """Return a running task as the instance lists it."""
        self._advance()
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
        """Append to the journal that history checks read."""
        at_s = self.clock.now().timestamp()
        entry = JournalEntry(at_s, event, task_id, epoch, self.boot, kind, checkpoint)
        self.journal.append(entry)

    def _rate(self, task: RunningTask) -> float:
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

    def _advance(self) -> None:
        now = self.clock.now()
        elapsed = now - (self._advanced_at or now)
        self._advanced_at = now
        rates = {task_id: self._rate(task) for task_id, task in self.tasks.items()}
        for task_id, task in self.tasks.items():
            task.done += elapsed * rates[task_id]
        for task in list(self.tasks.values()):
            # The end of one task may have ended another.
            if task.order.task_id in self.tasks:
                self._end_if_due(task)

    def _end_if_due(self, task: RunningTask) -> None:
        if task.lease_until <= self.uptime():
            self._end(task, Ending.LEASE_EXPIRED)
        elif task.done >= task.total:
            fails = self.fail_all or task.behaviour.fails
            self._end(task, Ending.FAILED if fails else Ending.DONE)

    def _end(self, task: RunningTask, ending: Ending) -> None:
        del self.tasks[task.order.task_id]
        order = task.order
        self.record(
            ending.value, order.task_id, order.epoch, order.kind, task.checkpoint
        )
        task.on_end(task, ending)

    def _schedule(self) -> None:
        if self._next_end is not None and self._next_end.active():
            self._next_end.cancel()
        delays = [self._delay(task) for task in self.tasks.values()]
        if delays:
            delay = min(delays) + dt.timedelta(milliseconds=1)
            self._next_end = self.clock.call_later(delay, self._wake)

    def _wake(self) -> None:
        self._advance()
        self._schedule()

    def _delay(self, task: RunningTask) -> dt.timedelta:
        until_done = (task.total - task.done) / self._rate(task)
        return min(until_done, task.lease_until - self.uptime())


def _read_behaviour(body: str) -> TrueBehaviour:
    try:
        fields = json.loads(body)
    except ValueError:
        return TrueBehaviour()
    if not isinstance(fields, dict):
        return TrueBehaviour()
    return TrueBehaviour(
        fields.get("run_time_s"),
        fields.get("memory_bytes"),
        bool(fields.get("fails", False)),
    )
