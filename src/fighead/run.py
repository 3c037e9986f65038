"""Runs of tasks at instances: orders, listings and their outcomes.

A run is one start of a task. Every order carries the fence, the term of the
scheduler that gives it; an instance does nothing for a lower one than it has
seen.
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
    #: It waited too long for the other members of its gang.
    ALONE = "alone"


@frozen
class StartRun:
    """Starts a run of a task."""

    task: TaskKey
    number: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@frozen
class StopRun:
    """Stops a run; it also settles a start that was never answered."""

    task: TaskKey
    number: int


@frozen
class PaceRun:
    """Lets a run work at a share of its full speed, in percent."""

    task: TaskKey
    number: int
    percent: int


class Refusal(enum.Enum):
    """Why an instance refused an order."""

    #: A higher fence has been seen.
    FENCED = "fenced"
    #: The run, or a later one, has already been there.
    STALE = "stale"
    #: Its deadline had passed.
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    #: The instance is unhealthy and has done nothing.
    UNHEALTHY = "unhealthy"
    #: The address now belongs to another incarnation.
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"


@frozen
class RunRow:
    """A run that an instance lists as running.

    :param percent: Share of its work that is done; 100 for a task that lasts
        and is at work.
    :param usage: Tail latency in ms of a task that serves, else millicores.
    """

    task: TaskKey
    number: int
    checkpoint: str = ""
    percent: int = 0
    usage: int = 0


@frozen
class RunEnd:
    """A run that has ended.

    :param sequence: Number of the end in this incarnation of the instance.
    """

    sequence: int
    task: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


@frozen
class Listing:
    """What an instance runs, and which ends it has not been told to forget.

    :param clock_ms: The instance's own clock when it answered.
    """

    clock_ms: int
    running: tuple[RunRow, ...] = ()
    ended: tuple[RunEnd, ...] = ()


@frozen
class Instance:
    """One life of a machine, as it registered itself.

    :param instance_id: Name of the registration.
    :param incarnation: Start of this life; a new one knows nothing of before.
    :param remaining_ms: Least time left while it is draining.
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

    @property
    def identity(self) -> str:
        """Name that no other life has."""
        return f"{self.instance_id}/{self.incarnation}"
