"""Shares the time of the reactor among the connections of clients.

A client may send thousands of requests, or of chunks, in one segment. Without a bound
all of them are handled before the reactor turns to anybody else.
"""

import collections
import datetime as dt
import typing as t

from attrs import define, field

from ..clock import Clock

#: Time of one turn of the reactor in which clients' connections are served. The leader
#: renews its authority, and calls the store and instances, in between.
TURN_TIME = dt.timedelta(milliseconds=10)


@define(eq=False)
class ServingTurns:
    """Queues connections that have more to be handled than fits into a turn.

    Each turn handles at least one of them, and others while there is time. A connection
    that goes on afterwards waits behind the others, so a client with a single request
    waits for one request of each other connection at most.
    """

    clock: Clock
    turn_time: dt.timedelta = TURN_TIME
    _waiting: collections.deque[t.Callable[[], None]] = field(factory=collections.deque)
    _spent: dt.timedelta = dt.timedelta()
    # When the work that is under way began; ``None`` without any.
    _began_at: dt.datetime | None = None
    _is_turn_requested: bool = False

    def may_go_on(self) -> bool:
        """Whether a connection may handle something now, without waiting."""
        spent = self._spent
        if self._began_at is not None:
            spent += self.clock.now() - self._began_at
        return not self._waiting and spent < self.turn_time

    def wait(self, go_on: t.Callable[[], None]) -> None:
        """Call ``go_on`` once it is the turn of its connection."""
        self._waiting.append(go_on)
        self._request_turn()

    def run(self, work: t.Callable[[], None]) -> None:
        """Do some work on a connection, and count the time that it takes."""
        if self._began_at is not None:
            work()
            return
        self._began_at = self.clock.now()
        try:
            work()
        finally:
            self._spent += self.clock.now() - self._began_at
            self._began_at = None
            self._request_turn()

    def _request_turn(self) -> None:
        if not self._is_turn_requested:
            self._is_turn_requested = True
            self.clock.call_later(dt.timedelta(), self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_turn_requested = False
        self._spent = dt.timedelta()
        # Those that go on afterwards wait for the next turn.
        for _ in range(len(self._waiting)):
            if self._spent >= self.turn_time:
                break
            self.run(self._waiting.popleft())
        if self._waiting:
            self._request_turn()
