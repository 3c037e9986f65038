"""Messages about jobs between entries and between the tasks of an entry."""

from attrs import frozen

from .decisions.election import Leader
from .job import JobConfig, JobPhase, JobRecord
from .store import Range, RangeResult, Txn, TxnResult


@frozen
class LeaderIs:
    """Tells a peer who schedules.

    :param version: Version of the sender's configuration.
    """

    sender: str
    leader: Leader | None
    version: int = 0


@frozen
class ConfigWanted:
    """Asks a peer for its configuration."""


@frozen
class JobTold:
    """A job was accepted; its record is in the store."""

    record: JobRecord
    revision: int


@frozen
class CancelTold:
    """A job was cancelled; the mark is in the store."""

    job_id: str


@frozen
class FindPhase:
    """Asks the scheduler for the state of a job."""

    job_id: str


@frozen
class PhaseIs:
    """The state of a job; ``None`` if the scheduler does not know it."""

    phase: JobPhase | None


@frozen
class CountPending:
    """Asks how many jobs of a queue have not begun."""

    queue: str


@frozen
class PendingIs:
    """Number of jobs that have not begun; ``None`` if it is not known yet."""

    count: int | None


@frozen
class NotScheduler:
    """The entry that was asked does not schedule."""


@frozen
class StoreAsked:
    """Asks a peer to carry out a request at the store: a write or a read."""

    txn: Txn | None = None
    read: Range | None = None


@frozen
class StoreAnswer:
    """What became of a peer's request; nothing at all means no effect.

    :param is_uncertain: Whether the write may have had its effect.
    """

    result: TxnResult | None = None
    page: RangeResult | None = None
    is_uncertain: bool = False


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
    )
}
