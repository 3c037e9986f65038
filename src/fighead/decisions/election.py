"""Election of the scheduling entry."""

import datetime as dt
import math
import re
import typing as t

import xxhash
from attrs import evolve, field, frozen
from attrs.validators import le

from ..model import Capacity

#: Time to live of the leader key. The platform's minimum is 1 s, and a response may
#: take 60 times its usual 4 ms.
LEADER_TTL_S = 2
#: Interval between renewals; three may fail before the leader key expires.
RENEWAL_INTERVAL = dt.timedelta(milliseconds=500)
#: Delay between successive entries in claiming a free leader key.
CANDIDACY_STEP = dt.timedelta(milliseconds=60)
#: Delay of the last entry. It limits what the keys of entries cost that are gone for
#: good: such an entry that didn't stop as planned stays a member.
MAX_CANDIDACY_DELAY = dt.timedelta(seconds=6)
#: Ratio of capacities up to which candidates are equal. Machines of one size differ a
#: little in what they provide.
EQUAL_CAPACITY_RATIO = 1.5
#: Ratio of capacities from which a leader hands over to a peer. It exceeds
#: :data:`EQUAL_CAPACITY_RATIO`, so that the peer is a candidate before the leader.
HANDOVER_RATIO = 2.0
#: How long a peer must report that it could lead before a leader hands over to it. A
#: peer notices within this time that it is cut off from the store.
HANDOVER_EVIDENCE = dt.timedelta(seconds=3)
#: Longest interval between two reports of a peer that count as uninterrupted. A busy
#: leader announces itself late.
MAX_REPORT_INTERVAL = dt.timedelta(seconds=3)
#: How long an entry is no candidate after it handed over. A leader key that could not
#: be deleted expires within this time.
HANDOVER_YIELD = dt.timedelta(seconds=LEADER_TTL_S)
#: Interval between two hand-overs by the same entry.
HANDOVER_INTERVAL = dt.timedelta(seconds=10)
#: How long an entry reports that it could not lead after it failed to become or remain
#: the leader. Smaller entries lead meanwhile, and each of them might hand over.
FAILURE_PAUSE = dt.timedelta(seconds=20)

#: Largest term: messages to peers hold whole numbers of 64 bits.
MAX_TERM = 2**63 - 1
#: Text of a term that an entry stored.
_STORED_TERM = re.compile(r"[0-9]{1,19}")

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
    term: int = field(validator=le(MAX_TERM))
    fence: int = 0
    nonce: str = ""


def decode_term(text: str) -> int:
    """Return a stored term; 0 if it can't be read or leaves no later term.

    >>> decode_term("7"), decode_term("odd")
    (7, 0)
    """
    term = int(text) if _STORED_TERM.fullmatch(text) else 0
    return term if term < MAX_TERM else 0


def candidacy_delay(term: int, own_name: str, capacities: Capacities) -> dt.timedelta:
    """Return how long this entry waits before it claims a free leader key.

    :param capacities: Capacities of all entries, this one included.
    """
    step = min(CANDIDACY_STEP, MAX_CANDIDACY_DELAY / len(capacities))
    return step * rank_candidates(term, capacities).index(own_name)


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


@frozen
class Availability:
    """Interval in which a peer has reported without interruption that it could lead."""

    since: dt.datetime
    until: dt.datetime


def add_report(
    known: Availability | None, can_lead: bool, now: dt.datetime
) -> Availability | None:
    """Return the availability of a peer after its report at ``now``."""
    if not can_lead:
        return None
    if known is None or now - known.until > MAX_REPORT_INTERVAL:
        return Availability(now, now)
    return evolve(known, until=now)


def is_successor(
    own_name: str, peer: str, capacities: Capacities, availability: Availability
) -> bool:
    """Whether the leader ``own_name`` should hand over to ``peer``.

    No entry hands over to one whose capacity is not known.
    """
    if peer not in capacities or not capacities[peer].is_known:
        return False
    shares = find_shares(capacities)
    return (
        shares[peer] >= HANDOVER_RATIO * shares[own_name]
        and availability.until - availability.since >= HANDOVER_EVIDENCE
    )


def is_newer(known: Leader | None, reported: Leader) -> bool:
    """Whether ``reported`` was elected after ``known``, or no leader is known."""
    return known is None or (reported.term, reported.fence) > (known.term, known.fence)
