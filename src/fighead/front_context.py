"""State shared by the commands and queries about checks, plans and watches."""

import collections
import datetime as dt
import typing as t

from attrs import define, evolve, field
from twisted.internet.defer import Deferred

from . import caller
from .clock import Clock
from .decisions import dispatch
from .decisions.dispatch import DispatchState
from .decisions.overload import CheckLimiter
from .exceptions import UnknownNameError
from .mailbox import Mailbox
from .message import View
from .metric import Metrics
from .model import Kind
from .tasks.store import StoreCall

#: Takes the resource, the message and the timeout; returns the answer.
Ask = t.Callable[[str, t.Any, dt.timedelta], Deferred[t.Any]]

#: Number of different unknown spellings at which counting stops, to bound memory.
MAX_UNKNOWN_SPELLINGS = 1000


@define(eq=False)
class FrontContext:
    """State of an entry's fronts, and their access to the other tasks.

    :param store: Mailbox of the task that calls the key-value service.
    :param ask: Sends a message to the owner of a resource and returns its answer;
        raises :exc:`.PeerUnreachableError` and :exc:`.MailboxFullError`.
    :param dispatch: Loads of instances and the entry's view of the control data.
    :param unknown_spellings: Number of requests by spelling of a caller that matches no
        declared name or alias.
    :param check_limiter: Limits the checks in flight.
    """

    clock: Clock
    metrics: Metrics
    store: Mailbox[StoreCall]
    ask: Ask
    dispatch: DispatchState
    unknown_spellings: collections.Counter[str] = field(factory=collections.Counter)
    check_limiter: CheckLimiter = CheckLimiter()
    is_draining: bool = False
    _caller_index: dict[str, str] = field(factory=dict)
    _indexed_revision: int = -1

    def update_view(self, view: View) -> None:
        """Replace the view of the control data."""
        self.dispatch = evolve(self.dispatch, view=view)

    @property
    def view(self) -> View:
        """The current members, claims and revision."""
        return self.dispatch.view

    def canonical_name(self, spelling: str) -> str:
        """Return the canonical name of a caller, and count an unknown spelling.

        :raises RequestError: If the spelling has no letter or digit, or is too long.
        """
        revision = self.view.revision
        if revision is not None and revision.number != self._indexed_revision:
            self._caller_index = caller.build_index(revision.inventory)
            self._indexed_revision = revision.number
        name = caller.canonical_name(self._caller_index, spelling)
        is_known = caller.normalize_name(spelling) in self._caller_index
        if not is_known and len(self.unknown_spellings) < MAX_UNKNOWN_SPELLINGS:
            self.unknown_spellings[spelling] += 1
        return name

    def find_kind(self, upstream: str, name: str) -> Kind:
        """Return a declared kind of work.

        :raises UnknownNameError: If the upstream or the kind is not declared.
        """
        revision = self.view.revision
        inventory = revision.inventory if revision else None
        if inventory is None or upstream not in inventory.upstreams:
            raise UnknownNameError(
                f"The upstream {upstream!r} is not declared.",
                "Use an upstream of the declarations in force, or declare this one.",
            )
        kind = inventory.kind(upstream, name)
        if kind is None:
            raise UnknownNameError(
                f"The kind {name!r} is not declared for upstream {upstream}.",
                "Use a kind of the declarations in force, or declare this one.",
            )
        return kind

    def update_offers_in_flight(self, instance: str, change: int) -> None:
        """Update the number of offers in flight to an instance.

        :param change: +1 when an offer begins, -1 when it ends.
        """
        self.dispatch = dispatch.update_in_flight(self.dispatch, instance, change)
