"""Jobs as graphs of stages of tasks, independent of their encoding.

The stages of a job run once, or once per occurrence if it repeats. A task is one
unit of a stage; a run is one start of a task on an instance.
"""

import enum
import functools
import math
import re

from attrs import field, frozen
from attrs.validators import matches_re

#: Thousandths of a core in one core.
MILLICORES_PER_CORE = 1000

#: Most tasks of a job, with all occurrences: the scheduler keeps a state of each.
MAX_TASKS_PER_JOB = 10_000
#: Largest demand, limit, time or duration; as Unix time in ms it is the year 5138.
MAX_QUANTITY = 10**14
#: ID of a job: the names of its tasks are parted by dots.
_JOB_ID = re.compile(r"[0-9A-Za-z_-]{1,64}")


class JobPhase(enum.Enum):
    """Phase of a job, as reported to clients."""

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
    """Resources that a task needs or an instance provides.

    :param cpu: Thousandths of a processor core.
    :param gpu: Number of GPUs.
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

    def fits(self, available: "Demand") -> bool:
        """Whether ``available`` covers this demand in every resource."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.gpu <= available.gpu
        )


@frozen
class Stage:
    """Identical tasks that start once all tasks of the preceding stages are done.

    :param count: Number of tasks.
    :param cpu: Processor demand of a task, in thousandths of a core.
    :param gpu: Number of GPUs that a task needs.
    :param estimate_ms: Approximate run time of a task, declared by the client.
    :param after: Indexes of the preceding stages within the job.
    :param is_checkpointed: Whether a run can resume from a checkpoint.
    :param is_gang: Whether the tasks make progress only while all are running.
    :param same_rack: Whether the tasks slow down if spread over several racks.
    :param required_label: Label that an instance must have; empty if none.
    :param preferred_rack: Rack on which a task runs at full speed; empty if any.
    :param max_per_instance: Maximum number of tasks on one instance; 0 for no
        limit.
    :param allows_copies: Whether several runs of a task may be active at once.
    :param is_lasting: Whether tasks run until the job is cancelled.
    :param image: Name of the program; tasks of one image perform alike.
    :param target_ms: Limit on the tail latency of a serving task; 0 for none.
    :param is_filler: Whether tasks use only spare processor capacity.
    :param max_unavailable: Maximum number of tasks that the scheduler itself may
        make unavailable at once.
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

    @functools.cached_property
    def demand(self) -> Demand:
        """Capacity that a task reserves on its instance; no processor for a filler."""
        return Demand(0 if self.is_filler else self.cpu, self.memory_mb, self.gpu)


@frozen
class JobSpec:
    """The part of a job that its client submitted.

    :param payload: Opaque text that is passed to every run.
    :param first_due_ms: Unix time of the first occurrence.
    :param interval_ms: Time from one occurrence to the next.
    :param occurrences: Number of occurrences; 0 for a job that runs once,
        immediately.
    """

    payload: str = ""
    stages: tuple[Stage, ...] = ()
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time at which an occurrence is due; 0 for immediately."""
        if not self.occurrences:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms

    def count_tasks(self) -> int:
        """Return the number of tasks of all occurrences."""
        return max(1, self.occurrences) * sum(stage.count for stage in self.stages)

    def critical_path_ms(self) -> int:
        """Return the estimated run time of the critical path through the stages."""
        ends: list[int] = []
        for stage in self.stages:
            begin = max((ends[n] for n in stage.after), default=0)
            ends.append(begin + stage.estimate_ms)
        return max(ends, default=0)


def find_excess(spec: JobSpec) -> str:
    """Return what of a job exceeds the limits; an empty string if nothing does.

    >>> find_excess(JobSpec(stages=(Stage(count=4),), occurrences=5000))
    'it has 20000 tasks, at most 10000 are allowed'
    """
    tasks = spec.count_tasks()
    if tasks > MAX_TASKS_PER_JOB:
        return f"it has {tasks} tasks, at most {MAX_TASKS_PER_JOB} are allowed"
    numbers = [spec.first_due_ms, spec.interval_ms]
    for position, stage in enumerate(spec.stages):
        if not all(0 <= earlier < position for earlier in stage.after):
            return f"stage {position} waits for one that isn't before it"
        numbers.append(stage.count)
        numbers += [stage.cpu, stage.memory_mb, stage.gpu, stage.estimate_ms]
        numbers += [stage.max_per_instance, stage.target_ms, stage.max_unavailable]
    if not all(0 <= number <= MAX_QUANTITY for number in numbers):
        return f"a number is outside of 0 to {MAX_QUANTITY}"
    return ""


@frozen
class Queue:
    """The operator's configuration of one queue.

    :param host: Host name of the requests that the queue accepts.
    :param prefix: Prefix of the paths that the queue accepts.
    :param priority: 0 is the highest and may preempt the others.
    :param max_attempts: Number of failed runs of a task at which its job fails.
    :param slack_factor: Multiple of the critical path in the objective.
    :param target_ms: Constant part of the objective.
    :param advice_ms: How long advice remains valid; 0 if none is needed.
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
        """Return the duration after which a job counts as late."""
        return math.ceil(self.slack_factor * spec.critical_path_ms()) + self.target_ms


@frozen
class JobRecord:
    """A job as it is stored on acceptance.

    :param accepted_ms: Unix time of the acceptance by the accepting entry's clock.
    :param queue_settings: The queue as it was configured then; ``None`` in records of
        earlier versions.
    :param config_version: Version of the configuration that had this queue.
    :param leader_term: Term of the leader that the accepting entry followed; 0 if it
        knew of none, and in records of earlier versions.
    """

    job_id: str
    queue: str
    upstream: str
    spec: JobSpec
    accepted_ms: int = 0
    queue_settings: Queue | None = None
    config_version: int = 0
    leader_term: int = 0


def find_fault(record: JobRecord, job_id: str) -> str:
    """Return what makes a stored job unusable; an empty string if nothing does.

    :param job_id: ID under which it is stored.
    """
    if record.job_id != job_id or not _JOB_ID.fullmatch(job_id):
        return "its ID isn't that of its key"
    if not 0 <= record.accepted_ms <= MAX_QUANTITY:
        return f"its acceptance is outside of 0 to {MAX_QUANTITY}"
    if record.leader_term < 0:
        return "its leader's term is negative"
    queue = record.queue_settings
    numbers = [record.config_version]
    if queue is not None:
        numbers += [queue.priority, queue.max_attempts, queue.slack_factor]
        numbers += [queue.target_ms, queue.advice_ms]
    if not all(0 <= number <= MAX_QUANTITY for number in numbers):
        return f"a number of its queue is outside of 0 to {MAX_QUANTITY}"
    return find_excess(record.spec)


@frozen(order=True, cache_hash=True)
class TaskKey:
    """Identifies one task of a job.

    :param stage: Index of the stage.
    :param index: Index of the task within its stage.
    """

    job_id: str
    occurrence: int
    stage: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.stage}.{self.index}"


def parse_task_key(text: str) -> TaskKey:
    """Return the key that ``str`` has turned into ``text``.

    :raises ValueError: If it is no such text.

    >>> parse_task_key("5c0e.0.1.17")
    TaskKey(job_id='5c0e', occurrence=0, stage=1, index=17)
    """
    job_id, *numbers = text.split(".")
    occurrence, stage, index = map(int, numbers)
    return TaskKey(job_id, occurrence, stage, index)


@frozen
class StageProgress:
    """Stored progress of one stage of one occurrence.

    :param done: Bit set of the tasks that are done, as a hexadecimal number.
    :param failures: Numbers of the failed runs, by index of the task, so that an
        end that is listed again to a new scheduler is counted once.
    :param checkpoints: Latest checkpoint of each task that has failed, by its
        index.
    """

    occurrence: int
    stage: int
    done: str = field(default="0", validator=matches_re("[0-9a-f]+"))
    failures: dict[int, tuple[int, ...]] = field(factory=dict)
    checkpoints: dict[int, str] = field(factory=dict)


@frozen
class JobProgress:
    """Stored progress of a job that has not ended.

    :param is_started: Whether a run of the job had started when it was stored; earlier
        versions don't tell.
    """

    stages: tuple[StageProgress, ...] = ()
    is_started: bool = False

    @property
    def has_started(self) -> bool:
        """Whether a run of the job is known to have started."""
        return self.is_started or bool(self.stages)


@frozen
class JobEnding:
    """Stored outcome of a job that has ended.

    :param ended_ms: Unix time of the end.
    :param is_known: Whether a client has submitted the job. Otherwise it was cancelled
        only, and the ending prevents a write of the job that is under way.
    """

    phase: JobPhase
    queue: str
    ended_ms: int
    reason: str = ""
    is_known: bool = True


@frozen
class JobConfig:
    """The operator's configuration of queues, with its version.

    :param upstreams: Names of the configured upstreams.
    :param max_body_bytes: Largest request body that is accepted from a client.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    upstreams: tuple[str, ...] = ()
    max_body_bytes: int = 256 * 1024

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue called ``name``, or ``None``."""
        return next((q for q in self.queues if q.name == name), None)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the host and the longest matching path prefix.

        ``None`` if there is none. A port in ``host`` is ignored.
        """
        name = host.partition(":")[0].lower()
        matching = (
            q
            for q in self.queues
            if q.host.lower() == name and path.startswith(q.prefix)
        )
        return max(matching, key=lambda q: len(q.prefix), default=None)
