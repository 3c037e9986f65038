"""State shared by the commands and queries about jobs."""

import datetime as dt
import typing as t

from attrs import define, field
from twisted.internet.defer import Deferred

from .clock import Clock
from .decisions.room_admission import RoomRefusal
from .decisions.task_room import TaskRoom
from .job import JobConfig, JobSpec, Queue
from .job_metric import JobMetrics
from .tasks.leadership import ControlView
from .tasks.watch import StoreClient


def _accept_all(_priority: int) -> None:
    """Refuse no job."""


def _find_no_outage() -> None:
    """Report that the store is reached."""


def _has_room(_queue: Queue, _spec: JobSpec) -> None:
    """Refuse no job for want of room."""


@define(eq=False)
class JobFrontContext:
    """State of an entry's client front, and its access to store and scheduler.

    :param ask: Sends a request to the entry that schedules and returns its
        answer; raises :exc:`.PeerUnreachableError`.
    :param send: Sends it a message whose delivery is not guaranteed.
    :param find_retry_after: Returns when a client may come back with a job of a
        priority; ``None`` if the job can be accepted now.
    :param find_outage: Returns for how long this entry has not reached the store;
        ``None`` while it does.
    :param find_room_refusal: Returns why a new job of a queue can't get room in time;
        ``None`` if it can.
    :param task_room: What is known of the tasks that the scheduler can still take.
    :param config: Configuration in force; ``None`` before the first one.
    :param view: The current leader and members.
    :param is_draining: Whether the entry is stopping.
    """

    clock: Clock
    store: StoreClient
    ask: t.Callable[[t.Any], Deferred[t.Any]]
    send: t.Callable[[t.Any], None]
    metrics: JobMetrics
    find_retry_after: t.Callable[[int], dt.timedelta | None] = _accept_all
    find_outage: t.Callable[[], dt.timedelta | None] = _find_no_outage
    find_room_refusal: t.Callable[[Queue, JobSpec], RoomRefusal | None] = _has_room
    task_room: TaskRoom = field(factory=TaskRoom)
    config: JobConfig | None = None
    view: ControlView = field(factory=ControlView)
    is_draining: bool = False
