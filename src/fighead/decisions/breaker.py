"""Circuit breaker for calls to the key-value service."""

import datetime as dt

from attrs import evolve, frozen

#: Failures in a row after which calls are rejected without being sent.
FAILURES_TO_OPEN = 3
#: Pause between probes while the breaker is open.
PROBE_INTERVAL = dt.timedelta(milliseconds=500)


@frozen
class Breaker:
    """Failures in a row, and when the next probe may be sent."""

    failures: int = 0
    next_probe_at: dt.datetime | None = None

    @property
    def is_open(self) -> bool:
        """Whether calls are rejected without being sent."""
        return self.failures >= FAILURES_TO_OPEN


def record_success(breaker: Breaker) -> Breaker:
    """Close the breaker."""
    return Breaker() if breaker.failures else breaker


def record_failure(breaker: Breaker, now: dt.datetime, jitter: float) -> Breaker:
    """Count a failure; ``jitter`` in [0, 1) spreads the probes of many entries."""
    return Breaker(breaker.failures + 1, now + PROBE_INTERVAL * (0.5 + jitter))


def may_send(breaker: Breaker, now: dt.datetime) -> bool:
    """Whether a call may be sent now, as a probe if the breaker is open."""
    if not breaker.is_open:
        return True
    return breaker.next_probe_at is not None and now >= breaker.next_probe_at


def reserve_probe(breaker: Breaker, now: dt.datetime) -> Breaker:
    """Note that a probe is on its way, so that no second one is sent."""
    if not breaker.is_open:
        return breaker
    return evolve(breaker, next_probe_at=now + PROBE_INTERVAL)
