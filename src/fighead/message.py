"""Messages between the tasks of one entry and between entries.

Messages that are sent to peers are listed in :data:`WIRE_MESSAGES`. The outcomes
returned to a caller, :class:`Answered`, :class:`NotRun`, :class:`Unknown` and
:class:`Accepted`, don't depend on the entry that produced them.
"""

import datetime as dt
import typing as t

from attrs import field, frozen

from .model import Claim, InstanceReport, Member, Revision, TaskStatus, WorkRecord


@frozen
class CheckRequest:
    """A caller's request for a check.

    :param deadline: Time after which an answer is useless.
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
    """The complete answer of work that ran.

    :param instance: Name of the instance that ran it.
    """

    answer: str
    instance: str = ""


@frozen
class NotRun:
    """The work has not started and will not start.

    :param retry_after: Delay after which a retry may succeed.
    :param is_transient: Whether the entry itself should retry until the
        request's deadline.
    """

    reason: str
    retry_after: dt.timedelta = dt.timedelta(seconds=1)
    is_transient: bool = False


@frozen
class Unknown:
    """The work may have run; a query by its id returns the outcome later."""

    reason: str


@frozen
class Accepted:
    """The work is recorded; a query by its id returns the outcome later."""

    record: WorkRecord


@frozen
class Refused:
    """The request is invalid and must not be repeated unchanged."""

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
    """Asks the holder of a line to record work and enqueue it."""

    record: WorkRecord


@frozen
class QueryWork:
    """Requests a work record from the holder of its line.

    :param wait: How long the answer may be delayed until the phase is final.
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
    """Orders the owner of the assigned instance to start an attempt."""

    record: WorkRecord


@frozen
class StopWork:
    """Orders the owner of an instance to stop an attempt."""

    instance: str
    task_id: str


@frozen
class WorkNotStarted:
    """Notifies the holder of a line that an attempt did not and will not start."""

    upstream: str
    instance: str
    task_id: str
    reason: str


@frozen
class WorkEnded:
    """Notifies the holder of a line of the end of an attempt."""

    upstream: str
    instance: str
    status: TaskStatus


@frozen
class EndRecorded:
    """Notifies the owner of an instance that the end of a task is recorded."""

    instance: str
    task_id: str


@frozen
class InstanceLoad:
    """Load of one instance, as its owner reports it.

    :param boot: Identifies the instance's process since its last restart.
    :param batch_room: Number of batch tasks that may be started now.
    :param free_slots: Number of slots in which a check could start at once.
    :param queued_checks: Number of checks waiting for a slot.
    :param slowdown: Upper estimate, by kind of batch work, of the share by which
        one such task increases the latency of concurrent checks; 0.0 means none.
    :param batch_tasks: Ids of all batch tasks that the instance holds, running or
        with an end that is not recorded yet; ``None`` if unchanged since the
        last report.
    :param batch_slots: Maximum number of slots for batch work.
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
    """The load of the instances that ``entry`` owns."""

    entry: str
    loads: tuple[InstanceLoad, ...]


@frozen
class Probe:
    """Checks that a peer is alive and which inventory revision it has."""

    entry: str
    revision: int


@frozen
class ProbeAnswer:
    """A peer's answer to :class:`Probe`.

    :param revision: Number of its inventory revision.
    :param newer: That revision, if the sender of the probe has an older one.
    """

    entry: str
    revision: int
    newer: Revision | None = None


@frozen
class Envelope:
    """A message on a connection between entries.

    :param call_id: Correlates an answer with its request; empty if no answer is
        expected.
    :param is_answer: Whether this is the answer to the request ``call_id``.
    :param payload: The encoded message.
    """

    sender: str
    call_id: str
    is_answer: bool
    payload: bytes


@frozen
class View:
    """Snapshot of the members, claims and inventory that an entry knows.

    :param me: Name of the entry itself.
    :param claims: Claims in force, by resource.
    :param routes: The latest claim on each resource. An owner whose lease has
        expired continues until another entry claims the resource, so messages
        are still sent to it.
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
        """Return the current or last owner of ``resource``; ``None`` if unknown."""
        claim = self.routes.get(resource)
        return claim.owner if claim else None


@frozen
class Tick:
    """Triggers the periodic work of a task, such as its time limits."""


@frozen
class Stop:
    """Asks a task to shut down gracefully."""


@frozen
class ReportReceived:
    """An instance answered a listing or an event poll.

    :param asked_at: When the poll was sent.
    """

    report: InstanceReport
    asked_at: dt.datetime


@frozen
class PollFailed:
    """A listing or an event poll of an instance failed."""

    reason: str


@frozen
class CheckEnded:
    """The call of one check ended with an answer or an error.

    :param took: Duration of the call.
    :param certain: Whether the instance certainly no longer holds the task.
    """

    request_id: str
    outcome: CheckOutcome
    took: dt.timedelta
    certain: bool
    failed: bool = False


@frozen
class StartEnded:
    """The call that starts a batch task ended.

    :param started: Whether the task was started; ``None`` if unknown.
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
