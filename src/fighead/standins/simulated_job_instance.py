"""Simulates an instance that runs tasks of jobs under a lease, without transport.

It follows the rules of real instances: it refuses orders with a fence below the
highest one seen, and runs that were stopped or have ended. One lease on its own
clock covers all runs. Ends are listed until they are acknowledged.
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
    ListedRun,
    Listing,
    PaceRun,
    RefusalReason,
    RegisteredInstance,
    RunEnd,
    StartRun,
    StopRun,
)

#: Longest lease that an order can obtain.
MAX_LEASE = dt.timedelta(seconds=6)
#: Time from an order to stop until the run ends.
STOP_TIME = dt.timedelta(milliseconds=200)
#: Maximum number of ends in one listing.
MAX_ENDS = 500
#: Work after which a lasting task is listed at 100 percent.
STARTUP_TIME = dt.timedelta(milliseconds=500)
#: Run time of a task whose stage has no estimate.
DEFAULT_RUN_TIME = dt.timedelta(seconds=1)


@frozen
class RunEvent:
    """An event of a run, for history checks.

    :param number: Number of the run.
    :param fence: Highest fence that the instance had seen.
    """

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
    work_done: dt.timedelta = dt.timedelta()
    updated_at: dt.datetime | None = None
    pace_percent: int = 100
    stops_at: dt.datetime | None = None


@define(eq=False)
class SimulatedJobInstance:
    """Simulates one incarnation of an instance.

    :param find_stage: Returns the stage of a task; the order carries only the
        job's payload.
    :param fails: Returns whether a run fails.
    :param is_guarded: Whether runs that exceed the free capacity are refused.
    :param history: Events of all runs, also of earlier incarnations.
    """

    instance: RegisteredInstance
    clock: Clock
    find_stage: t.Callable[[StartRun], Stage]
    fails: t.Callable[[StartRun], bool] = lambda _: False
    is_guarded: bool = True
    history: list[RunEvent] = field(factory=list)
    fence: int = 0
    started_at: dt.datetime = field(init=False)
    _runs: dict[tuple[TaskKey, int], _Run] = field(factory=dict)
    _ends: list[RunEnd] = field(factory=list)
    _highest_ended_run: dict[TaskKey, int] = field(factory=dict)
    _sequence: int = 0
    _lease_until_ms: int = 0
    #: Latest time at which the lease has expired, on the instance's clock.
    _lapsed_ms: int = -1
    #: Time of each unacknowledged end on that clock, by sequence number.
    _ended_ms: dict[int, int] = field(factory=dict)
    _random: random.Random = field(factory=lambda: random.Random(1))

    def __attrs_post_init__(self) -> None:
        self.started_at = self.clock.now()

    def now_ms(self) -> int:
        """Return the instance's clock, on which leases end: ms since its start."""
        return int((self.clock.now() - self.started_at).total_seconds() * 1000)

    def start(self, order: StartRun, lease_until_ms: int, fence: int) -> int:
        """Start a run and return the time on the instance's clock in ms.

        A repeated order for a run that is already running only extends the lease.

        :raises WorkerRefusedError: If the fence or the run is stale, the lease has
            expired or the capacity is used up.
        """
        self.update()
        self._check_fence(fence)
        if lease_until_ms <= self.now_ms():
            raise _refuse(RefusalReason.LATE)
        identity = (order.task, order.number)
        self._extend_lease(lease_until_ms)
        if identity in self._runs:
            return self.now_ms()
        if order.number <= self._highest_ended_run.get(order.task, 0):
            raise _refuse(RefusalReason.STALE)
        stage = self.find_stage(order)
        if self.is_guarded and not stage.demand.fits(self.free_capacity()):
            raise _refuse(RefusalReason.NO_ROOM)
        now = self.clock.now()
        self._runs[identity] = _Run(order, stage, fence, now, updated_at=now)
        self._record_event("started", order.task, order.number)
        return self.now_ms()

    def stop(self, order: StopRun, fence: int) -> None:
        """Stop a run, which ends after :data:`STOP_TIME`.

        A start of this or an earlier run of the task that arrives later is refused.
        """
        self.update()
        self._check_fence(fence)
        self._highest_ended_run[order.task] = max(
            self._highest_ended_run.get(order.task, 0), order.number
        )
        run = self._runs.get((order.task, order.number))
        if run is not None and run.stops_at is None:
            run.stops_at = self.clock.now() + STOP_TIME

    def set_pace(self, order: PaceRun, fence: int) -> None:
        """Set the speed of a run, in percent; unknown runs are ignored."""
        self.update()
        self._check_fence(fence)
        run = self._runs.get((order.task, order.number))
        if run is not None:
            run.pace_percent = order.percent

    def renew_and_list(
        self, fence: int, acknowledged: int, lease_until_ms: int
    ) -> Listing:
        """Extend the lease and list the runs and the unacknowledged ends.

        :param acknowledged: Highest sequence number whose end need not be listed
            again.
        :param lease_until_ms: End of the lease on the instance's clock; 0 leaves it.
        """
        self.update()
        self._check_fence(fence)
        if lease_until_ms:
            self._extend_lease(lease_until_ms)
        for end in self._ends:
            if end.sequence <= acknowledged:
                self._record_acknowledgement(end)
        self._ends = [end for end in self._ends if end.sequence > acknowledged]
        rows = tuple(self._make_listed_run(run) for run in self._runs.values())
        return Listing(self.now_ms(), rows, tuple(self._ends[:MAX_ENDS]))

    def has_new_ends(self, after: int) -> bool:
        """Whether there is an end with a sequence number above ``after``."""
        self.update()
        return bool(self._ends) and self._ends[-1].sequence > after

    def crash(self) -> None:
        """Drop all runs at once, without listing their ends."""
        for run in self._runs.values():
            self._record_event("crashed", run.order.task, run.order.number)
        self._runs.clear()

    def free_capacity(self) -> Demand:
        """Return the free part of the capacity."""
        used = sum((run.stage.demand for run in self._runs.values()), Demand())
        return self.instance.capacity - used

    def update(self) -> None:
        """Advance all runs to the current time and end those that are due.

        A run is due when its work is done, its stop has taken effect or the lease
        has expired.
        """
        now = self.clock.now()
        if self.now_ms() >= self._lease_until_ms:
            self._lapsed_ms = self._lease_until_ms
        if self._runs and self.now_ms() >= self._lease_until_ms:
            # A suspended process notices the end of the lease late.
            lapsed_at = self.started_at + dt.timedelta(
                milliseconds=self._lease_until_ms
            )
            for identity in list(self._runs):
                self._end(identity, EndKind.LAPSED, lapsed_at)
        for identity, run in list(self._runs.items()):
            run.work_done += (now - (run.updated_at or now)) * (run.pace_percent / 100)
            run.updated_at = now
            if run.stops_at is not None and now >= run.stops_at:
                self._end(identity, EndKind.STOPPED)
            elif not run.stage.is_lasting and run.work_done >= _run_time(run.stage):
                kind = EndKind.FAILED if self.fails(run.order) else EndKind.DONE
                self._end(identity, kind)

    def _end(
        self,
        identity: tuple[TaskKey, int],
        kind: EndKind,
        at: dt.datetime | None = None,
    ) -> None:
        run = self._runs.pop(identity)
        task, number = identity
        self._highest_ended_run[task] = max(
            self._highest_ended_run.get(task, 0), number
        )
        self._sequence += 1
        self._ended_ms[self._sequence] = self.now_ms()
        progress = f"{int(run.work_done.total_seconds() * 1000):x}"
        checkpoint = progress if run.stage.is_checkpointed else ""
        self._ends.append(RunEnd(self._sequence, task, number, kind, checkpoint))
        self._record_event(kind.value, task, number, at)

    def _make_listed_run(self, run: _Run) -> ListedRun:
        total_work = STARTUP_TIME if run.stage.is_lasting else _run_time(run.stage)
        percent = min(100, int(100 * (run.work_done / total_work)))
        usage = (
            max(1, run.stage.target_ms // 6) if run.stage.target_ms else run.stage.cpu
        )
        return ListedRun(run.order.task, run.order.number, "", percent, usage)

    def _check_fence(self, fence: int) -> None:
        if fence < self.fence:
            raise _refuse(RefusalReason.FENCED)
        self.fence = fence

    def _extend_lease(self, lease_until_ms: int) -> None:
        latest_ms = self.now_ms() + int(MAX_LEASE.total_seconds() * 1000)
        self._lease_until_ms = max(self._lease_until_ms, min(lease_until_ms, latest_ms))

    def _record_acknowledgement(self, end: RunEnd) -> None:
        """Record that an end was acknowledged, and whether the lease lapsed before.

        The platform does not count an end as acknowledged then: a scheduler may have
        taken the run for lost.
        """
        ended_ms = self._ended_ms.pop(end.sequence, 0)
        suffix = " after a lapse" if self._lapsed_ms >= ended_ms else ""
        event = f"acknowledged {end.kind.value}{suffix}"
        self._record_event(event, end.task, end.number)

    def _record_event(
        self, event: str, task: TaskKey, number: int, at: dt.datetime | None = None
    ) -> None:
        at, instance_id = at or self.clock.now(), self.instance.instance_id
        self.history.append(RunEvent(at, event, instance_id, task, number, self.fence))


def _run_time(stage: Stage) -> dt.timedelta:
    if not stage.estimate_ms:
        return DEFAULT_RUN_TIME
    return dt.timedelta(milliseconds=stage.estimate_ms)


def _refuse(reason: RefusalReason) -> WorkerRefusedError:
    return WorkerRefusedError(
        f"The instance refused the order: {reason.value}.",
        "Place the task again.",
        reason.value,
    )


def restart(machine: SimulatedJobInstance, incarnation: str) -> SimulatedJobInstance:
    """Crash an instance and return its next incarnation.

    The new incarnation has no runs and no fence; it continues only the history.
    """
    machine.crash()
    return SimulatedJobInstance(
        evolve(machine.instance, incarnation=incarnation),
        machine.clock,
        machine.find_stage,
        machine.fails,
        machine.is_guarded,
        machine.history,
    )
