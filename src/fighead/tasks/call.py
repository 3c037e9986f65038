"""Requests to a task of the same entry, with an answer."""

import typing as t

from attrs import field, frozen
from twisted.internet.defer import Deferred

from ..mailbox import Mailbox


@frozen(eq=False)
class Call:
    """A message, and the deferred that its receiver fires with the answer."""

    message: t.Any
    reply: Deferred[t.Any] = field(factory=Deferred)


def call(mailbox: Mailbox[t.Any], message: t.Any) -> Deferred[t.Any]:
    """Send ``message`` to a task and return a deferred for its answer.

    :raises MailboxFullError: If the task's mailbox is full.
    """
    request = Call(message)
    mailbox.offer(request)
    return request.reply
