"""Requests whose bodies stay in memory, within limits."""

import io
import typing as t
import urllib.parse

from twisted.web.server import Request

from ..decisions.intake import Reason, exceeds_limit

BAD_REQUEST = 400


class FrontRequest(Request):
    """A request that can be refused while it is served.

    A body of more than twice ``max_body_bytes`` is refused with status 413 as soon as
    that is known, and the connection closed. A smaller one reaches the front, which
    checks the exact limit and answers with an error in its own encoding.
    """

    #: Maximum length of a body in bytes.
    max_body_bytes: int
    #: Set by a front; ends the work on the request, which is then answered at once.
    on_refusal: t.Callable[[], None] | None = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a declared length that is far over the limit; keep others in memory.

        Twisted keeps large bodies in temporary files, but the machines have no disk.
        """
        self.content = io.BytesIO()
        # Twisted would parse the body of a form before the front checks its length.
        self.requestHeaders.removeHeader(b"Content-Type")
        self.channel.note_head(self)
        if length is not None and length > 2 * self.max_body_bytes:
            self.channel.refuse_request(Reason.BODY_SIZE)

    def charge_work(self, size: int) -> bool:
        """Charge the connection with ``size`` bytes until the request is answered.

        Return whether the process has the memory to spare.
        """
        return self.channel.charge_work(size)

    def process(self) -> None:
        """Answer a request whose path or host is not UTF-8; pass on all others.

        Klein would log the stack of each, and keep it until the next garbage
        collection.
        """
        path = urllib.parse.unquote_to_bytes(self.path)
        if _is_utf8(path) and _is_utf8(self.getRequestHostname()):
            super().process()
            return
        self.setResponseCode(BAD_REQUEST)
        self.finish()

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies alone: no front uses them, and parsed they take far more."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, unless the request has been refused."""
        if self.channel.is_refused:
            return
        super().handleContentChunk(data)
        if exceeds_limit(
            self.content.tell(), self.channel.received_bytes, self.max_body_bytes
        ):
            self.channel.refuse_request(Reason.BODY_SIZE)


def _is_utf8(data: bytes) -> bool:
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True
