"""What commands and queries of an entry work with."""

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

Ask = t.Callable[[str, t.Any, dt.timedelta], Deferred[t.Any]]

#: Unknown spellings that are remembered.
MAX_SIGHTINGS = 1000


@define(eq=False)
class Desk:
    """State of an entry's fronts and their way to the other tasks.

    :param ask: Sends a message to the holder of a resource and returns the
        answer; raises :exc:`.PeerUnreachableError`.
    :param sightings: Requests by spelling that no declaration knows.
    """

    clock: Clock
    metrics: Metrics
    store: Mailbox[StoreCall]
    ask: Ask
    dispatch: DispatchState
    sightings: collections.Counter[str] = field(factory=collections.Counter)
    gate: CheckLimiter = CheckLimiter()
    in_flight: int = 0
    is_draining: bool = False
    _index: dict[str, str] = field(factory=dict)
    _indexed_revision: int = -1

    def take_view(self, view: View) -> None:
        """Take in what the entry knows now."""
        self.dispatch = evolve(self.dispatch, view=view)

    @property
    def view(self) -> View:
        """What the entry knows now."""
        return self.dispatch.view

    def canonical_name(self, spelling: str) -> str:
        """Return the canonical name of a caller and note an unknown spelling."""
        revision = self.view.revision
        if revision is not None and revision.number != self._indexed_revision:
            self._index = caller.build_index(revision.inventory)
            self._indexed_revision = revision.number
        name = caller.canonical_name(self._index, spelling)
        is_known = caller.fold(spelling) in self._index
        if not is_known and len(self.sightings) < MAX_SIGHTINGS:
            self.sightings[spelling] += 1
        return name

    def find_kind(self, upstream: str, name: str) -> Kind:
        """Return a declared kind of work.

        :raises UnknownNameError: If the upstream or the kind is not declared.
        """
        revision = self.view.revision
        inventory = revision.inventory if revision else None
        if inventory is None or upstream not in inventory.upstreams:
            raise UnknownNameError(
                f"There is no upstream {upstream!r}.",
                "Use a declared upstream; 'fighead status' lists them.",
            )
        kind = inventory.kind(upstream, name)
        if kind is None:
            raise UnknownNameError(
                f"Upstream {upstream} has no kind of work {name!r}.",
                "Use a declared kind; 'fighead status' lists them.",
            )
        return kind

    def note_offer(self, instance: str, change: int) -> None:
        """Note that an offer to an instance begins or ends."""
        self.dispatch = dispatch.update_in_flight(self.dispatch, instance, change)
