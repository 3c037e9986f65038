"""The ledger of good and bad requests that the burn report is made from.

Each entry counts requests in buckets of time. Closed buckets are written to the
store, so the report covers entries that are gone.
"""

import datetime as dt
import enum

from attrs import define, evolve, field, frozen

from .clock import Clock
from .codec import to_json
from .store import BURN, Put

#: Length of one bucket.
BUCKET = dt.timedelta(minutes=5)


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


def bucket_put(bucket: Bucket, lease: int) -> Put:
    """Return the write that keeps a bucket until ``lease`` ends."""
    start = int(bucket.start.timestamp())
    return Put(f"{BURN}{start:012d}/{bucket.entry}", to_json(bucket), lease)
