"""Tells instances that fail everything from jobs that fail everywhere.

An instance that fails what it starts looks idle and draws all work, so it is
judged by failures of distinct jobs. A job is judged by failures on distinct
instances that are not themselves under suspicion.
"""

import datetime as dt
import typing as t

from attrs import evolve, frozen

#: Endings of distinct jobs that are remembered for an instance.
REMEMBERED_ENDINGS = 10
#: Failures of distinct jobs after which an instance may be quarantined.
FAILURES_TO_QUARANTINE = 3
#: Share of failures among remembered endings that quarantines an instance.
FAILING_SHARE = 0.8
#: Pause before a quarantined instance is tried with one task.
FIRST_PROBE_DELAY = dt.timedelta(seconds=5)
LONGEST_PROBE_DELAY = dt.timedelta(minutes=5)
#: Distinct instances on which a job may fail before it is parked.
FAILURES_TO_PARK = 3
#: Largest share of an upstream's instances in quarantine at once.
LARGEST_QUARANTINED_SHARE = 1 / 3


@frozen
class _Outcome:
    job: str
    failed: bool


@frozen
class Health:
    """Recent endings on one instance.

    :param probe_at: When the quarantined instance may be tried; ``None`` when
        it is not in quarantine.
    """

    outcomes: tuple[_Outcome, ...] = ()
    probe_at: dt.datetime | None = None
    probe_delay: dt.timedelta = FIRST_PROBE_DELAY

    @property
    def is_quarantined(self) -> bool:
        """Whether the instance gets nothing but probes."""
        return self.probe_at is not None

    @property
    def failures(self) -> int:
        """Number of remembered failures."""
        return sum(outcome.failed for outcome in self.outcomes)


def record_ending(health: Health, job: str, failed: bool, now: dt.datetime) -> Health:
    """Take in the ending of ``job``; one job counts once."""
    if not failed and health.is_quarantined:
        return Health()
    kept = tuple(outcome for outcome in health.outcomes if outcome.job != job)
    outcomes = (*kept, _Outcome(job, failed))[-REMEMBERED_ENDINGS:]
    health = evolve(health, outcomes=outcomes)
    if not failed:
        return health
    if health.is_quarantined:
        delay = min(health.probe_delay * 2, LONGEST_PROBE_DELAY)
        return evolve(health, probe_delay=delay, probe_at=now + delay)
    if _fails_most(health):
        return evolve(health, probe_at=now + health.probe_delay)
    return health


def may_probe(health: Health, now: dt.datetime) -> bool:
    """Whether a quarantined instance may be tried with one task."""
    return health.probe_at is not None and now >= health.probe_at


def note_probe(health: Health, now: dt.datetime) -> Health:
    """Note that a probe was sent, so that the next one waits."""
    return evolve(health, probe_at=now + health.probe_delay)


def limit_quarantine(
    states: t.Mapping[str, Health],
    total: int,
    share: float = LARGEST_QUARANTINED_SHARE,
) -> frozenset[str]:
    """Return the instances to avoid, never more than ``share`` of ``total``.

    If more are under suspicion, those with the most failures are avoided.
    """
    suspects = [name for name, health in states.items() if health.is_quarantined]
    most = int(total * share)
    suspects.sort(key=lambda name: (-states[name].failures, name))
    return frozenset(suspects[:most])


def should_park(failed_on: t.Sequence[str], suspects: t.Container[str]) -> bool:
    """Whether a job that failed on these instances is itself at fault."""
    trusted = {name for name in failed_on if name not in suspects}
    return len(trusted) >= FAILURES_TO_PARK


def _fails_most(health: Health) -> bool:
    failures = health.failures
    if failures < FAILURES_TO_QUARANTINE:
        return False
    return failures >= FAILING_SHARE * len(health.outcomes)
