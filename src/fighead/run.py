"""Runs of tasks on instances: orders, listings and outcomes.

A run is one start of a task. Every order carries the fence of the scheduler that
sends it, which increases with its term; an instance refuses an order whose fence
is lower than one it has seen.
"""

import enum

from attrs import frozen

from .job import Demand, TaskKey


class EndKind(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    #: Another member of its gang ended.
    BROKEN = "broken"
    #: It timed out waiting for the other members of its gang.
    ALONE = "alone"


@frozen
class StartRun:
    """Order to start a run of a task.

    :param number: Number of the run among those of its task.
    :param payload: Opaque text of the job, given to every run.
    :param checkpoint: Checkpoint to resume from; empty if there is none.
    :param ticket: Ticket that the instance may require; empty if there is none.
    """

    task: TaskKey
    number: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@frozen
class StopRun:
    """Order to stop a run; it also resolves a start that was never answered."""

    task: TaskKey
    number: int


@frozen
class PaceRun:
    """Order to limit a run to ``percent`` of its full speed."""

    task: TaskKey
    number: int
    percent: int


class RefusalReason(enum.Enum):
    """Why an instance refused an order."""

    #: A higher fence has been seen.
    FENCED = "fenced"
    #: The instance already had this run of the task, or a later one.
    STALE = "stale"
    #: The order arrived after its deadline.
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    #: The instance is unhealthy and did nothing.
    UNHEALTHY = "unhealthy"
    #: Another incarnation now has the address.
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"
    #: It was not sent, since the availability zone has been evacuated.
    EVACUATED = "evacuated"


@frozen
class ListedRun:
    """A run that an instance lists as running.

    :param percent: Share of its work that is done; 100 for a long-running task
        that is up.
    :param usage: Tail latency in ms of a serving task, otherwise millicores used.
    """

    task: TaskKey
    number: int
    checkpoint: str = ""
    percent: int = 0
    usage: int = 0


@frozen
class RunEnd:
    """The end of a run, as its instance lists it.

    :param sequence: Number of the end within the instance's incarnation.
    """

    sequence: int
    task: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


@frozen
class Listing:
    """The active runs of an instance and its ended runs not yet acknowledged.

    :param clock_ms: Time of the instance's own clock when it answered.
    """

    clock_ms: int
    running: tuple[ListedRun, ...] = ()
    ended: tuple[RunEnd, ...] = ()


@frozen
class RegisteredInstance:
    """One incarnation of an upstream instance, as it registered itself.

    :param instance_id: Name of the registration, the same after a restart.
    :param incarnation: Identifies the start of the instance; a new incarnation
        has no state of earlier ones.
    :param remaining_ms: Minimum time left while it is draining.
    :param cold_ms: How much longer it runs slowly after its start.
    """

    instance_id: str
    incarnation: str
    address: str
    upstream: str
    zone: str = ""
    capacity: Demand = Demand()
    labels: tuple[str, ...] = ()
    is_draining: bool = False
    remaining_ms: int = 0
    cold_ms: int = 0

    @property
    def identity(self) -> str:
        """Name that is unique to this incarnation."""
        return f"{self.instance_id}/{self.incarnation}"
