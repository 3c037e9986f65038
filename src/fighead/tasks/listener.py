"""The task that owns a listening port and the connections accepted on it."""

import typing as t

from attrs import define, field, frozen
from twisted.web.server import Site

from ..clock import Clock
from ..fronts.site import FrontChannel, make_site
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages


@frozen
class StopAccepting:
    """Closes the port. Connections stay open, and requests on them are served."""


@define(eq=False)
class ListenerTask:
    """Owns a port of a front, and its connections until they are closed.

    :param listen: Listens with a site and returns the port.
    :param resource: Root resource of the front.
    :param max_body_bytes: Maximum length of a request's body.
    :param answered: Number of answers so far.
    """

    clock: Clock
    listen: t.Callable[[Site], t.Any]
    resource: t.Any
    max_body_bytes: int
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("listener"))
    answered: int = 0
    _port: t.Any = None
    _channels: set[FrontChannel] = field(factory=set)
    _is_stopping: bool = False

    def start(self) -> None:
        """Listen, before the task runs.

        :raises CannotListenError: If the address can't be used.
        """
        site = make_site(self.resource, self.max_body_bytes, self._make_channel)
        self._port = self.listen(site)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        await process_messages(self.mailbox, self._handle, "The listener")

    def _handle(self, msg: t.Any) -> None:
        match msg:
            case StopAccepting():
                self._is_stopping = True
                self._port.stopListening()

    def _make_channel(self) -> FrontChannel:
        return FrontChannel(
            self.clock, self._channels.add, self._count_answer, self._remove_channel
        )

    def _count_answer(self, _: FrontChannel) -> None:
        self.answered += 1

    def _remove_channel(self, channel: FrontChannel, reason: t.Any) -> None:
        self._channels.discard(channel)
        if self._is_stopping and channel.read_at is not None:
            self._log_cut(channel, type(reason.value).__name__)

    def _log_cut(self, channel: FrontChannel, reason: str) -> None:
        request = channel.requests[0]
        age = self.clock.now() - channel.read_at
        log_event(
            Event.REQUEST_CUT,
            method=request.method.decode("ascii", "replace"),
            path=request.path.decode("utf-8", "replace")[:80],
            age_s=round(age.total_seconds(), 3),
            reason=reason,
        )
