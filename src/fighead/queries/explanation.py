"""What is told of where a job would go, and why."""

import enum

from attrs import frozen


class Outcome(enum.Enum):
    """What would become of the job now."""

    PLACED = "placed"
    WAITS = "waits"
    REFUSED = "refused"


@frozen
class InstanceGroup:
    """The instances with one reason for or against them.

    :param examples: IDs of the first of them.
    """

    reason: str
    count: int
    examples: tuple[str, ...]


@frozen
class Choice:
    """The instance of a task, with its score; ``None`` if the task has a run."""

    task: str
    instance: str
    score: float | None


@frozen
class FigureAges:
    """Age in ms of what the answer is based on; ``None`` for what is not known.

    :param newest_listing: Of the newest listing of an instance.
    :param oldest_listing: Of the oldest latest listing of a reachable instance.
    :param store: Of the store's latest confirmation of the leader.
    """

    newest_listing: int | None
    oldest_listing: int | None
    store: int | None


@frozen
class Explanation:
    """Where a job would go now, and why.

    :param job: ID of the job; empty for one that is only described.
    :param reason: Why it waits; otherwise why it doesn't.
    :param retry_after_s: Time for which a new job is refused; ``None`` if it is
        admitted, or has been.
    :param stage: Number of the first stage with waiting tasks; ``None`` if there is
        none, and then there are no groups.
    :param place: Place of the stage among the waiting ones, from 1; 0 if it has none.
    :param stages_waiting: Number of stages with tasks that may start.
    :param tasks_ahead: Tasks of the stages before it that may start.
    :param starts_left: Starts that the leader may send now; ``None`` for any number.
    """

    outcome: Outcome
    reason: str
    job: str
    queue: str
    retry_after_s: float | None
    stage: int | None
    tasks_waiting: int
    place: int
    stages_waiting: int
    tasks_ahead: int
    starts_left: int | None
    groups: tuple[InstanceGroup, ...]
    chosen: tuple[Choice, ...]
    ages_ms: FigureAges
