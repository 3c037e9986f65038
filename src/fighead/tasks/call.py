"""A message to a task of the same entry that wants an answer."""

import typing as t

from attrs import field, frozen
from twisted.internet.defer import Deferred

from ..mailbox import Mailbox


@frozen(eq=False)
class Call:
    """A message together with the place for its answer."""

    message: t.Any
    reply: Deferred[t.Any] = field(factory=Deferred)


def call(box: Mailbox[t.Any], message: t.Any) -> Deferred[t.Any]:
    """Send ``message`` to a task and return its answer.

    :raises MailboxFullError: If the task can't keep up.
    """
    sent = Call(message)
    box.offer(sent)
    return sent.reply
