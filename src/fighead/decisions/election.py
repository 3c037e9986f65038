"""Election of the scheduling entry and the time limit of its authority."""

import datetime as dt

import xxhash
from attrs import frozen

#: Time to live of the leader key. The platform's minimum is 1 s, and a response may
#: take 60 times its usual 4 ms.
LEADER_TTL_S = 2
#: Interval between renewals; three may fail before the leader key expires.
RENEWAL_INTERVAL = dt.timedelta(milliseconds=500)
#: Delay between successive entries in claiming a free leader key.
CANDIDACY_STEP = dt.timedelta(milliseconds=60)


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


def candidacy_delay(term: int, own_name: str, members: tuple[str, ...]) -> dt.timedelta:
    """Return how long this entry waits before it claims a free leader key.

    The order of the entries depends on the term, so that a faulty entry is not
    always the first candidate.
    """
    ranked = sorted(
        {*members, own_name},
        key=lambda name: xxhash.xxh64_intdigest(f"{term}|{name}".encode()),
    )
    return CANDIDACY_STEP * ranked.index(own_name)


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
