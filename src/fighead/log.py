"""Numbered log events; docs/events.md is their catalogue."""

import enum
import typing as t

import structlog


class Event(enum.Enum):
    """Everything that fighead logs: number, level and text."""

    ENTRY_STARTED = (1001, "info", "The entry started.")
    ENTRY_DRAINING = (1002, "info", "The entry takes no new work.")
    ENTRY_STOPPED = (1003, "info", "The entry stopped.")
    ENTRY_NOT_READY = (
        1004,
        "warning",
        "The entry takes no requests.",
    )
    ENTRY_READY = (1005, "info", "The entry takes requests.")
    LEASE_GRANTED = (2001, "info", "The store granted a lease.")
    LEASE_LOST = (2002, "warning", "The lease lapsed; claims are made anew.")
    STORE_AWAY = (2003, "warning", "The store is not reached.")
    STORE_BACK = (2004, "info", "The store is reached again.")
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
    INSTANCE_QUARANTINED = (3102, "warning", "An instance fails what it starts.")
    INSTANCE_RELEASED = (3103, "info", "An instance works again.")
    PEER_MESSAGE_REFUSED = (4001, "warning", "A peer's message can't be read.")
    REQUEST_FAILED = (4002, "error", "A request met an unexpected error.")

    @property
    def number(self) -> int:
        """Stable number of the event."""
        return self.value[0]

    @property
    def level(self) -> str:
        """Level at which the event is logged."""
        return self.value[1]

    @property
    def text(self) -> str:
        """What happened, in one sentence."""
        return self.value[2]


def log_event(event: Event, **fields: t.Any) -> None:
    """Log ``event``; fields must hold no secrets and no request bodies."""
    logger = structlog.get_logger()
    write = getattr(logger, event.level)
    write(event.text, number=event.number, event_name=event.name.lower(), **fields)


def configure(entry: str) -> None:
    """Send events to standard output as JSON, one a line."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(entry=entry)
