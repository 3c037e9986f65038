"""The report on service-level burn, and the ledger it is made from.

Each entry counts good and bad requests in buckets of time. Closed buckets are
written to the store, so the report covers entries that are gone.
"""

import datetime as dt
import enum
import typing as t

from attrs import define, evolve, field, frozen

from ..clock import Clock
from ..model import Inventory

#: Length of one bucket.
BUCKET = dt.timedelta(minutes=5)
#: Windows over which burn is reported.
WINDOWS = (
    dt.timedelta(minutes=5),
    dt.timedelta(hours=1),
    dt.timedelta(hours=6),
    dt.timedelta(days=3),
)


class Verdict(enum.Enum):
    """Whether a request met its objective."""

    GOOD = "good"
    BAD = "bad"

    @classmethod
    def of(cls, is_good: bool) -> "Verdict":
        """Return the verdict on one request."""
        return cls.GOOD if is_good else cls.BAD


@frozen
class Tally:
    """Good and bad requests of one kind of work."""

    upstream: str
    kind: str
    good: int = 0
    bad: int = 0


@frozen
class Bucket:
    """The tallies of one entry over one bucket of time."""

    entry: str
    start: dt.datetime
    tallies: tuple[Tally, ...] = ()


@frozen
class Burn:
    """Burn of the error budget of one kind over one window.

    :param rate: Budget used, as a multiple of what may be used over the window.
    """

    upstream: str
    kind: str
    window: dt.timedelta
    objective: float
    good: int
    bad: int
    rate: float


@frozen
class BurnReport:
    """Burn of every kind over all windows, as told by one entry."""

    at: dt.datetime
    rows: tuple[Burn, ...]


@define(eq=False)
class BurnLedger:
    """Counts the requests of one entry.

    Closed buckets wait in :attr:`closed` until they are written.
    """

    entry: str
    clock: Clock
    _open: Bucket | None = None
    closed: list[Bucket] = field(factory=list)

    def note(self, upstream: str, kind: str, verdict: Verdict) -> None:
        """Count one request."""
        bucket = self.current()
        tallies = {(tally.upstream, tally.kind): tally for tally in bucket.tallies}
        tally = tallies.get((upstream, kind), Tally(upstream, kind))
        if verdict is Verdict.GOOD:
            tally = evolve(tally, good=tally.good + 1)
        else:
            tally = evolve(tally, bad=tally.bad + 1)
        tallies[upstream, kind] = tally
        self._open = evolve(bucket, tallies=tuple(tallies.values()))

    def current(self) -> Bucket:
        """Return the open bucket, closing one whose time is over."""
        start = bucket_start(self.clock.now())
        if self._open is not None and self._open.start != start:
            if self._open.tallies:
                self.closed.append(self._open)
            self._open = None
        if self._open is None:
            self._open = Bucket(self.entry, start)
        return self._open

    def close(self) -> None:
        """Close the open bucket early, on a planned stop."""
        bucket = self.current()
        if bucket.tallies:
            self.closed.append(bucket)
        self._open = None


def bucket_start(now: dt.datetime) -> dt.datetime:
    """Return the start of the bucket that ``now`` falls into."""
    seconds = BUCKET.total_seconds()
    return dt.datetime.fromtimestamp(now.timestamp() // seconds * seconds, dt.UTC)


def compute_burn(
    buckets: t.Collection[Bucket],
    inventory: Inventory,
    now: dt.datetime,
    windows: t.Sequence[dt.timedelta] = WINDOWS,
) -> tuple[Burn, ...]:
    """Return the burn of each kind over each window."""
    rows = []
    for kind in sorted(inventory.kinds.values(), key=lambda k: (k.upstream, k.name)):
        for window in windows:
            good, bad = _count(buckets, kind.upstream, kind.name, now - window)
            rate = burn_rate(good, bad, kind.objective)
            burn = Burn(
                kind.upstream, kind.name, window, kind.objective, good, bad, rate
            )
            rows.append(burn)
    return tuple(rows)


def burn_rate(good: int, bad: int, objective: float) -> float:
    """Return the share of bad requests as a multiple of what is allowed.

    >>> round(burn_rate(998, 2, 0.999), 6)
    2.0
    """
    total = good + bad
    if not total:
        return 0.0
    return (bad / total) / (1.0 - objective)


def _count(
    buckets: t.Iterable[Bucket], upstream: str, kind: str, since: dt.datetime
) -> tuple[int, int]:
    good = bad = 0
    for bucket in buckets:
        if bucket.start + BUCKET <= since:
            continue
        for tally in bucket.tallies:
            if tally.upstream == upstream and tally.kind == kind:
                good += tally.good
                bad += tally.bad
    return good, bad
