"""Jobs: graphs of stages, each of many tasks, apart from any encoding.

A job's stages run once, or once an occurrence if it repeats. A task is one
unit of a stage; a run is one start of a task on an instance.
"""

import enum
import math

from attrs import field, frozen

#: Thousandths of a core in one core.
MILLICORES = 1000


class JobPhase(enum.Enum):
    """What a client is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended."""
        return self not in (JobPhase.QUEUED, JobPhase.RUNNING)


@frozen
class Demand:
    """What a task takes of an instance, or what an instance holds.

    :param cpu: Thousandths of a core.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def __add__(self, other: "Demand") -> "Demand":
        return Demand(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: "Demand") -> "Demand":
        return Demand(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )

    def fits(self, room: "Demand") -> bool:
        """Whether this demand is met by ``room``."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.gpu <= room.gpu
        )


@frozen
class Stage:
    """Like tasks that start once all tasks of earlier stages are done.

    :param estimate_ms: Rough run time of a task, as the client declared it.
    :param after: Numbers of the stages that come before.
    :param is_checkpointed: Whether a run can resume from a checkpoint.
    :param is_gang: Whether the tasks work only while all are present.
    :param same_rack: Whether the tasks slow down when spread over racks.
    :param required_label: Label that the instance must have.
    :param preferred_rack: Rack on which the task runs at full speed.
    :param max_per_instance: Most tasks of the stage on one instance; 0: any.
    :param allows_copies: Whether copies of a task may run at the same time.
    :param is_lasting: Whether tasks run until the job is cancelled.
    :param image: Name of what runs; tasks of one image behave alike.
    :param target_ms: Bound on the tail latency of a task that serves; 0: none.
    :param is_filler: Whether the processor demand is met from unused capacity.
    :param max_unavailable: Tasks that may be away at once by our own doing.
    """

    count: int = 1
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_checkpointed: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_instance: int = 0
    allows_copies: bool = False
    is_lasting: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    max_unavailable: int = 0

    @property
    def demand(self) -> Demand:
        """What a task counts against the capacity of its instance."""
        return Demand(0 if self.is_filler else self.cpu, self.memory_mb, self.gpu)


@frozen
class JobSpec:
    """What a client submitted.

    :param payload: Opaque text that every run is given.
    :param first_due_ms: Unix time of the first occurrence.
    :param occurrences: How often the stages run; 0 means once, at once.
    """

    payload: str = ""
    stages: tuple[Stage, ...] = ()
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence may start."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def chain_ms(self) -> int:
        """Return the estimated time of the longest chain of stages."""
        ends: list[int] = []
        for stage in self.stages:
            begin = max((ends[n] for n in stage.after), default=0)
            ends.append(begin + stage.estimate_ms)
        return max(ends, default=0)


@frozen
class JobRecord:
    """A job as it was accepted.

    :param accepted_ms: Unix time of the acceptance, by the entry's clock.
    """

    job_id: str
    queue: str
    upstream: str
    spec: JobSpec
    accepted_ms: int = 0


@frozen(order=True, cache_hash=True)
class TaskKey:
    """Names one task of a job."""

    job_id: str
    occurrence: int
    stage: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.stage}.{self.index}"


@frozen
class StageProgress:
    """What is durable of one stage of one occurrence.

    :param done: Bit set of the tasks that are done, as a hexadecimal number.
    :param failures: Numbers of the failed runs by task. An end that is listed
        again after a takeover so counts once.
    :param checkpoints: Latest checkpoint by task, where that task has failed.
    """

    occurrence: int
    stage: int
    done: str = "0"
    failures: dict[int, tuple[int, ...]] = field(factory=dict)
    checkpoints: dict[int, str] = field(factory=dict)


@frozen
class JobProgress:
    """What is durable of a job that has not ended."""

    stages: tuple[StageProgress, ...] = ()


@frozen
class JobEnding:
    """What remains of a job that has ended."""

    phase: JobPhase
    queue: str
    ended_ms: int
    reason: str = ""


@frozen
class Queue:
    """Rules of one queue, as the operator configured them.

    :param priority: 0 comes first and may preempt others.
    :param max_attempts: Failed runs of a task after which its job has failed.
    :param slack_factor: The objective is this many times the longest chain.
    :param target_ms: Added to the objective.
    :param advice_ms: Time that advice is valid for; 0 if none is needed.
    """

    name: str
    host: str
    prefix: str
    upstream: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    advice_ms: int = 0

    def objective_ms(self, spec: JobSpec) -> int:
        """Return the time after which a job counts as late."""
        return math.ceil(self.slack_factor * spec.chain_ms()) + self.target_ms


@frozen
class JobConfig:
    """The operator's configuration, as far as jobs need it.

    :param max_body_bytes: Largest body that is accepted from a client.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    upstreams: tuple[str, ...] = ()
    max_body_bytes: int = 256 * 1024

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue called ``name``."""
        return next((q for q in self.queues if q.name == name), None)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue for a request: same host, longest matching prefix."""
        name = host.partition(":")[0].lower()
        matching = (
            q
            for q in self.queues
            if q.host.lower() == name and path.startswith(q.prefix)
        )
        return max(matching, key=lambda q: len(q.prefix), default=None)
