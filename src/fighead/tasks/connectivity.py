"""The task that looks for ways to the store while this entry misses it."""

import datetime as dt
import random
import typing as t

from attrs import define, field, frozen
from twisted.internet.defer import Deferred

from ..clock import Clock, sleep
from ..decisions import connectivity
from ..decisions.connectivity import Connectivity, PeerReport
from ..exceptions import PeerUnreachableError, StoreError, StoreRejectedError
from ..job_message import ContactAsked, ContactIs
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..store import JOB_TERM_KEY, Range
from .watch import STORE_TIMEOUT, StoreClient

#: Read of a small key, the cheapest call to the store, whose answer is not used.
PROBE = Range(JOB_TERM_KEY, is_prefix=True, is_stale_ok=True)


@frozen
class StoreSeen:
    """Whether the store answered a call, be it with a refusal."""

    is_reached: bool


@frozen
class PeerReported:
    """A peer told what it reaches."""

    peer: str
    report: PeerReport


@define(eq=False)
class ConnectivityTask:
    """Owns what the entry knows of its paths to the store.

    Watches report that the store is lost; then it is probed, so that its return is
    noticed sooner than by them.

    :param address: Where peers reach this entry.
    :param find_peers: Returns the peers to which there is a connection.
    :param find_leader: Returns the name of the known leader.
    :param ask_peer: Sends a message to a peer and returns a deferred with its answer.
    :param schedules: Whether this entry is the leader and may act as such.
    :param on_store_back: Called when the store has answered a probe.
    :param on_change: Called with whether the entry is cut off when that changes.
    """

    address: str
    store: StoreClient
    clock: Clock
    random: random.Random
    find_peers: t.Callable[[], t.Sequence[str]]
    find_leader: t.Callable[[], str | None]
    ask_peer: t.Callable[[str, t.Any, dt.timedelta], Deferred[t.Any]]
    schedules: t.Callable[[], bool]
    on_store_back: t.Callable[[], None]
    on_change: t.Callable[[bool], None]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("connectivity"))
    _state: Connectivity = field(factory=Connectivity)
    _was_cut_off: bool = False
    _is_probing: bool = False

    async def run(self) -> None:
        """Track the store and, while it is lost, the peers, until cancelled."""
        spawn(self._ask_periodically())
        await process_messages(self.mailbox, self._handle, "connectivity")

    def find_relays(self) -> list[str]:
        """Return the peers that reach the store in place of this entry."""
        return connectivity.find_relays(self._state, self.clock.now())

    def is_silent(self, peer: str) -> bool:
        """Whether a peer is known not to answer."""
        return connectivity.is_silent(self._state, peer, self.clock.now())

    def is_store_out_of_reach(self) -> bool:
        """Whether neither this entry nor a peer is known to reach the store."""
        return connectivity.is_store_out_of_reach(self._state, self.clock.now())

    def is_ready(self) -> bool:
        """Whether the balancer should send clients here."""
        return connectivity.is_ready(self._state, self.schedules(), self.clock.now())

    def _handle(self, msg: StoreSeen | PeerReported) -> None:
        match msg:
            case StoreSeen(is_reached):
                was_reached = self._state.lost_at is None
                connectivity.note_store(self._state, is_reached, self.clock.now())
                if was_reached and not is_reached:
                    self._ask_peers()
            case PeerReported(peer, report):
                connectivity.note_report(self._state, peer, report)
        self._note_change()

    async def _ask_periodically(self) -> None:
        while True:
            await sleep(self.clock, connectivity.ASK_INTERVAL)
            if self._state.lost_at is not None:
                self._ask_peers()
                if not self._is_probing:
                    spawn(self._probe_store())
                self._note_change()

    async def _probe_store(self) -> None:
        self._is_probing = True
        try:
            await self.store.call(PROBE, STORE_TIMEOUT)
            self.on_store_back()
        except StoreRejectedError:
            pass
        except StoreError:
            return
        finally:
            self._is_probing = False
        self.mailbox.offer(StoreSeen(True))

    def _ask_peers(self) -> None:
        peers = self.find_peers()
        connectivity.forget_others(self._state, peers)
        now = self.clock.now()
        for peer in connectivity.choose_asked(
            self._state, peers, self.find_leader(), now, self.random.sample
        ):
            connectivity.note_question(self._state, peer, now)
            spawn(self._ask(peer))

    async def _ask(self, peer: str) -> None:
        asked_at = self.clock.now()
        question = ContactAsked(self.address)
        try:
            answer = await self.ask_peer(peer, question, connectivity.REPORT_LIFETIME)
        except PeerUnreachableError:
            return
        if isinstance(answer, ContactIs):
            report = PeerReport(asked_at, answer.reaches_store, answer.schedules)
            self.mailbox.offer(PeerReported(peer, report))

    def _note_change(self) -> None:
        now = self.clock.now()
        is_cut_off = connectivity.is_cut_off(self._state, self.schedules(), now)
        if is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = is_cut_off
        log_event(
            Event.ENTRY_CUT_OFF if is_cut_off else Event.ENTRY_CONNECTED,
            is_ready=self.is_ready(),
            peers=len(self.find_peers()),
            silent=sum(self.is_silent(peer) for peer in self._state.asked_at),
        )
        self.on_change(is_cut_off)
