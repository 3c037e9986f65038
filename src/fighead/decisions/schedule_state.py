"""The scheduler's state: jobs, their runs, and the instances they run on."""

import collections
import datetime as dt
import enum
import typing as t

from attrs import define, field

from ..job import Demand, JobConfig, JobPhase, JobRecord, Queue, Stage, TaskKey
from ..log import Event
from ..run import Instance, PaceRun, StartRun, StopRun
from .interference import Interference

#: Run numbers that one term may give to a task.
RUNS_PER_TERM = 10_000

#: Lives of an instance that the fences of one term tell apart.
LIVES_PER_TERM = 1000

#: Ends of runs that are remembered of an instance.
ENDS_KEPT = 16

StageKey = tuple[int, int]


class RunPhase(enum.Enum):
    """How far a run has come, as far as the scheduler knows."""

    #: Its start was ordered and is not confirmed.
    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


@define(eq=False)
class RunState:
    """One run of a task.

    :param confirmed_at: When the instance last answered an order for it; a
        later listing that lacks the run proves that it is gone.
    :param progressed_at: When its percentage last rose.
    :param first_percent: Its percentage when it was first listed.
    :param pace: Share of full speed in percent that was last ordered.
    :param crawling_since: Since when its pace has been very low.
    :param late_since: Since when a serving task has missed its target.
    """

    key: TaskKey
    number: int
    instance_id: str
    phase: RunPhase
    ordered_at: dt.datetime
    stage: Stage
    confirmed_at: dt.datetime | None = None
    progressed_at: dt.datetime | None = None
    percent: int = 0
    usage: int = 0
    first_percent: int = 0
    first_at: dt.datetime | None = None
    pace: int = 100
    crawling_since: dt.datetime | None = None
    late_since: dt.datetime | None = None


@define(eq=False)
class TaskState:
    """One task: what is known of its runs.

    :param failures: Numbers of the runs that failed.
    :param last_number: Highest number of a run that was ever heard of.
    :param avoided: Instances on which a run of the task has failed.
    :param waiting_since: Since when it could start, but has no place.
    """

    key: TaskKey
    is_done: bool = False
    failures: set[int] = field(factory=set)
    checkpoint: str = ""
    last_number: int = 0
    runs: list[RunState] = field(factory=list)
    avoided: set[str] = field(factory=set)
    waiting_since: dt.datetime | None = None


@define(eq=False)
class StageState:
    """The tasks of a stage in one occurrence.

    :param is_open: Whether its tasks may start.
    :param by_instance: Runs of the stage by instance.
    """

    spec: Stage
    tasks: list[TaskState]
    waiting: set[int]
    done_count: int = 0
    is_open: bool = False
    by_instance: dict[str, int] = field(factory=dict)

    @property
    def is_done(self) -> bool:
        """Whether all its tasks are done."""
        return self.done_count == len(self.tasks)


@define(eq=False)
class JobState:
    """A job that has not ended for good.

    :param revision: Revision of its record in the store.
    :param progress_revision: Revision of its progress there; 0: none.
    :param accepted_at: When it was accepted, on this entry's clock.
    """

    record: JobRecord
    queue: Queue
    revision: int
    stages: dict[StageKey, StageState]
    progress_revision: int = 0
    phase: JobPhase = JobPhase.QUEUED
    reason: str = ""
    accepted_at: dt.datetime | None = None
    is_cancelled: bool = False
    #: Whether the end has been written.
    is_recorded: bool = False

    @property
    def job_id(self) -> str:
        """The client's id of the job."""
        return self.record.job_id

    @property
    def is_ended(self) -> bool:
        """Whether no further task of it may start."""
        return self.phase.is_final

    def task(self, key: TaskKey) -> TaskState | None:
        """Return the task called ``key``, if the job has such a task."""
        stage = self.stages.get((key.occurrence, key.stage))
        if stage is None or not 0 <= key.index < len(stage.tasks):
            return None
        return stage.tasks[key.index]

    def runs(self) -> t.Iterator[RunState]:
        """Iterate over all runs that may still be there."""
        for stage in self.stages.values():
            for task in stage.tasks:
                yield from task.runs


@define(frozen=True)
class EndNote:
    """How a run on an instance ended."""

    at: dt.datetime
    job_id: str
    is_done: bool


@define(eq=False)
class InstanceState:
    """One instance and what it runs.

    :param used: What its runs count against its capacity.
    :param fillers_cpu: Processor demand of the fillers on it.
    :param serving: Its runs that have a target.
    :param serving_cpu: Processor demand of the serving tasks on it.
    :param life: How often it has started anew in this term.
    :param is_listed: Whether its present life has been listed under this term.
    :param is_reachable: Whether its last call was answered.
    :param is_registered: Whether the store holds its registration.
    :param is_recorded: Whether it is written as one that may run something.
    :param leases_end_at: When everything on it has certainly ended unless it
        is heard from again.
    :param leaves_at: When it may be gone, if it is draining.
    :param sequence: Highest end that was taken in.
    :param ends: The last ends of runs, for the judgement of its health.
    :param suspect_until: Until when it is given no new runs, and why.
    """

    instance: Instance
    leases_end_at: dt.datetime
    used: Demand = Demand()
    fillers_cpu: int = 0
    serving_cpu: int = 0
    runs: dict[tuple[TaskKey, int], RunState] = field(factory=dict)
    serving: dict[tuple[TaskKey, int], RunState] = field(factory=dict)
    life: int = 0
    is_listed: bool = False
    is_reachable: bool = False
    is_registered: bool = True
    is_recorded: bool = False
    refused_until: dt.datetime | None = None
    leaves_at: dt.datetime | None = None
    sequence: int = 0
    ends: collections.deque[EndNote] = field(
        factory=lambda: collections.deque(maxlen=ENDS_KEPT)
    )
    suspect_until: dt.datetime | None = None
    suspicion: str = ""

    @property
    def room(self) -> Demand:
        """What is left of its capacity."""
        return self.instance.capacity - self.used

    @property
    def rack(self) -> str:
        """Label of its rack, the last of its labels."""
        return self.instance.labels[-1] if self.instance.labels else ""

    def add(self, run: RunState) -> None:
        """Count a run."""
        self.runs[run.key, run.number] = run
        if run.stage.target_ms:
            self.serving[run.key, run.number] = run
        self.used += run.stage.demand
        self._count_cpu(run.stage, 1)

    def remove(self, run: RunState) -> None:
        """Stop counting a run."""
        if self.runs.pop((run.key, run.number), None) is None:
            return
        self.serving.pop((run.key, run.number), None)
        self.used -= run.stage.demand
        self._count_cpu(run.stage, -1)

    def _count_cpu(self, stage: Stage, sign: int) -> None:
        if stage.is_filler:
            self.fillers_cpu += sign * stage.cpu
        elif stage.target_ms:
            self.serving_cpu += sign * stage.cpu


@define(eq=False)
class Schedule:
    """Everything that the scheduler of one term knows.

    :param term: Number of the term; run numbers of a later term are higher.
    :param fence: Sent with each order.
    :param certain_at: From when all living instances are registered.
    :param fleet: Instances that an earlier scheduler may have given runs; ``None``
        if that is not known.
    :param recorded: Instances that are written as such by this one.
    :param fresh_after: Revision of the store after which no accepted job can have
        runs of an earlier scheduler; ``None`` while there is none yet.
    :param dirty: Jobs whose progress or end is not written yet.
    :param endings: Jobs that ended in this term, by id.
    :param is_settled: Whether all instances have been listed or written off,
        so that no unknown run can exist.
    :param learned: How images disturb each other.
    """

    term: int
    fence: int
    elected_at: dt.datetime
    certain_at: dt.datetime | None = None
    fleet: frozenset[str] | None = None
    recorded: frozenset[str] = frozenset()
    fresh_after: int | None = None
    config: JobConfig = JobConfig()
    jobs: dict[str, JobState] = field(factory=dict)
    instances: dict[str, InstanceState] = field(factory=dict)
    dirty: set[str] = field(factory=set)
    endings: dict[str, JobPhase] = field(factory=dict)
    is_settled: bool = False
    learned: Interference = field(factory=Interference)
    #: Usual ratio of run time to its estimate, as a logarithm, by queue.
    usual_pace: dict[str, float] = field(factory=dict)
    #: When a serving task was last moved for the sake of fillers.
    regrouped_at: dt.datetime | None = None

    def fence_for(self, state: InstanceState) -> int:
        """Return what orders to an instance carry.

        A later life refuses what was meant for an earlier one, once it has seen
        an order of its own; a later term outdoes all lives of this one.
        """
        return self.fence * LIVES_PER_TERM + min(state.life, LIVES_PER_TERM - 1)

    def may_start(self, job: JobState) -> bool:
        """Whether no unknown run of a job can exist."""
        is_fresh = self.fresh_after is not None and job.revision > self.fresh_after
        return self.is_settled or is_fresh

    @property
    def first_number(self) -> int:
        """Lowest run number that this term gives."""
        return (self.term - 1) * RUNS_PER_TERM + 1


@define(frozen=True)
class Order:
    """An order to give to an instance."""

    instance_id: str
    order: StartRun | StopRun | PaceRun


@define(frozen=True)
class Note:
    """A decision to log."""

    event: Event
    fields: dict[str, t.Any]


Effect = Order | Note
