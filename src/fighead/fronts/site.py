"""A site that bounds the size and the time of requests."""

import typing as t

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

#: Time after which a connection without traffic is closed.
IDLE_TIMEOUT_S = 75
TOO_LARGE = b"HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n\r\n"


def make_site(resource: t.Any, max_body_bytes: int) -> Site:
    """Return a site that cuts off bodies that are declared too large.

    A body a little above the limit reaches the front, which answers with a
    typed error; one of more than twice the limit is not read at all.
    """

    class LimitedRequest(Request):
        def gotLength(self, length: int | None) -> None:  # noqa: N802
            channel: HTTPChannel = self.channel
            if length is not None and length > 2 * max_body_bytes:
                channel.transport.write(TOO_LARGE)
                channel.transport.loseConnection()
                return
            super().gotLength(length)

    site = Site(resource, timeout=IDLE_TIMEOUT_S)
    site.requestFactory = LimitedRequest
    return site
