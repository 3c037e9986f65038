"""Mailboxes: the only way in which tasks talk to each other."""

import collections
import typing as t

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.python import log

from .exceptions import MailboxFullError

M = t.TypeVar("M")

#: Messages that a mailbox holds before senders have to wait.
DEFAULT_CAPACITY = 1024


@define(eq=False)
class Mailbox(t.Generic[M]):
    """A bounded queue of messages with one receiving task.

    A sender that may wait awaits :meth:`put`, which pushes back while the
    mailbox is full. A sender that may not wait calls :meth:`offer`.

    >>> box = Mailbox("example", capacity=1)
    >>> box.offer("message")
    """

    name: str
    capacity: int = DEFAULT_CAPACITY
    _messages: collections.deque[M] = field(factory=collections.deque, init=False)
    _receiver: Deferred[M] | None = field(default=None, init=False)
    _senders: collections.deque[tuple[Deferred[None], M]] = field(
        factory=collections.deque, init=False
    )

    def __len__(self) -> int:
        return len(self._messages) + len(self._senders)

    def offer(self, msg: M) -> None:
        """Add ``msg``.

        :raises MailboxFullError: If the mailbox is full.
        """
        if self._receiver is not None:
            receiver, self._receiver = self._receiver, None
            receiver.callback(msg)
            return
        if len(self._messages) >= self.capacity:
            raise MailboxFullError(
                f"The mailbox of {self.name} holds {self.capacity} messages.",
                "Retry after a pause; if this lasts, add entry instances.",
            )
        self._messages.append(msg)

    def put(self, msg: M) -> Deferred[None]:
        """Add ``msg``; the deferred fires once the mailbox has taken it."""
        fut: Deferred[None] = Deferred()
        if self._receiver is None and len(self._messages) >= self.capacity:
            self._senders.append((fut, msg))
            return fut
        self.offer(msg)
        fut.callback(None)
        return fut

    def get(self) -> Deferred[M]:
        """Return a deferred for the next message."""
        fut: Deferred[M] = Deferred(self._forget_receiver)
        if not self._messages:
            self._receiver = fut
            return fut
        msg = self._messages.popleft()
        self._admit_sender()
        fut.callback(msg)
        return fut

    def _admit_sender(self) -> None:
        if not self._senders:
            return
        sender, msg = self._senders.popleft()
        self._messages.append(msg)
        sender.callback(None)

    def _forget_receiver(self, fut: Deferred[M]) -> None:
        if self._receiver is fut:
            self._receiver = None


def spawn(coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> Deferred:
    """Run ``coroutine`` as a task of its own and log an unexpected failure.

    Cancelling the returned deferred ends the task.
    """
    fut = ensureDeferred(coroutine)
    return fut.addErrback(_log_failure)


def _log_failure(failure: t.Any) -> None:
    if failure.check(CancelledError) is None:
        log.err(failure, "A task ended with an unexpected error.")


async def receive(
    mailbox: Mailbox[M], handle: t.Callable[[M], t.Any], name: str
) -> None:
    """Feed every message of ``mailbox`` to ``handle``, one after another.

    An error in one message is logged and does not end the task.
    """
    while True:
        msg = await mailbox.get()
        try:
            result = handle(msg)
            if isinstance(result, t.Awaitable):
                await result
        except CancelledError:
            raise
        except Exception:
            log.err(None, f"{name} failed on {type(msg).__name__}.")
