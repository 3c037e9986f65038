"""Bounded mailboxes, over which tasks exchange messages, and the loop of a task.

Tasks communicate only through mailboxes.
"""

import collections
import typing as t

from attrs import define, field
from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.python import log

from .exceptions import MailboxFullError

M = t.TypeVar("M")

#: Messages that a mailbox holds by default before it is full.
DEFAULT_CAPACITY = 1024


@define(eq=False)
class Mailbox(t.Generic[M]):
    """A bounded FIFO queue of messages with a single receiving task.

    A sender that can wait awaits :meth:`put`, which applies backpressure while
    the mailbox is full. A sender that must not wait calls :meth:`offer`.

    :param name: Name of the receiving task, for error messages.
    :param capacity: Number of messages at which the mailbox is full.

    >>> box = Mailbox("example", capacity=1)
    >>> box.offer("message")
    """

    name: str
    capacity: int = DEFAULT_CAPACITY
    _messages: collections.deque[M] = field(factory=collections.deque, init=False)
    _waiting_receiver: Deferred[M] | None = field(default=None, init=False)
    _waiting_senders: collections.deque[tuple[Deferred[None], M]] = field(
        factory=collections.deque, init=False
    )

    def __len__(self) -> int:
        return len(self._messages) + len(self._waiting_senders)

    def offer(self, msg: M) -> None:
        """Add ``msg`` without waiting.

        :raises MailboxFullError: If the mailbox is full.
        """
        if self._waiting_receiver is not None:
            receiver, self._waiting_receiver = self._waiting_receiver, None
            receiver.callback(msg)
            return
        if len(self._messages) >= self.capacity:
            raise MailboxFullError(
                f"The mailbox of {self.name} holds {self.capacity} messages.",
                "Retry after a delay; if the error persists, add entry instances.",
            )
        self._messages.append(msg)

    def put(self, msg: M) -> Deferred[None]:
        """Add ``msg``; the returned deferred fires once there is room for it."""
        deferred: Deferred[None] = Deferred()
        if self._waiting_receiver is None and len(self._messages) >= self.capacity:
            self._waiting_senders.append((deferred, msg))
            return deferred
        self.offer(msg)
        deferred.callback(None)
        return deferred

    def get(self) -> Deferred[M]:
        """Return a deferred that fires with the next message.

        Only one receiver may wait at a time.
        """
        deferred: Deferred[M] = Deferred(self._cancel_receiver)
        if not self._messages:
            self._waiting_receiver = deferred
            return deferred
        msg = self._messages.popleft()
        self._admit_next_sender()
        deferred.callback(msg)
        return deferred

    def _admit_next_sender(self) -> None:
        if not self._waiting_senders:
            return
        sender, msg = self._waiting_senders.popleft()
        self._messages.append(msg)
        sender.callback(None)

    def _cancel_receiver(self, deferred: Deferred[M]) -> None:
        if self._waiting_receiver is deferred:
            self._waiting_receiver = None


def spawn(coroutine: t.Coroutine[t.Any, t.Any, t.Any]) -> Deferred:
    """Start ``coroutine`` as a task; a failure other than cancellation is logged.

    Cancelling the returned deferred cancels the task.
    """
    deferred = ensureDeferred(coroutine)
    return deferred.addErrback(_log_failure)


def _log_failure(failure: t.Any) -> None:
    if failure.check(CancelledError) is None:
        log.err(failure, "A task failed with an unexpected error.")


async def process_messages(
    mailbox: Mailbox[M], handle: t.Callable[[M], t.Any], name: str
) -> None:
    """Call ``handle`` with each message of ``mailbox``, one at a time, forever.

    An exception from ``handle`` is logged, and the loop continues with the next
    message. An awaitable result is awaited before the next message is received.

    :param name: Name of the task, for the log.
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
            log.err(None, f"{name} failed to handle {type(msg).__name__}.")
