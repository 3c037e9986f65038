"""Decides when to ask a peer for its newer configuration.

A configuration of a large deployment is large, and the leader's announcements reach
all entries at once. An entry that reaches the store usually has the version from there
a moment later, so only one that stays behind, or is cut off from the store, asks.
"""

import datetime as dt

from attrs import define

#: How long an entry that reaches the store waits for its own watch. It leaves half of
#: the shortest time in which a configuration has to be in force to the peer's answer.
WATCH_TIME = dt.timedelta(seconds=1)
#: Time in which a peer's answer may be under way, so that it is not asked for again.
REPEAT_INTERVAL = dt.timedelta(seconds=2)


@define(eq=False)
class ConfigRequest:
    """What is known of newer versions that peers have announced.

    :param version: Newest version announced.
    :param noticed_at: When an announcement first showed that the entry is behind.
    :param asked_at: When a peer was last asked for its configuration.
    """

    version: int = 0
    noticed_at: dt.datetime | None = None
    asked_at: dt.datetime | None = None


def must_ask(
    request: ConfigRequest,
    announced: int,
    own: int,
    is_store_reached: bool,
    now: dt.datetime,
) -> bool:
    """Whether to ask the sender of an announcement for its configuration now.

    Updates ``request``.

    :param announced: Version of the sender's configuration.
    :param own: Version of the own configuration; 0 if there is none.
    """
    if announced <= own:
        if request.version <= own:
            request.noticed_at = None
        return False
    request.version = max(request.version, announced)
    request.noticed_at = request.noticed_at or now
    if is_store_reached and now - request.noticed_at < WATCH_TIME:
        return False
    if request.asked_at is not None and now - request.asked_at < REPEAT_INTERVAL:
        return False
    request.asked_at = now
    return True
