"""Computes the burn of error budgets from the ledgers of all entries."""

import datetime as dt
import typing as t

from attrs import frozen

from ..codec import from_json
from ..ledger import BUCKET_LENGTH, Bucket
from ..mailbox import Mailbox
from ..model import Inventory
from ..store import BURN_PREFIX
from ..tasks.store import StoreCall, read_prefix

#: Windows over which burn is reported, each ending now.
WINDOWS = (
    dt.timedelta(minutes=5),
    dt.timedelta(hours=1),
    dt.timedelta(hours=6),
    dt.timedelta(days=3),
)


@frozen
class Burn:
    """Burn of the error budget of one kind over one window.

    :param objective: Share of requests that must be good, from 0 to 1.
    :param rate: Share of bad requests as a multiple of the share that the objective
        allows; at 1 the window's budget is used up.
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
    """Burn of each kind over each window.

    :param at: When the entry that was asked computed it.
    """

    at: dt.datetime
    rows: tuple[Burn, ...]


def compute_burn(
    buckets: t.Collection[Bucket],
    inventory: Inventory,
    now: dt.datetime,
    windows: t.Sequence[dt.timedelta] = WINDOWS,
) -> tuple[Burn, ...]:
    """Return the burn of each kind over each window, sorted by upstream and kind.

    A bucket counts in full if any part of it is in the window.
    """
    rows = []
    for kind in sorted(inventory.kinds.values(), key=lambda k: (k.upstream, k.name)):
        for window in windows:
            good, bad = _count_requests(buckets, kind.upstream, kind.name, now - window)
            rate = burn_rate(good, bad, kind.objective)
            burn = Burn(
                kind.upstream, kind.name, window, kind.objective, good, bad, rate
            )
            rows.append(burn)
    return tuple(rows)


def burn_rate(good: int, bad: int, objective: float) -> float:
    """Return the share of bad requests as a multiple of the share allowed.

    The rate is 0 if there were no requests. ``objective`` must be less than 1.

    >>> round(burn_rate(998, 2, 0.999), 6)
    2.0
    """
    total = good + bad
    if not total:
        return 0.0
    return (bad / total) / (1.0 - objective)


def _count_requests(
    buckets: t.Iterable[Bucket], upstream: str, kind: str, since: dt.datetime
) -> tuple[int, int]:
    good = bad = 0
    for bucket in buckets:
        if bucket.start + BUCKET_LENGTH <= since:
            continue
        for tally in bucket.tallies:
            if tally.upstream == upstream and tally.kind == kind:
                good += tally.good
                bad += tally.bad
    return good, bad


async def read_buckets(box: Mailbox[StoreCall]) -> tuple[Bucket, ...]:
    """Return the stored buckets of all entries."""
    kvs, _ = await read_prefix(box, BURN_PREFIX)
    return tuple(from_json(kv.value, Bucket) for kv in kvs)
