"""Messages about jobs, sent between entries and between the tasks of an entry."""

import datetime as dt

from attrs import frozen

from .decisions.admission import QueuedStarts
from .decisions.election import Leader
from .decisions.evacuated_zones import Evacuations
from .decisions.room_admission import WorkBacklog
from .job import JobConfig, JobPhase, JobRecord
from .run import RegisteredInstance
from .store import Range, RangeResult, Txn, TxnResult


@frozen
class LeaderIs:
    """Announces to a peer the leader that the sender knows of.

    A peer answers the announcement of a leader with one of its own.

    :param leader: ``None`` if the sender knows of none.
    :param version: Version of the sender's configuration.
    :param can_lead: Whether the sender could lead now.
    :param backlog: What the sender has yet to start, if it is the leader.
    :param sent_at: Time on the sender's clock.
    :param answered_at: ``sent_at`` of the announcement that this one answers.
    :param may_confirm: Whether the answer may confirm the leader. An entry that has
        just started may have confirmed a later one before.
    :param evacuations: The evacuated zones as the sender knows them.
    :param work_backlog: What waits for room, if the sender is the leader.
    :param spare_tasks: How many more tasks the sender can keep, if it is the leader.
    :param address: Where peers reach the sender. A peer that knows no members, since
        the store does not answer it, can thus connect to the leader.
    """

    sender: str
    leader: Leader | None
    version: int = 0
    can_lead: bool = False
    backlog: tuple[QueuedStarts, ...] = ()
    sent_at: dt.datetime | None = None
    answered_at: dt.datetime | None = None
    may_confirm: bool = True
    address: str = ""
    evacuations: Evacuations = Evacuations()
    work_backlog: tuple[WorkBacklog, ...] = ()
    spare_tasks: int | None = None


@frozen
class ConfigWanted:
    """Requests a peer's configuration; the answer is a :class:`.JobConfig`."""


@frozen
class JobTold:
    """Notifies the scheduler of a job that was accepted and stored.

    :param revision: Store revision of the record.
    """

    record: JobRecord
    revision: int


@frozen
class CancelTold:
    """Notifies the scheduler of a job whose cancellation was stored."""

    job_id: str


@frozen
class FindPhase:
    """Requests the phase of a job from the scheduler."""

    job_id: str


@frozen
class PhaseIs:
    """The phase of a job; ``None`` if the scheduler does not know the job."""

    phase: JobPhase | None


@frozen
class CountPending:
    """Requests the number of jobs of a queue that have not started."""

    queue: str


@frozen
class PendingIs:
    """Number of jobs that have not started; ``None`` if not yet known."""

    count: int | None


@frozen
class NotScheduler:
    """Answers a request to the scheduler that this entry could not serve."""


@frozen
class StoreAsked:
    """Asks a peer to make a store call: either a write or a read."""

    txn: Txn | None = None
    read: Range | None = None


@frozen
class StoreAnswer:
    """Answer to :class:`StoreAsked`; the defaults mean that it had no effect.

    :param result: Result of the write.
    :param page: Result of the read.
    :param is_uncertain: Whether the write may have taken effect.
    """

    result: TxnResult | None = None
    page: RangeResult | None = None
    is_uncertain: bool = False


@frozen
class ReachAsked:
    """Asks a peer which of some instances it reaches."""

    instances: tuple[RegisteredInstance, ...]


@frozen
class ReachIs:
    """Answer to :class:`ReachAsked`.

    :param instances: IDs of those that answered.
    :param can_lead: Whether the sender could lead now.
    """

    instances: tuple[str, ...] = ()
    can_lead: bool = False


@frozen
class YieldAsked:
    """Asks a peer to let others stand first in the next election."""


@frozen
class ContactAsked:
    """Asks a peer what it reaches.

    :param address: Where peers reach the sender, as in :class:`LeaderIs`.
    """

    address: str = ""


@frozen
class ContactIs:
    """Answer to :class:`ContactAsked`.

    :param reaches_store: Whether the store answers the sender.
    :param schedules: Whether the sender is the leader and may act as such.
    """

    reaches_store: bool
    schedules: bool


JOB_MESSAGES: dict[str, type] = {
    cls.__name__: cls
    for cls in (
        LeaderIs,
        ConfigWanted,
        JobConfig,
        JobTold,
        CancelTold,
        FindPhase,
        PhaseIs,
        CountPending,
        PendingIs,
        NotScheduler,
        StoreAsked,
        StoreAnswer,
        ReachAsked,
        ReachIs,
        YieldAsked,
        ContactAsked,
        ContactIs,
    )
}
