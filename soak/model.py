"""What a soak consists of: its faults, and what clients and instances saw."""

import enum

from attrs import define, field, frozen


class Kind(enum.Enum):
    """Kinds of faults, by what they are done to."""

    STORE_BUSY = "store is busy"
    STORE_SILENT = "store resets every call"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_FORGETS = "store forgets its history"
    STORE_LINK_SILENT = "link of an entry to the store is silent"
    STORE_LINK_ONE_WAY = "link of an entry to the store passes no answers"
    STORE_LINK_RESET = "link of an entry to the store is reset"
    STORE_LINK_SLOW = "link of an entry to the store is slow"
    INSTANCE_LINK_SILENT = "link to an instance is silent"
    INSTANCE_LINK_ONE_WAY = "link to an instance passes no answers"
    INSTANCE_LINK_RESET = "link to an instance is reset"
    INSTANCE_LINK_SLOW = "link to an instance is slow"
    INSTANCE_STORE_LINK_SILENT = "link of an instance to the store is silent"
    INSTANCE_STORE_LINK_RESET = "link of an instance to the store is reset"
    INSTANCE_PAUSED = "instance is paused"
    INSTANCE_KILLED = "instance is killed and started again"
    ENTRY_PAUSED = "entry is paused"
    ENTRY_KILLED = "entry is killed and started again"
    ENTRY_STOPPED = "entry is stopped and started again"
    LEADER_PAUSED = "leader is paused"
    LEADER_KILLED = "leader is killed and started again"
    LEADER_STOPPED = "leader is stopped and started again"
    ALL_KILLED = "all entries are killed and started again"
    ENTRY_ROLLED = "entry is stopped in a series of planned stops"


@frozen
class Fault:
    """One fault.

    :param target: Number of the entry or instance, from 0.
    :param at_s: When it begins, in seconds of the load.
    :param for_s: How long it lasts.
    """

    kind: Kind
    target: int
    at_s: float
    for_s: float


@frozen
class Crowd:
    """Clients that hold unfinished requests and idle connections at an entry.

    :param target: Number of the entry, from 0.
    :param at_s: When it begins, in seconds of the load.
    :param for_s: How long it lasts.
    """

    target: int
    at_s: float
    for_s: float


@frozen
class Step:
    """A step of a job, as in the platform's submissions."""

    count: int
    cpu: int
    after: tuple[int, ...] = ()
    lasts: bool = False


@define
class JobSeen:
    """What clients saw of a job.

    :param run_ms: Run time of its tasks, which is its payload.
    :param sent_s: Unix time of the first request.
    :param statuses: Answers to the submissions; 0 for none.
    :param cancelled_s: Unix time at which a cancellation was acknowledged.
    :param is_cancel_sent: Whether a cancellation was sent.
    :param final_state: State shown at the end; empty if no entry told it.
    :param is_submitting: Whether a client still submits it, or may send a copy.
    """

    job_id: str
    steps: tuple[Step, ...]
    run_ms: int
    sent_s: float
    statuses: list[int] = field(factory=list)
    cancelled_s: float | None = None
    is_cancel_sent: bool = False
    final_state: str = ""
    is_submitting: bool = False

    @property
    def is_accepted(self) -> bool:
        """Whether a submission was answered with success."""
        return any(200 <= status < 300 for status in self.statuses)

    @property
    def is_refused(self) -> bool:
        """Whether all submissions were answered as not accepted."""
        return bool(self.statuses) and all(s in (429, 503) for s in self.statuses)

    @property
    def lasts(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return any(step.lasts for step in self.steps)


@frozen(order=True)
class RunSeen:
    """An event of a run at an instance.

    :param at_s: Unix time.
    :param task: Written as job.occurrence.step.index.
    """

    at_s: float
    event: str
    instance: str
    task: str
    run: int

    @property
    def job_id(self) -> str:
        """ID of the task's job."""
        return self.task.split(".")[0]


@frozen
class Exchange:
    """A request that was sent whole on an open connection, and its end.

    :param sent_s: Unix time of its last byte.
    :param ended_s: Unix time of its complete answer, or of the end of its connection.
    :param status: Status of its complete answer; 0 for none.
    """

    entry: str
    method: str
    path: str
    sent_s: float
    ended_s: float
    status: int


@frozen
class Stall:
    """A time in which the soak was held up and did not look at its connections."""

    from_s: float
    to_s: float


@define
class StopSeen:
    """A planned stop of an entry.

    :param begin_s: Unix time of SIGTERM.
    :param running_s: Unix time at which its process was last seen running.
    :param gone_s: Unix time at which its process was first seen to have ended.
    :param is_disturbed: Whether its process was paused or killed in the meantime.
    :param log: What its process logged since SIGTERM.
    """

    entry: str
    begin_s: float
    running_s: float
    gone_s: float = float("inf")
    is_disturbed: bool = False
    log: str = ""


@frozen
class Breach:
    """A promise that was broken."""

    promise: str
    text: str


@define
class Result:
    """Outcome of one seed.

    :param crowds: Crowds of clients beside the faults.
    :param exchanges: Requests on open connections.
    :param is_served_again: Whether a job sent after all faults was completed in time.
    """

    seed: int
    faults: tuple[Fault, ...]
    jobs: list[JobSeen] = field(factory=list)
    runs: list[RunSeen] = field(factory=list)
    stops: list[StopSeen] = field(factory=list)
    exchanges: list[Exchange] = field(factory=list)
    breaches: list[Breach] = field(factory=list)
    is_served_again: bool = False
    crowds: tuple[Crowd, ...] = ()
