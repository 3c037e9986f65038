"""Circuit breaker for calls to the key-value service."""

import datetime as dt

from attrs import evolve, frozen

#: Number of consecutive failures after which the breaker opens.
FAILURES_TO_OPEN = 3
#: Mean time between probes while the breaker is open.
PROBE_INTERVAL = dt.timedelta(milliseconds=500)


@frozen
class Breaker:
    """State of a circuit breaker.

    :param failures: Number of consecutive failures.
    :param next_probe_at: Earliest time of the next probe; ``None`` if no call has
        failed since the last success.
    """

    failures: int = 0
    next_probe_at: dt.datetime | None = None

    @property
    def is_open(self) -> bool:
        """Whether all calls but probes are rejected without being sent."""
        return self.failures >= FAILURES_TO_OPEN


def record_success(breaker: Breaker) -> Breaker:
    """Close the breaker and reset the count of failures."""
    return Breaker() if breaker.failures else breaker


def record_failure(breaker: Breaker, now: dt.datetime, jitter: float) -> Breaker:
    """Count a failure and schedule the next probe.

    :param jitter: Random number in [0, 1), so that entries don't probe in step.
        The delay is :data:`PROBE_INTERVAL` times 0.5 to 1.5.
    """
    return Breaker(breaker.failures + 1, now + PROBE_INTERVAL * (0.5 + jitter))


def may_send(breaker: Breaker, now: dt.datetime) -> bool:
    """Whether a call may be sent now; if the breaker is open, it is a probe."""
    if not breaker.is_open:
        return True
    return breaker.next_probe_at is not None and now >= breaker.next_probe_at


def reserve_probe(breaker: Breaker, now: dt.datetime) -> Breaker:
    """Block further probes for one interval, as one is about to be sent.

    Has no effect while the breaker is closed.
    """
    if not breaker.is_open:
        return breaker
    return evolve(breaker, next_probe_at=now + PROBE_INTERVAL)
