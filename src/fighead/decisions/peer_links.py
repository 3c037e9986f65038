"""Decides which connections to the port for other entries are closed.

The load that this is built for: strangers that open many connections there and send
nothing, or large messages without an end. Entries keep one connection to each other.
"""

import collections
import datetime as dt
import typing as t

from attrs import define

#: Connections from the address of a member: its own, and one of its earlier process.
LINKS_PER_MEMBER = 2
#: Connections of others that have sent no message yet, such as an entry that this one
#: doesn't know of. Each may hold one unfinished message of the largest size.
MAX_STRANGERS = 8
#: Connections in all, if the descriptors of the process are not known.
DEFAULT_MAX_LINKS = 200


@define(eq=False)
class PeerLink:
    """A connection that was accepted on the port for other entries.

    :param descriptor: Its file descriptor.
    :param address: IP address and port of its other end.
    :param is_proven: Whether a message of an entry has arrived on it.
    """

    descriptor: int
    address: tuple[str, int]
    opened_at: dt.datetime
    is_proven: bool = False


def choose_links_to_close(
    links: t.Collection[PeerLink],
    members_at: t.Mapping[str, int],
    max_strangers: int,
    max_links: int,
) -> list[PeerLink]:
    """Return the connections to close so that the others keep to the limits.

    Connections on which an entry has sent a message go last, and of the others the
    oldest go first.

    :param members_at: Number of members by IP address.
    :param max_strangers: Most connections that no member is known to have opened.
    :param max_links: Most connections in all; members may always have theirs.
    """
    spare = collections.Counter(
        {host: LINKS_PER_MEMBER * count for host, count in members_at.items()}
    )
    max_links = max(max_links, spare.total() + max_strangers)
    strangers = []
    for link in sorted(links, key=lambda link: link.opened_at, reverse=True):
        host = link.address[0]
        if not link.is_proven and spare[host] > 0:
            spare[host] -= 1
        elif not link.is_proven:
            strangers.append(link)
    chosen = strangers[max_strangers:]
    kept = [link for link in links if link not in chosen]
    kept.sort(key=lambda link: (link.is_proven, link.opened_at))
    return chosen + kept[: max(0, len(kept) - max_links)]
