"""The task that owns a listening port and the connections accepted on it."""

import datetime as dt
import typing as t

from attrs import Factory, define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReadWriteDescriptor
from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure
from twisted.web.server import Site

from ..clock import Clock, sleep, with_timeout
from ..fronts.intake import Intake
from ..fronts.site import FrontChannel, make_site
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages
from .call import Call

#: Time after the port is closed in which a client that has just connected may send its
#: request.
LAST_READ_TIME = dt.timedelta(milliseconds=100)
#: Time after that for a request of which a part has arrived.
RECEIVE_TIME = dt.timedelta(milliseconds=500)
#: Minimum time in which the last refusals are written out.
WRITE_TIME = dt.timedelta(milliseconds=50)


@frozen
class CloseConnections:
    """Request to close the port, and each connection once all is answered.

    It is answered with :class:`ConnectionsClosed`.

    :param refuse_at: When requests without an answer are refused.
    :param close_at: When connections are closed whose clients don't read.
    """

    refuse_at: dt.datetime
    close_at: dt.datetime


@frozen
class ConnectionsClosed:
    """All connections are closed.

    :param answered: Number of answers since the request to close.
    :param refused: Number of requests that were refused, as their time was up.
    :param cut: Number of requests that have no answer, or whose client has not read
        all of it.
    """

    answered: int = 0
    refused: int = 0
    cut: int = 0


@define(eq=False)
class ListenerTask:
    """Owns a port of a front, and its connections until they are closed.

    :param listen: Listens with a site and returns the port.
    :param resource: Root resource of the front.
    :param max_body_bytes: Maximum length of a request's body.
    :param intake: What all connections of clients may take of the process.
    """

    clock: Clock
    listen: t.Callable[[Site], t.Any]
    resource: t.Any
    max_body_bytes: int
    intake: Intake = field(
        default=Factory(lambda self: Intake(self.clock), takes_self=True)
    )
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("listener"))
    _port: t.Any = None
    _channels: set[FrontChannel] = field(factory=set)
    _accepted: int = 0
    _answered: int = 0
    _refused: int = 0
    _emptied: Deferred[None] | None = None

    def start(self) -> None:
        """Listen, before the task runs.

        :raises CannotListenError: If the address can't be used.
        """
        site = make_site(self.resource, self.max_body_bytes, self._make_channel)
        self._port = self.listen(site)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        await process_messages(self.mailbox, self._handle, "The listener")

    async def _handle(self, msg: t.Any) -> None:
        match msg:
            case Call(CloseConnections(refuse_at, close_at), reply):
                reply.callback(await self._close(refuse_at, close_at))

    def _make_channel(self) -> FrontChannel:
        return FrontChannel(
            self.clock,
            self.intake,
            self._add_channel,
            self._count_answer,
            self._remove_channel,
        )

    def _add_channel(self, channel: FrontChannel) -> None:
        self._channels.add(channel)
        self._accepted += 1

    def _count_answer(self, _: FrontChannel) -> None:
        self._answered += 1

    def _remove_channel(self, channel: FrontChannel) -> None:
        self._channels.discard(channel)
        self._refused += channel.refused
        if not self._channels and self._emptied is not None:
            emptied, self._emptied = self._emptied, None
            emptied.callback(None)

    # The end.

    async def _close(
        self, refuse_at: dt.datetime, close_at: dt.datetime
    ) -> ConnectionsClosed:
        earlier = self._answered
        await self._accept_what_has_arrived(refuse_at)
        self._close_port()
        await self._wait_until_closed(min(self.clock.now() + LAST_READ_TIME, refuse_at))
        await self._read_what_has_arrived()
        for channel in tuple(self._channels):
            channel.close_when_idle()
        await self._wait_until_closed(min(self.clock.now() + RECEIVE_TIME, refuse_at))
        for channel in tuple(self._channels):
            channel.refuse_parts()
        await self._wait_until_closed(refuse_at)
        for channel in tuple(self._channels):
            channel.refuse_all()
        await self._wait_until_closed(max(close_at, self.clock.now() + WRITE_TIME))
        cut = tuple(self._channels)
        for channel in cut:
            self._log_cut(channel)
            channel.transport.abortConnection()
        refused = self._refused + sum(channel.refused for channel in cut)
        return ConnectionsClosed(self._answered - earlier, refused, len(cut))

    async def _accept_what_has_arrived(self, deadline: dt.datetime) -> None:
        """Wait until the reactor has accepted the connections that are waiting now.

        It may accept a single one each time that it handles sockets.
        """
        accepted = -1
        while accepted != self._accepted:
            accepted = self._accepted
            await self._read_what_has_arrived()
            if self.clock.now() >= deadline:
                return

    def _close_port(self) -> None:
        """Close the port right after the connections that wait have been accepted.

        The reactor would close it in its next turn, and reset those that came by then.
        """
        if not IReadWriteDescriptor.providedBy(self._port):
            self._port.stopListening()
            return
        accepted = -1
        while accepted != self._accepted:
            accepted = self._accepted
            self._port.doRead()
        self._port.connectionLost(Failure(CONNECTION_DONE))

    async def _read_what_has_arrived(self) -> None:
        """Wait until the reactor has handled the sockets that are ready now."""
        await sleep(self.clock, dt.timedelta())

    async def _wait_until_closed(self, deadline: dt.datetime) -> None:
        time_left = deadline - self.clock.now()
        if not self._channels or time_left <= dt.timedelta():
            return
        self._emptied = Deferred()
        try:
            await with_timeout(self.clock, self._emptied, time_left)
        except TimeoutError:
            self._emptied = None

    def _log_cut(self, channel: FrontChannel) -> None:
        details: dict[str, t.Any] = {"reason": "the client has not read its answer"}
        if channel.read_at is not None:
            request = channel.requests[0]
            age = self.clock.now() - channel.read_at
            details = {
                "reason": "the request could not be refused",
                "method": request.method.decode("ascii", "replace"),
                "path": request.path.decode("utf-8", "replace")[:80],
                "age_s": round(age.total_seconds(), 3),
            }
        log_event(Event.REQUEST_CUT, **details)
