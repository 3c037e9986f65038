"""State of the job scheduler: jobs, their runs and the instances they run on."""

import collections
import datetime as dt
import enum
import functools
import typing as t

from attrs import Factory, define, field, frozen

from ..job import Demand, JobConfig, JobPhase, JobRecord, Queue, Stage, TaskKey
from ..log import Event
from ..run import PaceRun, RegisteredInstance, StartRun, StopRun
from .evacuated_zones import Evacuations
from .interference import Interference, StageId
from .lost_calls import LostCalls
from .start_window import StartWindow

#: Run numbers reserved for each term, per task.
RUNS_PER_TERM = 10_000

#: Incarnations of an instance that get a fence of their own within one term. The
#: fence of an order is the term's fence times this number, plus the restart count.
INCARNATIONS_PER_TERM = 1000

#: Number of most recent run ends kept per instance.
MAX_RECENT_ENDS = 16

#: Occurrence and stage number.
StageKey = tuple[int, int]


class RunPhase(enum.Enum):
    """Phase of a run as last seen by the scheduler."""

    #: The start was ordered but not yet confirmed.
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@define(eq=False)
class RunState:
    """One run of a task.

    :param confirmed_at: When the instance last confirmed an order for the run, or
        first listed it. If a listing requested after this time lacks the run, the
        run has ended.
    :param late_until: Until when its start, should it arrive late, can keep it running
        at a later incarnation; ``None`` if it can't arrive late.
    :param may_start_late: Whether an attempt to start it got no answer so far.
    :param waiting_since: Since when its task had been waiting when the start was
        ordered.
    :param progressed_at: When the run was started or ``percent`` last increased.
    :param percent: Completed share of the work.
    :param usage: Tail latency in ms for a serving task, otherwise millicores.
    :param first_listed_percent: ``percent`` in the first listing of the run.
    :param first_listed_at: When the run was first listed.
    :param pace_percent: Last ordered share of full speed, in percent.
    :param is_pace_known: Whether no earlier scheduler can have ordered another pace.
    :param low_pace_since: Since when the pace has been low enough to move the run.
    :param over_target_since: Since when a serving task has exceeded its target latency.
    """

    key: TaskKey
    number: int
    instance_id: str
    phase: RunPhase
    ordered_at: dt.datetime
    stage: Stage
    confirmed_at: dt.datetime | None = None
    late_until: dt.datetime | None = None
    may_start_late: bool = True
    waiting_since: dt.datetime | None = None
    progressed_at: dt.datetime | None = None
    percent: int = 0
    usage: int = 0
    first_listed_percent: int = 0
    first_listed_at: dt.datetime | None = None
    pace_percent: int = 100
    is_pace_known: bool = True
    low_pace_since: dt.datetime | None = None
    over_target_since: dt.datetime | None = None

    @functools.cached_property
    def stage_id(self) -> StageId:
        """ID of the run's stage: job ID, occurrence and stage number."""
        return (self.key.job_id, self.key.occurrence, self.key.stage)


@define(eq=False)
class TaskState:
    """A task and the runs that may still exist.

    :param failures: Numbers of the runs that failed.
    :param highest_run_number: Highest known run number of the task.
    :param avoided_instances: Instances on which a run of the task has failed.
    :param waiting_since: Since when the task has been ready to start but not placed.
    :param is_accounted: Whether the scheduler has seen a run of it or started one, so
        that no earlier scheduler can have started another.
    """

    key: TaskKey
    is_done: bool = False
    failures: set[int] = field(factory=set)
    checkpoint: str = ""
    highest_run_number: int = 0
    runs: list[RunState] = field(factory=list)
    avoided_instances: set[str] = field(factory=set)
    waiting_since: dt.datetime | None = None
    is_accounted: bool = False


@define(eq=False)
class StageState:
    """The tasks of a stage in one occurrence of its job.

    :param waiting_indexes: Indexes of the tasks that need a run; cleared when the
        job ends.
    :param is_open: Whether the stages that it depends on are done.
    :param runs_by_instance: Number of runs of the stage, by instance ID.
    """

    spec: Stage
    tasks: list[TaskState]
    waiting_indexes: set[int]
    done_count: int = 0
    is_open: bool = False
    runs_by_instance: dict[str, int] = field(factory=dict)

    @property
    def is_done(self) -> bool:
        """Whether all tasks of the stage are done."""
        return self.done_count == len(self.tasks)


@define(eq=False)
class JobState:
    """A job that still has runs or whose end is not yet stored.

    :param revision: Store revision of the job record.
    :param progress_revision: Store revision of the progress record; 0 if there is
        none.
    :param reason: Why the job ended.
    :param accepted_at: When the job was accepted, by this entry's clock.
    :param taken_at: When it was added to the schedule.
    :param is_end_stored: Whether the end of the job has been stored.
    """

    record: JobRecord
    queue: Queue
    revision: int
    stages: dict[StageKey, StageState]
    progress_revision: int = 0
    phase: JobPhase = JobPhase.QUEUED
    reason: str = ""
    accepted_at: dt.datetime | None = None
    taken_at: dt.datetime | None = None
    is_cancelled: bool = False
    is_end_stored: bool = False

    @property
    def job_id(self) -> str:
        """The job ID chosen by the client."""
        return self.record.job_id

    @property
    def is_ended(self) -> bool:
        """Whether the phase is final, so that no further task may start."""
        return self.phase.is_final

    def task(self, key: TaskKey) -> TaskState | None:
        """Return the task with the given key, or ``None`` if there is none."""
        stage = self.stages.get((key.occurrence, key.stage))
        if stage is None or not 0 <= key.index < len(stage.tasks):
            return None
        return stage.tasks[key.index]

    def count_waiting_tasks(self) -> int:
        """Return the number of tasks that could run and have no run."""
        return sum(
            len(stage.waiting_indexes)
            for stage in self.stages.values()
            if stage.is_open
        )

    def runs(self) -> t.Iterator[RunState]:
        """Iterate over all runs that may still exist on an instance."""
        for stage in self.stages.values():
            for task in stage.tasks:
                yield from task.runs


@define(frozen=True)
class RecentEnd:
    """Outcome of a run, kept to judge the health of its instance."""

    at: dt.datetime
    job_id: str
    is_done: bool


@define(eq=False)
class InstanceState:
    """An instance and its runs.

    :param leases_end_at: When every run on the instance has ended if its leases
        are not extended.
    :param used: Total demand of its runs; fillers demand no processors.
    :param filler_cpu_millicores: CPU that its fillers ask for in total, in millicores.
    :param serving_cpu_millicores: Total CPU demand of its serving tasks, in millicores.
    :param serving: The runs that have a target latency.
    :param unwanted: Runs in the latest listing that the schedule lacks, with the time
        at which their stop was last ordered. What they hold is not known.
    :param restart_count: Number of restarts of the instance in this term. One that was
        removed and registers again may have restarted, so it counts as restarted.
    :param replaced_incarnations: Its earlier incarnations, as far as they are known.
    :param is_listed: Whether the current incarnation has listed all its runs and ends
        in this term.
    :param was_listed: Whether it was listed in this term before another instance took
        its address, so that it has no unknown run.
    :param is_reachable: Whether the last call to the instance was answered.
    :param listed_at: When its latest listing was requested; ``None`` before the first.
    :param was_reached: Whether a call has been answered in this term.
    :param silent_since: Since when no call has been answered; ``None`` if the last was.
    :param is_registered: Whether the store holds the registration of its current
        incarnation.
    :param is_in_stored_fleet: Whether the stored fleet includes the instance.
    :param start_backoff_until: Until when no run is placed on the instance because it
        refused a start.
    :param is_evacuated: Whether the operator has evacuated its availability zone.
    :param cold_until: Until when it runs slowly after its start, as it has registered.
    :param drain_deadline: When a draining instance may shut down.
    :param last_end_sequence: Highest sequence number of the run ends processed so far.
    :param stored_end_sequence: The same for ends whose effects are stored.
    :param recent_ends: The most recent run ends, to judge the health of the instance.
    :param late_starts: Until when a start that got no answer, should it arrive late,
        can keep a task running at an incarnation not yet listed, by task and number of
        the run.
    :param lost_calls: When calls got no answer, until later ones are answered.
    :param suspect_until: Until when no run is placed on the instance because it
        looks unhealthy.
    :param suspect_reason: Why the instance looks unhealthy; empty if it does not.
    """

    instance: RegisteredInstance
    leases_end_at: dt.datetime
    used: Demand = Demand()
    filler_cpu_millicores: int = 0
    serving_cpu_millicores: int = 0
    runs: dict[tuple[TaskKey, int], RunState] = field(factory=dict)
    serving: dict[tuple[TaskKey, int], RunState] = field(factory=dict)
    unwanted: dict[tuple[TaskKey, int], dt.datetime] = field(factory=dict)
    restart_count: int = 0
    replaced_incarnations: set[str] = field(factory=set)
    is_listed: bool = False
    was_listed: bool = False
    listed_at: dt.datetime | None = None
    is_reachable: bool = False
    was_reached: bool = False
    silent_since: dt.datetime | None = None
    is_registered: bool = True
    is_in_stored_fleet: bool = False
    start_backoff_until: dt.datetime | None = None
    is_evacuated: bool = False
    cold_until: dt.datetime | None = None
    drain_deadline: dt.datetime | None = None
    last_end_sequence: int = 0
    stored_end_sequence: int = 0
    recent_ends: collections.deque[RecentEnd] = field(
        factory=lambda: collections.deque(maxlen=MAX_RECENT_ENDS)
    )
    late_starts: dict[TaskKey, dict[int, dt.datetime]] = field(factory=dict)
    lost_calls: LostCalls = field(factory=LostCalls)
    suspect_until: dt.datetime | None = None
    suspect_reason: str = ""

    @property
    def free_capacity(self) -> Demand:
        """The capacity not used by runs."""
        return self.instance.capacity - self.used

    def has_room_for(self, demand: Demand) -> bool:
        """Whether the free capacity covers a demand in every resource."""
        used, capacity = self.used, self.instance.capacity
        return (
            demand.cpu <= capacity.cpu - used.cpu
            and demand.memory_mb <= capacity.memory_mb - used.memory_mb
            and demand.gpu <= capacity.gpu - used.gpu
        )

    @property
    def rack(self) -> str:
        """The rack, which is the last label, or an empty string without labels."""
        return self.instance.labels[-1] if self.instance.labels else ""

    def add(self, run: RunState) -> None:
        """Add a run and its demand."""
        self.runs[run.key, run.number] = run
        if run.stage.target_ms:
            self.serving[run.key, run.number] = run
        self.used += run.stage.demand
        self._count_cpu(run.stage, 1)

    def remove(self, run: RunState) -> None:
        """Remove a run and its demand; does nothing for an unknown run."""
        if self.runs.pop((run.key, run.number), None) is None:
            return
        self.serving.pop((run.key, run.number), None)
        self.used -= run.stage.demand
        self._count_cpu(run.stage, -1)

    def _count_cpu(self, stage: Stage, sign: int) -> None:
        if stage.is_filler:
            self.filler_cpu_millicores += sign * stage.cpu
        elif stage.target_ms:
            self.serving_cpu_millicores += sign * stage.cpu


@frozen
class InheritedRuns:
    """The runs that the scheduler before may have left on an instance.

    :param tasks: The tasks of which it may have left one.
    :param jobs: IDs of the jobs of which it may list ends that are not stored.
    """

    tasks: frozenset[TaskKey] = frozenset()
    jobs: frozenset[str] = frozenset()

    def may_include(self, key: TaskKey) -> bool:
        """Whether a run of a task, or a missing end of one, may be among them."""
        return key in self.tasks or key.job_id in self.jobs


@define(eq=False)
class Schedule:
    """The state of the scheduler in one term.

    :param term: Number of the term. Run numbers grow with the term.
    :param fence: Fence of the term, from which the fence of each order is derived.
    :param latest_term: Number of the latest term of this scheduler, which is re-elected
        without an interruption.
    :param sole_at: Latest time at which no other scheduler had been elected since, as
        far as the store has confirmed it; ``None`` before it has.
    :param lost_calls: When calls got no answer from instances that have answered later
        ones.
    :param predecessors_end: When no earlier scheduler acts any more; ``None`` if that
        is not yet known.
    :param inherited_fleet: Instances to which an earlier scheduler may have assigned
        runs; ``None`` if unknown.
    :param inherited_runs: Runs that the scheduler before may have left, by instance ID.
        An instance that is left out may have any.
    :param inherited_bounds: When all leases of earlier schedulers on an instance have
        ended, by its ID, if the one before has left that.
    :param is_handed_over: Whether the scheduler before has stopped, and all before it.
    :param unknown_runs: All runs of earlier schedulers that are not known and may
        exist; ``None`` if any may.
    :param stored_bounds: Ends of leases that the store may hold, to which the scheduler
        keeps, by instance ID.
    :param stored_fleet: Instances that the stored fleet record certainly includes.
    :param no_inherited_runs_after: A job with a higher store revision cannot have
        runs from an earlier scheduler; ``None`` if that revision is not yet known.
    :param restart_counts: Restart counts that removed instances continue with, by
        instance ID.
    :param unsaved_jobs: IDs of jobs whose progress or end has yet to be stored.
    :param ended_phases: Final phases of jobs that ended in this term, by job ID.
    :param is_settled: Whether each inherited instance has been listed or its leases
        have expired, so that no unknown run can exist.
    :param interference: Learned interference between images.
    :param log_duration_ratios: Typical natural logarithm of actual to estimated run
        time, by queue.
    :param wall_offset: By how much the time of day is ahead of the entry's clock.
    :param start_window: The starts without an answer, and their limit.
    :param evacuations: The evacuated availability zones.
    :param evacuated_since: Since when each of them is known to be evacuated.
    :param evacuation_move_at: When a move out of an evacuated zone was last looked for.
    :param regroup_attempted_at: When regrouping last looked for a serving task to move
        for a waiting filler, whether or not it found one.
    """

    term: int
    fence: int
    elected_at: dt.datetime
    latest_term: int = Factory(lambda self: self.term, takes_self=True)
    sole_at: dt.datetime | None = None
    lost_calls: LostCalls = field(factory=LostCalls)
    predecessors_end: dt.datetime | None = None
    inherited_fleet: frozenset[str] | None = None
    inherited_runs: dict[str, InheritedRuns] = field(factory=dict)
    inherited_bounds: dict[str, dt.datetime] = field(factory=dict)
    is_handed_over: bool = False
    unknown_runs: InheritedRuns | None = None
    stored_bounds: dict[str, dt.datetime] = field(factory=dict)
    stored_fleet: frozenset[str] = frozenset()
    no_inherited_runs_after: int | None = None
    config: JobConfig = JobConfig()
    jobs: dict[str, JobState] = field(factory=dict)
    instances: dict[str, InstanceState] = field(factory=dict)
    restart_counts: dict[str, int] = field(factory=dict)
    unsaved_jobs: set[str] = field(factory=set)
    ended_phases: dict[str, JobPhase] = field(factory=dict)
    is_settled: bool = False
    interference: Interference = field(factory=Interference)
    log_duration_ratios: dict[str, float] = field(factory=dict)
    wall_offset: dt.timedelta = dt.timedelta()
    evacuations: Evacuations = Evacuations()
    evacuated_since: dict[str, dt.datetime] = field(factory=dict)
    evacuation_move_at: dt.datetime | None = None
    regroup_attempted_at: dt.datetime | None = None
    start_window: StartWindow = field(factory=StartWindow)

    def fence_for(self, state: InstanceState) -> int:
        """Return the fence to send with orders to an instance.

        It increases with each restart, so that an incarnation that has received an
        order refuses orders meant for an earlier one. Any fence of a later term is
        higher than all of this term.
        """
        return self.fence * INCARNATIONS_PER_TERM + min(
            state.restart_count, INCARNATIONS_PER_TERM - 1
        )

    def wall_time(self, now: dt.datetime) -> dt.datetime:
        """Return the time of day at ``now``, for due times and stamps."""
        return now + self.wall_offset

    def ms_since_election(self, now: dt.datetime) -> int:
        """Return the milliseconds since the start of the term."""
        return int((now - self.elected_at).total_seconds() * 1000)

    def may_start(self, job: JobState) -> bool:
        """Whether runs may start because the job can have no unknown runs."""
        if self.leaves_to_later(job):
            return False
        is_new = (
            self.no_inherited_runs_after is not None
            and job.revision > self.no_inherited_runs_after
        )
        return self.is_settled or is_new or job.record.leader_term >= self.term

    def leaves_to_later(self, job: JobState) -> bool:
        """Whether a job is left to the later scheduler under which it was accepted."""
        return job.record.leader_term > self.latest_term and not self._was_sole_after(
            job.taken_at
        )

    def find_startable(self, job: JobState, stage: StageState) -> t.Collection[int]:
        """Return the indexes of the waiting tasks that can have no unknown run."""
        if self.may_start(job):
            return stage.waiting_indexes
        if self.leaves_to_later(job):
            return ()
        return [
            index
            for index in stage.waiting_indexes
            if self._has_no_unknown_run(stage, stage.tasks[index])
        ]

    def _has_no_unknown_run(self, stage: StageState, task: TaskState) -> bool:
        if self.unknown_runs is not None and not self.unknown_runs.may_include(
            task.key
        ):
            return True
        # An unknown run may have failed, which counts as an attempt.
        return task.is_accounted and (stage.spec.is_lasting or not task.failures)

    def _was_sole_after(self, at: dt.datetime | None) -> bool:
        return at is not None and self.sole_at is not None and self.sole_at > at

    @property
    def first_run_number(self) -> int:
        """The lowest run number of this term."""
        return (self.term - 1) * RUNS_PER_TERM + 1


@define(frozen=True)
class Order:
    """An order to send to an instance."""

    instance_id: str
    order: StartRun | StopRun | PaceRun


@define(frozen=True)
class LogNote:
    """An event to log, with its fields."""

    event: Event
    fields: dict[str, t.Any]


Effect = Order | LogNote
