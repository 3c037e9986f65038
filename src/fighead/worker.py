"""Orders that the owner of an instance gives to it, apart from their encoding.

Every order carries the epoch of the owner's claim. An instance with its guard
on refuses an epoch below the highest that it has seen.
"""

import datetime as dt

from attrs import frozen

FENCE_PATH = "/v1/fence"
CHECK_PATH = "/v1/checks"
START_PATH = "/v1/tasks"
POLL_PATH = "/v1/poll"
CONTROL_PATH = "/v1/control"

#: Reasons for which an instance refuses an order.
REASON_STALE_EPOCH = "stale_epoch"
REASON_FULL = "full"
REASON_DUPLICATE = "duplicate"
REASON_OTHER_BOOT = "other_boot"
REASON_LATE = "late"
REASON_FAILED = "failed"


@frozen
class FenceOrder:
    """Raises the highest epoch; the answer lists all tasks."""

    epoch: int


@frozen
class TaskOrder:
    """Starts a task.

    :param boot: The run of the instance for which the order is meant; any
        other run refuses it.
    :param lease_until: Point on the instance's own clock after which the order
        is refused, and at which the task is stopped unless the lease is renewed.
    """

    epoch: int
    boot: str
    task_id: str
    kind: str
    body: str
    cores: float
    memory_bytes: int
    run_time: dt.timedelta
    checkpoint: str = ""
    lease_until: dt.timedelta = dt.timedelta()


@frozen
class CheckAnswer:
    """The answer of a check that ran."""

    answer: str


@frozen
class PollOrder:
    """Renews leases, confirms recorded ends and waits for news.

    :param lease_until: New end of the leases of all tasks, on the instance's
        own clock.
    :param recorded: Tasks whose end is recorded and can be forgotten.
    :param wait: How long the instance may hold the answer back for news.
    """

    epoch: int
    lease_until: dt.timedelta
    recorded: tuple[str, ...] = ()
    known_ended: tuple[str, ...] = ()
    wait: dt.timedelta = dt.timedelta()


@frozen
class ControlOrder:
    """Changes a running task.

    :param speed: Share of full speed to run at; 0 stops the task.
    :param evict: Whether a stop keeps a checkpoint.
    """

    epoch: int
    task_id: str
    speed: float
    evict: bool = False


@frozen
class Refusal:
    """Why an instance refused an order."""

    reason: str
    detail: str = ""


@frozen
class JournalEntry:
    """One event at the stand-in for an instance, for history checks.

    :param at_s: Seconds on the machine's monotonic clock.
    """

    at_s: float
    event: str
    task_id: str
    epoch: int
    boot: str
    kind: str = ""
    checkpoint: str = ""


@frozen
class Violations:
    """Orders that broke a promise, as the stand-in saw them."""

    over_capacity: int = 0
    same_task_twice: int = 0
    stale_start: int = 0


@frozen
class Journal:
    """All events and violations of one stand-in."""

    instance: str
    entries: tuple[JournalEntry, ...] = ()
    violations: Violations = Violations()
    refused_stale: int = 0
    refused_full: int = 0
    refused_duplicate: int = 0


@frozen
class WorkerFaults:
    """Trouble that the stand-in makes.

    :param fail_all: Whether every task fails shortly after its start.
    :param lose_answers: Share of starts and checks whose answer is lost.
    """

    fail_all: bool = False
    lose_answers: float = 0.0
    unreachable: bool = False
