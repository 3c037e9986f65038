"""Orders from the owner of an instance and the answers to them, before encoding.

Every order carries the epoch of the owner's claim. An instance with its guard
on refuses an order whose epoch is below the highest that it has seen, so an
earlier owner can't control it.
"""

import datetime as dt

from attrs import frozen

FENCE_PATH = "/v1/fence"
CHECK_PATH = "/v1/checks"
START_PATH = "/v1/tasks"
POLL_PATH = "/v1/poll"
CONTROL_PATH = "/v1/control"

#: Values of ``Refusal.reason``.
REASON_STALE_EPOCH = "stale_epoch"
REASON_FULL = "full"
REASON_DUPLICATE = "duplicate"
REASON_OTHER_BOOT = "other_boot"
REASON_LATE = "late"
REASON_FAILED = "failed"


@frozen
class FenceOrder:
    """Fences off earlier owners by a higher epoch; the answer lists all tasks."""

    epoch: int


@frozen
class TaskOrder:
    """Starts a task.

    :param boot: Boot id of the instance that the order is meant for; after a
        restart the instance has another one and refuses the order.
    :param cores: Declared processor cores.
    :param memory_bytes: Declared memory.
    :param run_time: Declared run time.
    :param checkpoint: Checkpoint to resume from; empty to start from the
        beginning.
    :param lease_until: Expiry of the lease on the instance's own clock. Later the
        order is refused, and the task is stopped unless the lease is renewed.
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
    """Result of a check that completed."""

    answer: str


@frozen
class PollOrder:
    """Renews task leases, acknowledges recorded ends and long-polls for new ones.

    :param lease_until: New expiry of the leases of all plans and watches, on the
        instance's own clock.
    :param recorded: Ids of ended tasks whose end is recorded, so that the instance
        need not report them any more.
    :param known_ended: Ids of ended tasks that the owner knows of; any other ended
        task is reported without waiting.
    :param wait: How long the instance may delay its answer until a task ends.
    """

    epoch: int
    lease_until: dt.timedelta
    recorded: tuple[str, ...] = ()
    known_ended: tuple[str, ...] = ()
    wait: dt.timedelta = dt.timedelta()


@frozen
class ControlOrder:
    """Changes the speed of a running task or stops it.

    :param speed: Share of full speed, from 0 to 1; 0 stops the task.
    :param evict: Whether a stop is an eviction, after which the task can resume
        from its checkpoint.
    """

    epoch: int
    task_id: str
    speed: float
    evict: bool = False


@frozen
class Refusal:
    """Why an instance did not carry out an order.

    :param reason: One of the ``REASON_`` constants.
    :param detail: Explanation for logs; its content depends on the reason.
    """

    reason: str
    detail: str = ""


@frozen
class JournalEntry:
    """One event at the stand-in for an instance, for history checks.

    :param at_s: Time of the event, in seconds since the Unix epoch, on a clock that
        never goes back.
    :param event: ``fence``, ``start`` or how the task ended.
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
    """Counts of starts that violated a guarantee, as seen by a stand-in.

    All are zero while the guard is on, since such starts are refused.

    :param over_capacity: Starts of tasks that did not fit.
    :param same_task_twice: Repeated starts of one task.
    :param stale_start: Starts with an epoch below the highest seen.
    """

    over_capacity: int = 0
    same_task_twice: int = 0
    stale_start: int = 0


@frozen
class Journal:
    """All events and violations of one stand-in since its start.

    :param refused_stale: Number of orders refused for a stale epoch.
    :param refused_full: Number of tasks refused for lack of a slot or memory.
    :param refused_duplicate: Number of tasks refused as started before.
    """

    instance: str
    entries: tuple[JournalEntry, ...] = ()
    violations: Violations = Violations()
    refused_stale: int = 0
    refused_full: int = 0
    refused_duplicate: int = 0


@frozen
class WorkerFaults:
    """Faults to inject at the stand-in for an instance.

    :param fail_all: Whether every task fails shortly after its start.
    :param lose_answers: Share of starts and checks whose answer is lost, 0 to 1.
    :param unreachable: Whether the connections of all orders are cut off.
    """

    fail_all: bool = False
    lose_answers: float = 0.0
    unreachable: bool = False
