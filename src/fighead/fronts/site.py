"""A Twisted site that limits request bodies and closes idle connections."""

import typing as t

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

#: Time after which an idle connection is closed.
IDLE_TIMEOUT_S = 75
TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\n\r\n"
)


def make_site(resource: t.Any, max_body_bytes: int) -> Site:
    """Return a site that rejects requests by their declared body length.

    A body of more than twice ``max_body_bytes`` is not read: status 413 is sent and
    the connection closed. A smaller one reaches the front, which checks the exact
    limit and answers with an error in its own encoding.
    """

    class LimitedRequest(Request):
        def gotLength(self, length: int | None) -> None:  # noqa: N802
            channel: HTTPChannel = self.channel
            if length is not None and length > 2 * max_body_bytes:
                channel.transport.write(TOO_LARGE_RESPONSE)
                channel.transport.loseConnection()
                return
            super().gotLength(length)

    site = Site(resource, timeout=IDLE_TIMEOUT_S)
    site.requestFactory = LimitedRequest
    return site
