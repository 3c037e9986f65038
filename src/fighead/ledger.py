"""Counts good and bad requests for the report on service-level burn.

Each entry counts its requests in time buckets. Closed buckets are written to the
store, so the report also covers entries that have stopped.
"""

import datetime as dt
import enum

from attrs import define, evolve, field, frozen

from .clock import Clock
from .codec import to_json
from .store import BURN_PREFIX, Put

#: Length of a time bucket.
BUCKET_LENGTH = dt.timedelta(minutes=5)


class Verdict(enum.Enum):
    """Whether a request counts as success or as failure against the objective."""

    GOOD = "good"
    BAD = "bad"

    @classmethod
    def of(cls, is_good: bool) -> "Verdict":
        """Return ``GOOD`` if the request was successful, else ``BAD``."""
        return cls.GOOD if is_good else cls.BAD


@frozen
class Tally:
    """Counts of good and bad requests of one kind of work."""

    upstream: str
    kind: str
    good: int = 0
    bad: int = 0


@frozen
class Bucket:
    """Counts of one entry in one time bucket.

    :param start: Start of the bucket, a multiple of :data:`BUCKET_LENGTH` since the
        Unix epoch.
    :param tallies: One for each kind of work that was requested.
    """

    entry: str
    start: dt.datetime
    tallies: tuple[Tally, ...] = ()


@define(eq=False)
class BurnLedger:
    """Counts the requests of one entry in time buckets.

    :param closed: Closed buckets, oldest first, until the owner has written and
        removed them.
    """

    entry: str
    clock: Clock
    _open: Bucket | None = None
    closed: list[Bucket] = field(factory=list)

    def count(self, upstream: str, kind: str, verdict: Verdict) -> None:
        """Count one request in the current bucket."""
        bucket = self.current_bucket()
        tallies = {(tally.upstream, tally.kind): tally for tally in bucket.tallies}
        tally = tallies.get((upstream, kind), Tally(upstream, kind))
        if verdict is Verdict.GOOD:
            tally = evolve(tally, good=tally.good + 1)
        else:
            tally = evolve(tally, bad=tally.bad + 1)
        tallies[upstream, kind] = tally
        self._open = evolve(bucket, tallies=tuple(tallies.values()))

    def current_bucket(self) -> Bucket:
        """Return the bucket of the present time.

        An earlier bucket is closed; an empty one is dropped instead.
        """
        start = bucket_start(self.clock.now())
        if self._open is not None and self._open.start != start:
            if self._open.tallies:
                self.closed.append(self._open)
            self._open = None
        if self._open is None:
            self._open = Bucket(self.entry, start)
        return self._open

    def close_bucket(self) -> None:
        """Close the current bucket before its end, for a planned stop."""
        bucket = self.current_bucket()
        if bucket.tallies:
            self.closed.append(bucket)
        self._open = None


def bucket_start(now: dt.datetime) -> dt.datetime:
    """Return the start of the bucket that contains ``now``."""
    seconds = BUCKET_LENGTH.total_seconds()
    return dt.datetime.fromtimestamp(now.timestamp() // seconds * seconds, dt.UTC)


def make_bucket_write(bucket: Bucket, lease: int) -> Put:
    """Return the write that stores a bucket until its lease expires.

    :param lease: Id of the lease.
    """
    start = int(bucket.start.timestamp())
    return Put(f"{BURN_PREFIX}{start:012d}/{bucket.entry}", to_json(bucket), lease)
