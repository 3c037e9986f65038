"""An instance that runs tasks of jobs under leases, without any transport.

It keeps the rules that real instances keep: the highest fence, runs that are
refused once they were stopped or have ended, a lease for everything on its own
clock, and a list of ends until they are acknowledged.
"""

import datetime as dt
import random
import typing as t

from attrs import define, evolve, field, frozen

from ..clock import Clock
from ..exceptions import WorkerRefusedError
from ..job import Demand, Stage, TaskKey
from ..run import (
    EndKind,
    Instance,
    Listing,
    PaceRun,
    Refusal,
    RunEnd,
    RunRow,
    StartRun,
    StopRun,
)

#: Longest lease that is granted.
MAX_LEASE = dt.timedelta(seconds=6)
#: Time that a stop takes.
STOP_TIME = dt.timedelta(milliseconds=200)
#: Ends that are listed at once.
MAX_ENDS = 500
#: Time after its start at which a task that lasts is at work.
STARTUP_TIME = dt.timedelta(milliseconds=500)
#: Run time of a task whose stage is not known.
DEFAULT_RUN_TIME = dt.timedelta(seconds=1)


@frozen
class RunEvent:
    """Something that happened to a run, for history checks."""

    at: dt.datetime
    event: str
    instance_id: str
    task: TaskKey
    number: int
    fence: int


@define(eq=False)
class _Run:
    order: StartRun
    stage: Stage
    fence: int
    started_at: dt.datetime
    worked: dt.timedelta = dt.timedelta()
    updated_at: dt.datetime | None = None
    pace: int = 100
    stops_at: dt.datetime | None = None


@define(eq=False)
class JobMachine:
    """One life of an instance.

    :param find_stage: Returns the stage of a task; the order carries only the
        job's payload.
    :param fails: Decides whether a run fails.
    """

    instance: Instance
    clock: Clock
    find_stage: t.Callable[[StartRun], Stage]
    fails: t.Callable[[StartRun], bool] = lambda _: False
    is_guarded: bool = True
    history: list[RunEvent] = field(factory=list)
    fence: int = 0
    started_at: dt.datetime = field(init=False)
    _runs: dict[tuple[TaskKey, int], _Run] = field(factory=dict)
    _ends: list[RunEnd] = field(factory=list)
    _past: dict[TaskKey, int] = field(factory=dict)
    _sequence: int = 0
    _until_ms: int = 0
    _random: random.Random = field(factory=lambda: random.Random(1))

    def __attrs_post_init__(self) -> None:
        self.started_at = self.clock.now()

    def now_ms(self) -> int:
        """Return the instance's own clock."""
        return int((self.clock.now() - self.started_at).total_seconds() * 1000)

    def start(self, order: StartRun, until_ms: int, fence: int) -> int:
        """Start a run.

        :raises WorkerRefusedError: If it is not started.
        """
        self.update()
        self._check_fence(fence)
        if until_ms <= self.now_ms():
            raise _refuse(Refusal.LATE)
        identity = (order.task, order.number)
        self._extend(until_ms)
        if identity in self._runs:
            return self.now_ms()
        if order.number <= self._past.get(order.task, 0):
            raise _refuse(Refusal.STALE)
        stage = self.find_stage(order)
        if self.is_guarded and not stage.demand.fits(self.room()):
            raise _refuse(Refusal.NO_ROOM)
        now = self.clock.now()
        self._runs[identity] = _Run(order, stage, fence, now, updated_at=now)
        self._note("started", order.task, order.number)
        return self.now_ms()

    def stop(self, order: StopRun, fence: int) -> None:
        """Stop a run, or refuse it for ever if it has not arrived yet."""
        self.update()
        self._check_fence(fence)
        self._past[order.task] = max(self._past.get(order.task, 0), order.number)
        run = self._runs.get((order.task, order.number))
        if run is not None and run.stops_at is None:
            run.stops_at = self.clock.now() + STOP_TIME

    def pace(self, order: PaceRun, fence: int) -> None:
        """Change the speed of a run."""
        self.update()
        self._check_fence(fence)
        run = self._runs.get((order.task, order.number))
        if run is not None:
            run.pace = order.percent

    def hold(self, fence: int, acknowledged: int, until_ms: int) -> Listing:
        """Extend the lease and list runs and ends."""
        self.update()
        self._check_fence(fence)
        if until_ms:
            self._extend(until_ms)
        for end in self._ends:
            if end.sequence <= acknowledged:
                self._note(f"acknowledged {end.kind.value}", end.task, end.number)
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        rows = tuple(self._row(run) for run in self._runs.values())
        return Listing(self.now_ms(), rows, tuple(self._ends[:MAX_ENDS]))

    def has_news(self, after: int) -> bool:
        """Whether an end is listed that has a higher number than ``after``."""
        self.update()
        return bool(self._ends) and self._ends[-1].sequence > after

    def crash(self) -> None:
        """End everything at once; nothing is listed any more."""
        for run in self._runs.values():
            self._note("crashed", run.order.task, run.order.number)
        self._runs.clear()

    def room(self) -> Demand:
        """Return what is free of the capacity."""
        used = sum((run.stage.demand for run in self._runs.values()), Demand())
        return self.instance.capacity - used

    def update(self) -> None:
        """Let time pass: runs work, end, stop, or lapse with their lease."""
        now = self.clock.now()
        if self._runs and self.now_ms() >= self._until_ms:
            for identity in list(self._runs):
                self._end(identity, EndKind.LAPSED)
        for identity, run in list(self._runs.items()):
            run.worked += (now - (run.updated_at or now)) * (run.pace / 100)
            run.updated_at = now
            if run.stops_at is not None and now >= run.stops_at:
                self._end(identity, EndKind.STOPPED)
            elif not run.stage.is_lasting and run.worked >= _run_time(run.stage):
                kind = EndKind.FAILED if self.fails(run.order) else EndKind.DONE
                self._end(identity, kind)

    def _end(self, identity: tuple[TaskKey, int], kind: EndKind) -> None:
        run = self._runs.pop(identity)
        task, number = identity
        self._past[task] = max(self._past.get(task, 0), number)
        self._sequence += 1
        saved = f"{int(run.worked.total_seconds() * 1000):x}"
        checkpoint = saved if run.stage.is_checkpointed else ""
        self._ends.append(RunEnd(self._sequence, task, number, kind, checkpoint))
        self._note(kind.value, task, number)

    def _row(self, run: _Run) -> RunRow:
        whole = STARTUP_TIME if run.stage.is_lasting else _run_time(run.stage)
        percent = min(100, int(100 * (run.worked / whole)))
        usage = (
            max(1, run.stage.target_ms // 6) if run.stage.target_ms else run.stage.cpu
        )
        return RunRow(run.order.task, run.order.number, "", percent, usage)

    def _check_fence(self, fence: int) -> None:
        if fence < self.fence:
            raise _refuse(Refusal.FENCED)
        self.fence = fence

    def _extend(self, until_ms: int) -> None:
        longest = self.now_ms() + int(MAX_LEASE.total_seconds() * 1000)
        self._until_ms = max(self._until_ms, min(until_ms, longest))

    def _note(self, event: str, task: TaskKey, number: int) -> None:
        at, instance_id = self.clock.now(), self.instance.instance_id
        self.history.append(RunEvent(at, event, instance_id, task, number, self.fence))


def _run_time(stage: Stage) -> dt.timedelta:
    if not stage.estimate_ms:
        return DEFAULT_RUN_TIME
    return dt.timedelta(milliseconds=stage.estimate_ms)


def _refuse(reason: Refusal) -> WorkerRefusedError:
    return WorkerRefusedError(
        f"The instance refused the order: {reason.value}.",
        "Place the task again.",
        reason.value,
    )


def reborn(machine: JobMachine, incarnation: str) -> JobMachine:
    """Return the next life of an instance, which knows nothing of before."""
    machine.crash()
    return JobMachine(
        evolve(machine.instance, incarnation=incarnation),
        machine.clock,
        machine.find_stage,
        machine.fails,
        machine.is_guarded,
        machine.history,
    )
