"""Quarantine of failing instances and parking of failing work.

An instance that fails its tasks at once looks idle and attracts further work. It
is quarantined if most of the distinct requests that ended on it failed, since
repeated failures of one request may be the fault of the request. Work is parked
if it failed on several distinct instances that are not quarantined.
"""

import datetime as dt
import typing as t

from attrs import evolve, frozen

#: Number of distinct requests whose last outcome is kept for each instance.
MAX_REMEMBERED_OUTCOMES = 10
#: Minimum number of distinct failed requests for a quarantine.
FAILURES_TO_QUARANTINE = 3
#: Minimum share of failures among the remembered outcomes for a quarantine.
QUARANTINE_FAILURE_SHARE = 0.8
#: Delay before the first probe of a quarantined instance; doubles with each probe
#: that fails.
INITIAL_PROBE_DELAY = dt.timedelta(seconds=5)
MAX_PROBE_DELAY = dt.timedelta(minutes=5)
#: Number of distinct instances, not quarantined, on whose failures work is parked.
FAILURES_TO_PARK = 3
#: Maximum share of an upstream's instances that may be in quarantine at once.
MAX_QUARANTINED_SHARE = 1 / 3


@frozen
class _Outcome:
    request_id: str
    failed: bool


@frozen
class Health:
    """Recent outcomes on one instance and its quarantine state.

    :param probe_at: When the next probe may be sent; ``None`` if the instance is
        not quarantined.
    :param probe_delay: Time between two probes.
    """

    outcomes: tuple[_Outcome, ...] = ()
    probe_at: dt.datetime | None = None
    probe_delay: dt.timedelta = INITIAL_PROBE_DELAY

    @property
    def is_quarantined(self) -> bool:
        """Whether the outcomes call for quarantine.

        :func:`select_quarantined` limits how many such instances are quarantined.
        """
        return self.probe_at is not None

    @property
    def failures(self) -> int:
        """Number of distinct requests whose remembered outcome is a failure."""
        return sum(outcome.failed for outcome in self.outcomes)


def record_ending(
    health: Health, request_id: str, failed: bool, now: dt.datetime
) -> Health:
    """Return the health after a request ended; only its last outcome counts.

    A success ends the quarantine and clears the outcomes; a failure in quarantine
    doubles the delay before the next probe.

    :param request_id: Id of the request, or of the work that it submitted.
    """
    if not failed and health.is_quarantined:
        return Health()
    others = tuple(
        outcome for outcome in health.outcomes if outcome.request_id != request_id
    )
    outcomes = (*others, _Outcome(request_id, failed))[-MAX_REMEMBERED_OUTCOMES:]
    health = evolve(health, outcomes=outcomes)
    if not failed:
        return health
    if health.is_quarantined:
        delay = min(health.probe_delay * 2, MAX_PROBE_DELAY)
        return evolve(health, probe_delay=delay, probe_at=now + delay)
    if _reaches_failure_share(health):
        return evolve(health, probe_at=now + health.probe_delay)
    return health


def may_probe(health: Health, now: dt.datetime) -> bool:
    """Whether a probe is due; ``False`` if the instance is not quarantined."""
    return health.probe_at is not None and now >= health.probe_at


def record_probe(health: Health, now: dt.datetime) -> Health:
    """Return the health after a probe was sent, with the next one delayed."""
    return evolve(health, probe_at=now + health.probe_delay)


def select_quarantined(
    health_by_instance: t.Mapping[str, Health],
    instance_count: int,
    max_share: float = MAX_QUARANTINED_SHARE,
) -> frozenset[str]:
    """Return the instances to treat as quarantined.

    If the limit is exceeded, those with the most failures are returned. Without a
    limit, a fault common to all instances would leave none to use.

    :param max_share: Maximum share of ``instance_count`` to return.
    """
    candidates = [
        name for name, health in health_by_instance.items() if health.is_quarantined
    ]
    max_count = int(instance_count * max_share)
    candidates.sort(key=lambda name: (-health_by_instance[name].failures, name))
    return frozenset(candidates[:max_count])


def should_park(failed_on: t.Sequence[str], quarantined: t.Container[str]) -> bool:
    """Whether work failed on enough instances that are not quarantined."""
    healthy = {name for name in failed_on if name not in quarantined}
    return len(healthy) >= FAILURES_TO_PARK


def _reaches_failure_share(health: Health) -> bool:
    failures = health.failures
    if failures < FAILURES_TO_QUARANTINE:
        return False
    return failures >= QUARANTINE_FAILURE_SHARE * len(health.outcomes)
