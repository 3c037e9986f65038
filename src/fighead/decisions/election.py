"""Which entry schedules, and for how long it may act."""

import datetime as dt

import xxhash
from attrs import frozen

#: Life of the leader's key without renewal: the least that the platform grants
#: is 1 s, and an answer may take 60 times its usual 4 ms.
LEADER_TTL_S = 2
#: Pause between renewals: three may be lost within the key's life.
RENEWAL_INTERVAL = dt.timedelta(milliseconds=500)
#: Head start of each entry over the next one when the key is free.
STANDING_STEP = dt.timedelta(milliseconds=60)


@frozen
class Leader:
    """Who schedules.

    :param term: Rises with each election.
    :param fence: Revision of the leader's key, sent with each order.
    :param nonce: Identity of the process that was elected.
    """

    name: str
    term: int
    fence: int = 0
    nonce: str = ""


def standing_delay(term: int, me: str, members: tuple[str, ...]) -> dt.timedelta:
    """Return how long to wait for entries that stand before this one.

    The order differs by term, so that one bad entry does not stay the first.
    """
    ranked = sorted(
        {*members, me},
        key=lambda name: xxhash.xxh64_intdigest(f"{term}|{name}".encode()),
    )
    return STANDING_STEP * ranked.index(me)


def is_newer(known: Leader | None, heard: Leader) -> bool:
    """Whether ``heard`` was elected after ``known``."""
    return known is None or (heard.term, heard.fence) > (known.term, known.fence)


def may_act(
    now: dt.datetime, confirmed_at: dt.datetime, authority: dt.timedelta
) -> bool:
    """Whether a leader last confirmed at ``confirmed_at`` may still give orders."""
    return now - confirmed_at < authority
