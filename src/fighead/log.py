"""Numbered log events, catalogued in docs/events.md, and a bounded log writer."""

import enum
import os
import stat
import typing as t

import structlog

from .clock import read_steady_s

#: Limit on the average rate. A scheduler at the current sites logs two lines for
#: each of 65 starts a second, and 2.4 times as many at peak load.
LINES_PER_S = 400
#: Limit on a burst of lines after a period without any.
BURST_LINES = 800


class Event(enum.Enum):
    """Every event that fighead logs, as number, level and text.

    All three, and the names, are documented for operators and stay stable.
    """

    ENTRY_STARTED = (1001, "info", "The entry started.")
    ENTRY_DRAINING = (1002, "info", "The entry takes no new work.")
    ENTRY_STOPPED = (1003, "info", "The entry stopped.")
    ENTRY_NOT_READY = (
        1004,
        "warning",
        "The entry takes no requests.",
    )
    ENTRY_READY = (1005, "info", "The entry takes requests.")
    LOOP_DELAYED = (1006, "warning", "The entry handled events late.")
    CLOCK_STEPPED = (
        1007,
        "warning",
        "The wall clock and the steady clock have parted.",
    )
    STOP_CUT_SHORT = (
        1008,
        "warning",
        "The grace period is over before the planned stop was complete.",
    )
    LEASE_GRANTED = (2001, "info", "The store granted a lease.")
    LEASE_LOST = (2002, "warning", "The lease expired; claims are made again.")
    STORE_AWAY = (2003, "warning", "The store is unreachable.")
    STORE_BACK = (2004, "info", "The store is reachable again.")
    ENTRY_CUT_OFF = (
        2005,
        "warning",
        "Neither the store nor a peer that could serve clients is reached.",
    )
    ENTRY_CONNECTED = (2006, "info", "The entry can serve clients again.")
    CLAIM_WON = (2101, "info", "A claim was won.")
    CLAIM_LOST = (2102, "warning", "A claim was lost to another entry.")
    CLAIM_RELEASED = (2103, "info", "A claim was handed over.")
    CLAIM_SUPERSEDED = (2104, "warning", "An instance has seen a higher epoch.")
    REVISION_APPLIED = (2201, "info", "A revision of the inventory is in force.")
    REVISION_STALE = (2202, "warning", "An older revision was ignored.")
    LINE_LOADED = (3001, "info", "A line was rebuilt from its records.")
    WORK_PARKED = (3002, "warning", "Work failed on several instances.")
    WORK_CONFLICT = (3003, "warning", "A record was changed by another entry.")
    TASK_EVICTED = (3101, "info", "A watch is evicted with a checkpoint.")
    INSTANCE_QUARANTINED = (
        3102,
        "warning",
        "An instance is quarantined because its work fails.",
    )
    INSTANCE_RELEASED = (3103, "info", "An instance is no longer quarantined.")
    LEADER_ELECTED = (5001, "info", "This entry schedules now.")
    LEADER_DEPOSED = (5002, "warning", "This entry no longer schedules.")
    LEADER_FOLLOWED = (5003, "info", "Another entry schedules now.")
    SCHEDULER_FENCED = (5004, "warning", "An instance has seen a higher fence.")
    SCHEDULE_LOADED = (5005, "info", "All accepted jobs have been read.")
    SCHEDULE_SETTLED = (5006, "info", "No unknown run can exist any more.")
    LEADER_HANDED_OVER = (5007, "info", "A peer is better placed and is to schedule.")
    LEADER_LOAD = (5008, "info", "How busy the scheduling entry is.")
    AUTHORITY_ENDED = (
        5009,
        "warning",
        "The leader stops acting until it is confirmed again.",
    )
    AUTHORITY_REGAINED = (5010, "info", "The leader is confirmed and acts again.")
    AUTHORITY_LIMITED = (
        5011,
        "warning",
        "Only peers confirm the leader; silent instances keep their tasks.",
    )
    AUTHORITY_RESTORED = (5012, "info", "The store confirms the leader again.")
    LEADER_ACKNOWLEDGED = (
        5013,
        "info",
        "No earlier leader can be confirmed any more.",
    )
    SCHEDULE_UNSETTLED = (
        5014,
        "info",
        "Unknown runs may exist; jobs accepted before the election wait.",
    )
    TASKS_WAITING = (5015, "info", "Tasks have waited for a start for seconds.")
    REACH_SURVEYED = (5016, "info", "Peers were asked which instances they reach.")
    LASTING_TASK_BESIDE_ROOM = (
        5017,
        "warning",
        "A lasting task has no run although instances have room for it.",
    )
    JOB_ACCEPTED = (5101, "info", "A job was accepted and is stored.")
    JOB_REFUSED = (5102, "warning", "A job was refused and is not stored.")
    JOB_UNCERTAIN = (5103, "warning", "It is not known whether a job is stored.")
    JOB_TAKEN = (5104, "info", "A job was added to the schedule.")
    JOB_ENDED = (5105, "info", "A job has ended.")
    JOB_RECORDED = (5106, "info", "The end of a job is stored.")
    JOB_CANCELLING = (5107, "info", "A client cancelled a job.")
    NOTICE_DROPPED = (
        5108,
        "warning",
        "A notice to the scheduler was dropped; its watch reports the change.",
    )
    RUN_ORDERED = (5201, "info", "A task is started at an instance.")
    RUN_ENDED = (5202, "info", "A run has ended.")
    RUN_ADOPTED = (5203, "info", "A run of an earlier scheduler goes on.")
    RUN_UNWANTED = (5204, "warning", "A run that is not in the schedule is stopped.")
    RUN_MISSING = (5205, "warning", "An instance no longer lists a run.")
    START_REFUSED = (5206, "warning", "An instance refused to start a run.")
    START_UNANSWERED = (5207, "warning", "A start without an answer is stopped.")
    RUN_PACED = (
        5208,
        "info",
        "A filler's speed is adapted to the serving tasks beside it.",
    )
    RUN_MOVED = (5209, "info", "A run is stopped to go on elsewhere.")
    TARGET_MISSED = (5210, "info", "A serving task exceeds its target latency.")
    ZONE_EVACUATED = (
        5330,
        "warning",
        "An availability zone is evacuated; nothing starts there.",
    )
    ZONE_TAKEN_BACK = (5331, "info", "An availability zone is in use again.")
    ZONE_UNKNOWN = (
        5332,
        "warning",
        "The operator's evacuation is ignored: its zone or value is unusable.",
    )
    INSTANCE_FOUND = (5301, "info", "An instance has registered.")
    INSTANCE_UNREGISTERED = (5302, "warning", "A registration is gone.")
    INSTANCE_DRAINING = (
        5303,
        "info",
        "An instance is being drained and gets no new runs.",
    )
    INSTANCE_SILENT = (5304, "warning", "An instance does not answer.")
    INSTANCE_LOST = (5305, "warning", "All leases at an instance have run out.")
    INSTANCE_REBORN = (5306, "warning", "An instance has restarted.")
    INSTANCE_SUSPECTED = (5308, "warning", "An instance is given no new runs.")
    INSTANCE_TRUSTED = (
        5309,
        "info",
        "An instance is no longer suspected of being unhealthy.",
    )
    INSTANCE_LISTED = (
        5310,
        "info",
        "An incarnation of an instance is listed for the first time in this term.",
    )
    INSTANCE_LISTED_IN_PART = (
        5311,
        "info",
        "An instance has more ends to list; nothing is placed on it until then.",
    )
    REGISTRATION_UNREADABLE = (5307, "warning", "A registration is unusable.")
    FLEET_INCOMPLETE = (
        5320,
        "warning",
        "Instances that may have runs of an earlier scheduler are not registered.",
    )
    CONFIG_APPLIED = (5401, "info", "A configuration is in force.")
    CONFIG_UNREADABLE = (5402, "warning", "A configuration can't be read.")
    RECORD_UNREADABLE = (5403, "error", "A stored record can't be read.")
    STORE_CALL_FAILED = (5404, "warning", "A call to the store failed.")
    SETTINGS_RELOADED = (5405, "info", "The settings were read again.")
    SETTINGS_REFUSED = (5406, "error", "New settings have faults and are ignored.")
    PEER_MESSAGE_REFUSED = (4001, "warning", "A peer's message can't be read.")
    REQUEST_FAILED = (4002, "error", "A request met an unexpected error.")
    PEER_ANSWER_DROPPED = (
        4003,
        "info",
        "A peer's answer came too late, or was meant for an earlier process.",
    )
    REQUEST_CUT = (
        4004,
        "error",
        "The entry ends and owes a request its answer.",
    )
    CLIENTS_LIMITED = (
        4006,
        "warning",
        "Clients' connections were closed, since they take too much.",
    )
    REQUEST_UNSERVED = (4005, "warning", "A client's request could not be served.")

    @property
    def number(self) -> int:
        """Unique number of the event, stable between versions."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Name of the logger method that logs the event, such as ``info``."""
        return self.value[1]

    @property
    def text(self) -> str:
        """What happened, in one sentence."""
        return self.value[2]


#: Numbers of the events that are kept at any rate of lines: the few that tell which
#: entry schedules and how busy it is, which matter most when lines are dropped.
KEPT_NUMBERS = frozenset(
    event.number
    for event in (
        Event.LEADER_ELECTED,
        Event.LEADER_FOLLOWED,
        Event.SCHEDULE_LOADED,
        Event.SCHEDULE_SETTLED,
        Event.LEADER_HANDED_OVER,
        Event.LEADER_LOAD,
        Event.AUTHORITY_REGAINED,
        Event.AUTHORITY_RESTORED,
        Event.LEADER_ACKNOWLEDGED,
        Event.SCHEDULE_UNSETTLED,
        Event.TASKS_WAITING,
        Event.REACH_SURVEYED,
    )
)


_LOGGER = structlog.get_logger()


def log_event(event: Event, **fields: t.Any) -> None:
    """Log ``event`` with ``fields``, which must hold no secrets or request bodies."""
    write = getattr(_LOGGER, event.level)
    write(event.text, number=event.number, event_name=event.name.lower(), **fields)


class BoundedWriter:
    """Writes log lines at a bounded rate and without blocking on a full pipe.

    A token bucket limits the rate. Lines beyond it, and lines that a full pipe
    can't take, are dropped and counted; the next line written carries the count as
    ``lines_dropped``. Warnings, errors and lines to be kept may overdraw the bucket by
    :data:`BURST_LINES`.

    :param fd: File descriptor to write to; a pipe is made non-blocking.
    :param now: Source of steady seconds.
    """

    def __init__(self, fd: int = 1, now: t.Callable[[], float] = read_steady_s) -> None:
        self._fd = fd
        self._now = now
        self._tokens = float(BURST_LINES)
        self._refilled_at = now()
        self._unwritten = b""
        self.dropped_lines = 0
        if stat.S_ISFIFO(os.fstat(fd).st_mode):
            os.set_blocking(fd, False)

    def msg(self, message: str, is_kept: bool = False) -> None:
        """Write or drop a line below the level of warnings.

        :param is_kept: Whether the line may overdraw the bucket like a warning.
        """
        self._write(message, -float(BURST_LINES) if is_kept else 0.0)

    info = debug = msg

    def warning(self, message: str, is_kept: bool = True) -> None:
        """Write or drop a line of a warning or an error."""
        self._write(message, -float(BURST_LINES))

    error = critical = failure = warning

    def admits(self, is_kept: bool) -> bool:
        """Whether a line could be written now; one that could not counts as dropped.

        :param is_kept: Whether the line may overdraw the bucket.
        """
        return self._admits(-float(BURST_LINES) if is_kept else 0.0)

    def _admits(self, min_tokens: float) -> bool:
        self._refill()
        if self._tokens <= min_tokens or not self._flush():
            self.dropped_lines += 1
            return False
        return True

    def _write(self, message: str, min_tokens: float) -> None:
        if not self._admits(min_tokens):
            return
        self._tokens -= 1
        if self.dropped_lines:
            message = f'{message[:-1]}, "lines_dropped": {self.dropped_lines}}}'
            self.dropped_lines = 0
        self._unwritten = message.encode() + b"\n"
        self._flush()

    def _refill(self) -> None:
        now = self._now()
        added = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(float(BURST_LINES), self._tokens + added)
        self._refilled_at = now

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether nothing remains."""
        if not self._unwritten:
            return True
        try:
            written = os.write(self._fd, self._unwritten)
        except BlockingIOError:
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def drop_excess(
    logger: t.Any, method: str, fields: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    """Drop a line that the writer would drop, before it is rendered.

    :raises structlog.DropEvent: If the line is dropped.
    """
    is_kept = method not in ("info", "debug") or fields.get("number") in KEPT_NUMBERS
    if not logger.admits(is_kept):
        raise structlog.DropEvent
    return fields


def _make_renderer() -> structlog.typing.Processor:
    """Return a processor that renders a line as JSON and says whether to keep it."""
    render = structlog.processors.JSONRenderer(default=str)

    def process(
        logger: t.Any, method: str, fields: structlog.typing.EventDict
    ) -> tuple[tuple[t.Any], dict[str, bool]]:
        is_kept = fields.get("number") in KEPT_NUMBERS
        return (render(logger, method, fields),), {"is_kept": is_kept}

    return process


def make_processors() -> list[structlog.typing.Processor]:
    """Return the processors that turn an event into a call of the writer."""
    return [
        drop_excess,
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        _make_renderer(),
    ]


def configure_logging(entry: str) -> None:
    """Write events to standard output as JSON, one per line.

    :param entry: Name of the entry, added to each event.
    """
    writer = BoundedWriter()
    structlog.configure(
        processors=make_processors(),
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(entry=entry)
