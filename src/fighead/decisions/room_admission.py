"""Decides whether a new job is refused because it can't get room in time.

The load that this is built for: an overload that lasts longer than jobs can wait. What
is accepted and can't end within three times its objective takes room from jobs that
could, and its client learns too late that nothing comes of it. A client that is told at
once comes back when the backlog is smaller.
"""

import collections
import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..job import JobSpec, Queue
from . import caller_cost, placement
from .admission import BACKLOG_LIFETIME, MAX_RETRY_AFTER, MIN_RETRY_AFTER
from .caller_cost import Urgency
from .job_value import LATE_FACTOR
from .schedule_state import JobState, RunPhase, Schedule, StageState

#: Wait of a task from which room counts as short: rooms that come free at once are
#: taken within a round or two.
SHORT_ROOM_WAIT = dt.timedelta(seconds=1)
#: Time after an election in which no backlog is told: what runs is listed by then, and
#: tasks have waited under this leader.
MIN_TERM_AGE = dt.timedelta(seconds=5)
#: Longest delay that is told; estimates of clients may exceed the range of durations.
MAX_DELAY_S = 1e6
#: Share of the allowed delay down to which jobs go on being refused, so that refusing
#: and accepting don't alternate with each task that ends.
RESUME_SHARE = 0.8


@frozen
class WorkBacklog:
    """Accepted work of one priority that waits for room at an upstream.

    :param priority: Priority of its queues; 0 comes first.
    :param delay: How long it takes until it has room, and all that goes before: jobs
        that can't be in time any more let a new one pass.
    """

    upstream: str
    priority: int
    delay: dt.timedelta


@frozen
class RoomRefusal:
    """Why a job can't get room in time.

    :param delay: How long it would wait for room.
    :param allowed: How long it could wait and still have some value.
    """

    retry_after: dt.timedelta
    delay: dt.timedelta
    allowed: dt.timedelta


@define(eq=False)
class RoomGate:
    """Queues whose jobs are being refused at an entry.

    :param allowed: The delay that the latest refused job of a queue could have waited.
    """

    allowed: dict[str, dt.timedelta] = field(factory=dict)


def find_work_backlog(schedule: Schedule, now: dt.datetime) -> tuple[WorkBacklog, ...]:
    """Return the backlog of each upstream and priority that waits for room.

    Room comes free as fast as what runs there now is worked off. Work that no instance
    could ever take is left out.
    """
    if not schedule.is_settled or now - schedule.elected_at < MIN_TERM_AGE:
        return ()
    room = RoomSearch(schedule, now)
    waiting: collections.Counter[tuple[str, int]] = collections.Counter()
    short: dict[str, int] = {}
    for job in schedule.jobs.values():
        if job.is_ended or caller_cost.earns_while_it_runs(job.record.spec):
            continue
        upstream, priority = job.queue.upstream, job.queue.priority
        open_stages = [
            s for s in job.stages.values() if s.is_open and s.waiting_indexes
        ]
        if not all(room.could_take(job, stage) for stage in open_stages):
            continue
        factor = caller_cost.find_estimate_factor(schedule, job.queue.name)
        if caller_cost.find_urgency(job, now, factor) is Urgency.IN_TIME:
            work = caller_cost.waiting_work_core_s(job, factor)
            waiting[upstream, priority] += work
        if priority < short.get(upstream, priority + 1) and any(
            _has_waited(stage, now) and not room.has_any_for(job, stage)
            for stage in open_stages
        ):
            short[upstream] = priority
    backlog = []
    for upstream, least in sorted(short.items()):
        rate, total = _find_rate(schedule, upstream), 0.0
        for found, priority in sorted(waiting):
            if found == upstream and rate > 0:
                total += waiting[found, priority]
                if priority >= least:
                    delay = dt.timedelta(seconds=min(total / rate, MAX_DELAY_S))
                    backlog.append(WorkBacklog(upstream, priority, delay))
    return tuple(backlog)


@define(eq=False)
class RoomSearch:
    """Which needs instances could take, and have room for now."""

    schedule: Schedule
    now: dt.datetime
    _could_take: dict[t.Hashable, bool] = field(factory=dict)
    _has_room: dict[t.Hashable, bool] = field(factory=dict)

    def could_take(self, job: JobState, stage: StageState) -> bool:
        """Whether an instance could take a task of a stage if it was empty."""
        need = self._describe(job, stage)
        if need not in self._could_take:
            self._could_take[need] = any(
                stage.spec.demand.fits(state.instance.capacity)
                and placement.is_suitable(state, job, stage)
                and placement.accepts_runs(state, self.now)
                for state in self.schedule.instances.values()
            )
        return self._could_take[need]

    def has_any_for(self, job: JobState, stage: StageState) -> bool:
        """Whether an instance has room now, so that something else holds a task up.

        Gangs and stages with a limit per instance wait for more than room.
        """
        if stage.spec.is_gang or stage.spec.max_per_instance:
            return True
        need = self._describe(job, stage)
        if need not in self._has_room:
            self._has_room[need] = any(
                placement.is_usable(state, job, stage, self.now)
                for state in self.schedule.instances.values()
            )
        return self._has_room[need]

    def _describe(self, job: JobState, stage: StageState) -> t.Hashable:
        spec = stage.spec
        label, demand = spec.required_label, spec.demand
        return (job.queue.upstream, label, demand, spec.is_filler, spec.cpu)


def _find_rate(schedule: Schedule, upstream: str) -> float:
    """Return the work in core seconds that an upstream's instances do in a second."""
    return sum(
        run.stage.cpu / 1000 * run.pace_percent / 100
        for state in schedule.instances.values()
        if state.instance.upstream == upstream
        for run in state.runs.values()
        if run.phase is RunPhase.RUNNING and not run.stage.is_lasting
    )


def _has_waited(stage: StageState, now: dt.datetime) -> bool:
    since = (stage.tasks[index].waiting_since for index in stage.waiting_indexes)
    return any(at is not None and now - at >= SHORT_ROOM_WAIT for at in since)


def find_refusal(
    gate: RoomGate,
    backlog: t.Sequence[WorkBacklog],
    age: dt.timedelta,
    queue: Queue,
    spec: JobSpec,
) -> RoomRefusal | None:
    """Return why a new job is refused; ``None`` if it is accepted.

    While jobs of a queue are refused, so are others that can wait no longer than these,
    until the delay has fallen to :data:`RESUME_SHARE`. Updates ``gate``.

    :param age: Time since the backlog was reported.
    """
    delay = max(
        (
            row.delay
            for row in backlog
            if row.upstream == queue.upstream and row.priority <= queue.priority
        ),
        default=dt.timedelta(),
    )
    refused = gate.allowed.get(queue.name)
    if age > BACKLOG_LIFETIME or (
        refused is not None and delay <= refused * RESUME_SHARE
    ):
        gate.allowed.pop(queue.name, None)
        refused = None
    if age > BACKLOG_LIFETIME or not _has_deadline(queue, spec):
        return None
    allowed = find_allowed_delay(queue, spec)
    is_held = refused is not None and allowed <= refused
    if delay <= allowed and not is_held:
        return None
    gate.allowed[queue.name] = max(allowed, refused or allowed)
    excess = delay - allowed * RESUME_SHARE
    retry_after = min(max(excess, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return RoomRefusal(retry_after, delay, allowed)


def _has_deadline(queue: Queue, spec: JobSpec) -> bool:
    """Whether a job has an end by which it earns, and an objective is configured."""
    is_told = queue.target_ms > 0 and spec.critical_path_ms() > 0
    return is_told and not caller_cost.earns_while_it_runs(spec)


def find_allowed_delay(queue: Queue, spec: JobSpec) -> dt.timedelta:
    """Return how long a job can wait and still end with some value."""
    chain_ms = spec.critical_path_ms()
    spare_ms = LATE_FACTOR * caller_cost.find_objective_ms(queue, spec) - chain_ms
    # Estimates of clients may exceed the range of durations.
    return dt.timedelta(milliseconds=min(max(spare_ms, 0), 1e12))
