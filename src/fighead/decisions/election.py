"""Election of the scheduling entry and the time limit of its authority."""

import datetime as dt
import math
import typing as t

import xxhash
from attrs import frozen

from ..model import Capacity

#: Time to live of the leader key. The platform's minimum is 1 s, and a response may
#: take 60 times its usual 4 ms.
LEADER_TTL_S = 2
#: Interval between renewals; three may fail before the leader key expires.
RENEWAL_INTERVAL = dt.timedelta(milliseconds=500)
#: Delay between successive entries in claiming a free leader key.
CANDIDACY_STEP = dt.timedelta(milliseconds=60)
#: Ratio of capacities up to which candidates are equal. Machines of one size differ a
#: little in what they provide.
EQUAL_CAPACITY_RATIO = 1.5

#: What each entry's machine provides, by name of the entry.
Capacities = t.Mapping[str, Capacity]


@frozen
class Leader:
    """The entry that schedules, and the election that chose it.

    :param term: Election number, increasing.
    :param fence: Store revision of the leader key, from which order fences are derived.
    :param nonce: Identity of the elected process.
    """

    name: str
    term: int
    fence: int = 0
    nonce: str = ""


def candidacy_delay(term: int, own_name: str, capacities: Capacities) -> dt.timedelta:
    """Return how long this entry waits before it claims a free leader key.

    :param capacities: Capacities of all entries, this one included.
    """
    return CANDIDACY_STEP * rank_candidates(term, capacities).index(own_name)


def rank_candidates(term: int, capacities: Capacities) -> list[str]:
    """Return the names of the entries in the order in which they may be elected.

    Entries of larger capacity come first. The order of equal ones depends on the
    term, so that a faulty entry is not always the first candidate.

    >>> rank_candidates(1, {"a": Capacity(0.3, 10), "b": Capacity(2, 200)})
    ['b', 'a']
    """
    ranks = _rank_shares(find_shares(capacities))
    return sorted(
        capacities,
        key=lambda name: (
            ranks[name],
            xxhash.xxh64_intdigest(f"{term}|{name}".encode()),
        ),
    )


def find_shares(capacities: Capacities) -> dict[str, float]:
    """Return the capacity of each entry as a share of the largest.

    The scarcer of processor and link counts. What is unknown counts as the largest.

    >>> find_shares({"a": Capacity(1, 100), "b": Capacity(2, 10)})
    {'a': 0.5, 'b': 0.1}
    """
    max_cores = max((c.processor_cores or 0.0 for c in capacities.values()), default=0)
    max_link = max((c.link_mbit_s or 0.0 for c in capacities.values()), default=0)
    return {
        name: min(
            _find_share(capacity.processor_cores, max_cores),
            _find_share(capacity.link_mbit_s, max_link),
        )
        for name, capacity in capacities.items()
    }


def _find_share(value: float | None, maximum: float) -> float:
    return value / maximum if value else 1.0


def _rank_shares(shares: t.Mapping[str, float]) -> dict[str, int]:
    """Return ranks from 0; the shares of a rank differ by at most the equal ratio."""
    ranks: dict[str, int] = {}
    rank, largest = -1, math.inf
    for name in sorted(shares, key=lambda name: shares[name], reverse=True):
        if largest > shares[name] * EQUAL_CAPACITY_RATIO:
            rank, largest = rank + 1, shares[name]
        ranks[name] = rank
    return ranks


def is_newer(known: Leader | None, reported: Leader) -> bool:
    """Whether ``reported`` was elected after ``known``, or no leader is known."""
    return known is None or (reported.term, reported.fence) > (known.term, known.fence)


def may_act(
    now: dt.datetime, confirmed_at: dt.datetime, authority_timeout: dt.timedelta
) -> bool:
    """Whether a leader last confirmed at ``confirmed_at`` may still send orders.

    :param authority_timeout: How long it may act without another confirmation.
    """
    return now - confirmed_at < authority_timeout
