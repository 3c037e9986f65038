"""Messages between the tasks of one entry and between entries.

A message that crosses to a peer is listed in :data:`WIRE_MESSAGES`. The
answers to a caller, :class:`Answered`, :class:`NotRun`, :class:`Unknown` and
:class:`Accepted`, are the same whichever entry decided them.
"""

import datetime as dt
import typing as t

from attrs import field, frozen

from .model import Claim, InstanceReport, Member, Revision, TaskStatus, WorkRecord


@frozen
class CheckRequest:
    """A check on its way to an instance.

    :param deadline: Point in time after which no answer is of use.
    """

    upstream: str
    kind: str
    caller: str
    request_id: str
    body: str
    deadline: dt.datetime
    cores: float = 1.0
    memory_bytes: int = 0


@frozen
class Answered:
    """The whole answer of work that ran.

    :param instance: The instance that ran it.
    """

    answer: str
    instance: str = ""


@frozen
class NotRun:
    """The work did not start and will not.

    :param retry_after: Pause after which a retry may succeed.
    :param is_transient: Whether the entry itself should try again while the
        request's time lasts.
    """

    reason: str
    retry_after: dt.timedelta = dt.timedelta(seconds=1)
    is_transient: bool = False


@frozen
class Unknown:
    """The work may or may not have run; its id gives the outcome later."""

    reason: str


@frozen
class Accepted:
    """The work is recorded; its id gives the outcome later."""

    record: WorkRecord


@frozen
class Refused:
    """The request is at fault and must not be repeated as it is."""

    kind: str
    message: str
    remedy: str
    status: int


CheckOutcome = Answered | NotRun | Unknown
WorkOutcome = Accepted | NotRun | Unknown | Refused


@frozen
class OfferCheck:
    """Asks the owner of ``instance`` to run a check."""

    instance: str
    request: CheckRequest


@frozen
class SubmitWork:
    """Asks the holder of a line to record work and place it in line."""

    record: WorkRecord


@frozen
class QueryWork:
    """Asks the holder of a line for a record, waiting for its end if told.

    :param wait: How long to wait for a final phase.
    """

    upstream: str
    caller: str
    request_id: str
    wait: dt.timedelta = dt.timedelta()


@frozen
class CancelWork:
    """Asks the holder of a line to cancel work."""

    upstream: str
    caller: str
    request_id: str


@frozen
class StartWork:
    """Tells the owner of an instance to start a recorded attempt."""

    record: WorkRecord


@frozen
class StopWork:
    """Tells the owner of an instance to stop an attempt."""

    instance: str
    task_id: str


@frozen
class WorkNotStarted:
    """Tells the holder of a line that an attempt did not and will not start."""

    upstream: str
    instance: str
    task_id: str
    reason: str


@frozen
class WorkEnded:
    """Tells the holder of a line how an attempt ended."""

    upstream: str
    instance: str
    status: TaskStatus


@frozen
class EndRecorded:
    """Tells the owner of an instance that the end of a task is recorded."""

    instance: str
    task_id: str


@frozen
class InstanceLoad:
    """What an owner tells of one of its instances.

    :param batch_room: Batch tasks that may be started now.
    :param free_slots: Slots in which a check could start at once.
    :param queued_checks: Checks waiting for a slot.
    :param slowdown: Learned slowdown of checks by kind of batch work beside
        them; 1.0 means none.
    :param batch_slots: Slots that batch work may take at most.
    :param batch_tasks: Ids of all batch tasks that the instance still holds,
        running or with an end that is not recorded yet; ``None`` if they are as
        last told.
    """

    instance: str
    upstream: str
    epoch: int
    boot: str
    batch_room: int
    free_slots: int
    queued_checks: int
    slowdown: dict[str, float] = field(factory=dict)
    batch_tasks: tuple[str, ...] | None = ()
    reachable: bool = True
    quarantined: bool = False
    lapsed: bool = False
    batch_slots: int = 0


@frozen
class LoadReport:
    """The load of all instances that ``entry`` owns."""

    entry: str
    loads: tuple[InstanceLoad, ...]


@frozen
class Probe:
    """Asks a peer whether it is alive and which revision it has."""

    entry: str
    revision: int


@frozen
class ProbeAnswer:
    """A peer's answer to :class:`Probe`.

    :param revision: Its revision of the inventory.
    :param newer: The revision itself when the asker has an older one.
    """

    entry: str
    revision: int
    newer: Revision | None = None


@frozen
class Envelope:
    """A message on a peer link.

    :param call_id: Matches an answer with its question; empty when no answer
        is wanted.
    :param is_answer: Whether this is the answer to ``call_id``.
    """

    sender: str
    call_id: str
    is_answer: bool
    payload: bytes


@frozen
class View:
    """What an entry knows of the others and of the rules, as one snapshot.

    :param claims: Claims that stand, by resource.
    :param routes: The last claim on each resource. An owner whose lease lapsed
        goes on until another has claimed, so messages are still sent to it.
    """

    me: str
    members: dict[str, Member] = field(factory=dict)
    claims: dict[str, Claim] = field(factory=dict)
    routes: dict[str, Claim] = field(factory=dict)
    revision: Revision | None = None
    platform_gone: frozenset[str] = frozenset()
    platform_leaving: frozenset[str] = frozenset()
    store_reachable: bool = True

    def owner_of(self, resource: str) -> str | None:
        """Return the entry that holds ``resource``, or held it last."""
        claim = self.routes.get(resource)
        return claim.owner if claim else None


@frozen
class Tick:
    """Periodic prompt to a task to look at its timers."""


@frozen
class Stop:
    """Tells a task to end gracefully."""


@frozen
class ReportReceived:
    """An instance answered a listing or an event poll."""

    report: InstanceReport
    asked_at: dt.datetime


@frozen
class PollFailed:
    """An instance did not answer a listing or an event poll."""

    reason: str


@frozen
class CheckEnded:
    """The call of one check ended, whichever way.

    :param certain: Whether the instance no longer holds the task for sure.
    """

    request_id: str
    outcome: CheckOutcome
    took: dt.timedelta
    certain: bool
    failed: bool = False


@frozen
class StartEnded:
    """The call that starts a batch task ended.

    :param started: ``None`` when not known.
    """

    task_id: str
    started: bool | None
    reason: str = ""


WIRE_MESSAGES: dict[str, type] = {
    cls.__name__: cls
    for cls in (
        Answered,
        NotRun,
        Unknown,
        Accepted,
        Refused,
        OfferCheck,
        SubmitWork,
        QueryWork,
        CancelWork,
        StartWork,
        StopWork,
        WorkNotStarted,
        WorkEnded,
        EndRecorded,
        LoadReport,
        Probe,
        ProbeAnswer,
        Envelope,
    )
}

Message = t.Any
