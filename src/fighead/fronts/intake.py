"""Keeps clients' connections within what a process may spend on them.

All listeners of a process share one :class:`Intake`. It is the only holder of the sums;
which connections go is decided in :mod:`..decisions.intake`.
"""

import collections
import datetime as dt
import typing as t

from attrs import Factory, define, field, frozen

from ..clock import Clock
from ..decisions import intake
from ..decisions.intake import ConnectionUse, IntakeLimits, Phase, Reason
from ..log import Event, log_event
from .turns import ServingTurns

#: Interval at which requests that have not arrived whole are looked at.
CHECK_INTERVAL = dt.timedelta(seconds=1)
#: Shortest time between two lines of the log.
LOG_INTERVAL = dt.timedelta(seconds=2)


@frozen
class ConnectionCalls:
    """What the account asks of a connection.

    :param refuse: Refuses what the connection has not sent whole, and closes it.
    :param measure: Notes anew what the connection holds; answers are read unnoticed.
    """

    refuse: t.Callable[[Reason], None]
    measure: t.Callable[[], None] = lambda: None


@define(eq=False)
class Intake:
    """The connections of clients, and what they hold in all.

    :param count_refusal: Called with the reason of each refusal or close.
    :param turns: Shares the time of the reactor among the connections.
    """

    clock: Clock
    limits: IntakeLimits = IntakeLimits()
    count_refusal: t.Callable[[str], None] = lambda _: None
    turns: ServingTurns = field(
        default=Factory(lambda self: ServingTurns(self.clock), takes_self=True)
    )
    total_bytes: int = 0
    _calls: dict[ConnectionUse, ConnectionCalls] = field(factory=dict)
    _is_measuring: bool = False
    _dropping: int = 0
    _is_check_due: bool = False
    _unlogged: collections.Counter[str] = field(factory=collections.Counter)
    _logged_at: dt.datetime | None = None

    def open(
        self,
        refuse: t.Callable[[Reason], None],
        measure: t.Callable[[], None] = lambda: None,
    ) -> ConnectionUse:
        """Add a connection, and close others if there are too many.

        The parameters are those of :class:`ConnectionCalls`.
        """
        now = self.clock.now()
        use = ConnectionUse(now, now)
        self._calls[use] = ConnectionCalls(refuse, measure)
        self.total_bytes += use.bytes_held
        if len(self._calls) > self.limits.connections:
            self._close_some(use)
        return use

    def close(self, use: ConnectionUse) -> None:
        """Forget a connection; does nothing for one that is forgotten."""
        if self._calls.pop(use, None) is not None:
            self.total_bytes -= use.bytes_held

    def hold(self, use: ConnectionUse, request_bytes: int) -> None:
        """Note how much a connection holds of its requests."""
        if use not in self._calls:
            return
        self.total_bytes += request_bytes - use.request_bytes
        use.request_bytes = request_bytes
        use.progressed_at = self.clock.now()
        if self.total_bytes > self.limits.total_bytes and not self._is_measuring:
            self._close_some(use)

    def is_exceeded_beside(self, use: ConnectionUse) -> bool:
        """Whether a connection takes more than others leave it.

        A request that is by itself is served, however much it takes.
        """
        if self.total_bytes <= self.limits.total_bytes:
            return False
        others = (other for other in self._calls if other is not use)
        return any(other.phase is not Phase.IDLE for other in others)

    def set_phase(self, use: ConnectionUse, phase: Phase) -> None:
        """Note what a connection is doing."""
        if phase is use.phase:
            return
        use.phase = phase
        use.progressed_at = self.clock.now()
        if phase is Phase.RECEIVING:
            use.opened_at = use.progressed_at
        if phase in (Phase.RECEIVING, Phase.UNREAD):
            self._request_check()

    def refuse(self, use: ConnectionUse, reason: Reason) -> None:
        """Refuse what a connection has not sent whole, and close it."""
        calls = self._calls.get(use)
        if calls is None:
            return
        self.close(use)
        self._note(reason)
        calls.refuse(reason)

    def _close_some(self, latest: ConnectionUse) -> None:
        """Close connections until the others keep to the limits.

        :param latest: The one that has just grown, which goes if no others can.
        """
        now = self.clock.now()
        self._measure_unread()
        for use, reason in intake.choose_to_close(
            self._calls.keys(), self.total_bytes, self.limits, now, latest
        ):
            self.refuse(use, reason)
        if latest not in self._calls or latest.phase is Phase.SERVED:
            return
        if self.total_bytes > self.limits.total_bytes:
            self.refuse(latest, Reason.MEMORY)
        elif len(self._calls) > self.limits.connections:
            self.refuse(latest, Reason.CONNECTIONS)

    def begin_drop(self) -> bool:
        """Count a refused connection until :meth:`end_drop`.

        Return whether it may stay open while its client sends on.
        """
        self._dropping += 1
        return self._dropping <= self.limits.connections * intake.DROPPING_SHARE

    def end_drop(self) -> None:
        """Note that such a connection is closed."""
        self._dropping -= 1

    def _measure_unread(self) -> None:
        """Note how much of their answers clients have read meanwhile."""
        if self._is_measuring:
            return
        self._is_measuring = True
        try:
            for use, calls in tuple(self._calls.items()):
                if use.phase is Phase.UNREAD:
                    calls.measure()
        finally:
            self._is_measuring = False

    # Requests that don't arrive, and answers that aren't read.

    def _request_check(self) -> None:
        if not self._is_check_due:
            self._is_check_due = True
            self.clock.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._is_check_due = False
        self._measure_unread()
        for use, reason in intake.find_slow(tuple(self._calls), self.clock.now()):
            self.refuse(use, reason)
        if any(use.phase in (Phase.RECEIVING, Phase.UNREAD) for use in self._calls):
            self._request_check()

    def _note(self, reason: Reason) -> None:
        self.count_refusal(reason.value)
        self._unlogged[reason.value] += 1
        now = self.clock.now()
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        log_event(
            Event.CLIENTS_LIMITED,
            connections=len(self._calls),
            held_bytes=self.total_bytes,
            **{f"{reason}_closed": n for reason, n in self._unlogged.items()},
        )
        self._unlogged.clear()
