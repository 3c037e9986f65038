"""One entry: its tasks, their links, and its life from start to stop."""

import datetime as dt
import random
import typing as t

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.ssl import DefaultOpenSSLContextFactory

from . import message as m
from .clock import Clock, sleep, with_timeout
from .decisions import dispatch, overload
from .decisions import member_state as member_states
from .decisions.dispatch import DispatchState
from .decisions.ownership import instance_resource, line_resource
from .desk import Desk
from .exceptions import MailboxFullError, PeerUnreachableError, StoreError
from .fronts.caller import CallerFront
from .fronts.operator import MAX_BODY_BYTES, OperatorFront
from .fronts.site import make_site
from .ledger import BurnLedger, bucket_put
from .log import Event, log_event
from .mailbox import spawn
from .metric import Metrics
from .model import Member
from .settings import EntrySettings, ListenAddress
from .store import LeaseGrant, Txn
from .tasks.call import call
from .tasks.member import MemberTask
from .tasks.peer import CurveKeys, PeerTask
from .tasks.roster import RosterTask
from .tasks.store import StoreTask, ask_store

#: How often peers are probed.
PROBE_INTERVAL = dt.timedelta(seconds=1)
#: How often the lateness of a timer is observed.
LAG_INTERVAL = dt.timedelta(milliseconds=100)
#: How often closed buckets of the burn ledger are written.
LEDGER_INTERVAL = dt.timedelta(seconds=20)
#: Time for which a bucket of the burn ledger is kept.
LEDGER_TTL_S = 4 * 24 * 3600
DRAIN_POLL = dt.timedelta(milliseconds=100)
#: Time that the balancer gets to see that the entry is not ready.
DRAIN_NOTICE = dt.timedelta(seconds=1)


@define(eq=False)
class Entry:
    """Builds the tasks of one entry and connects their mailboxes.

    :param cfg: Checked settings.
    :param on_end: Called once the planned stop is complete.

    .. versionadded:: 0.1
    """

    cfg: EntrySettings
    clock: Clock
    reactor: t.Any
    on_end: t.Callable[[], None]
    desk: Desk = field(init=False)
    ledger: BurnLedger = field(init=False)
    member: MemberTask = field(init=False)
    peer: PeerTask = field(init=False)
    roster: RosterTask = field(init=False)
    store: StoreTask = field(init=False)
    _random: random.Random = field(init=False)
    _ports: list[t.Any] = field(factory=list)
    _is_stopping: bool = False
    _is_finished: bool = False
    _ledger_lease: int = 0

    def __attrs_post_init__(self) -> None:
        cfg = self.cfg
        seed = f"{cfg.seed}/{cfg.name}" if cfg.seed else None
        self._random = random.Random(seed)
        metrics = Metrics(cfg.name, is_exported=True)
        self.store = StoreTask(
            cfg.store_url, self.clock, self.reactor, metrics, self._random
        )
        self.peer = PeerTask(
            cfg.name,
            cfg.peer_address,
            CurveKeys(cfg.peer_public_key, cfg.peer_secret_key),
            self.clock,
            self.reactor,
            self._handle_peer,
        )
        self.desk = Desk(
            self.clock,
            metrics,
            self.store.mailbox,
            self._ask,
            DispatchState(m.View(cfg.name)),
        )
        self.ledger = BurnLedger(cfg.name, self.clock)
        self.member = self._make_member(metrics)
        self.roster = RosterTask(
            cfg.name,
            self.clock,
            self.reactor,
            metrics,
            self._random,
            self.store.mailbox,
            self.member.mailbox,
            self._tell,
            self._share_loads,
        )
        self.member.roster = self.roster.mailbox

    def _make_member(self, metrics: Metrics) -> MemberTask:
        cfg = self.cfg
        me = Member(
            cfg.name, cfg.availability_zone, cfg.peer_address, cfg.peer_public_key
        )
        return MemberTask(
            member_states.MemberState(me),
            self.clock,
            self.reactor,
            metrics,
            self._random,
            self.store.mailbox,
            cfg.store_url,
            f"{cfg.store_url}/platform/instances",
            cfg.lease_ttl,
            self._publish,
            None,  # type: ignore[arg-type]
            self._finish,
        )

    def start(self) -> None:
        """Listen on all addresses and start the tasks."""
        tasks = (self.store, self.peer, self.roster, self.member)
        for task in tasks:
            spawn(task.run())
        spawn(self._probe())
        spawn(self._keep_ledger())
        spawn(self._watch_lag())
        caller = CallerFront(
            self.desk, self.ledger, self.cfg.max_body_bytes, self.member.is_ready
        )
        operator = OperatorFront(
            self.desk,
            self.ledger,
            self.cfg.operator_token,
            self._random,
            self.roster.own_states,
            self.stop,
        )
        cfg = self.cfg
        self._listen(cfg.caller_address, caller.app.resource(), cfg.max_body_bytes)
        self._listen(cfg.operator_address, operator.app.resource(), MAX_BODY_BYTES)
        log_event(Event.ENTRY_STARTED, availability_zone=self.cfg.availability_zone)

    def _listen(
        self, address: ListenAddress, resource: t.Any, max_body_bytes: int
    ) -> None:
        site = make_site(resource, max_body_bytes)
        if self.cfg.plain:
            port = self.reactor.listenTCP(address.port, site, interface=address.host)
        else:
            context = DefaultOpenSSLContextFactory(
                self.cfg.tls_key, self.cfg.tls_certificate
            )
            port = self.reactor.listenSSL(
                address.port, site, context, interface=address.host
            )
        self._ports.append(port)

    def stop(self) -> None:
        """Begin the planned stop; a second call changes nothing."""
        if self._is_stopping:
            return
        self._is_stopping = True
        log_event(Event.ENTRY_DRAINING)
        self.member.mailbox.offer(m.Stop())
        spawn(self._drain())

    async def _drain(self) -> None:
        await sleep(self.clock, DRAIN_NOTICE)
        deadline = self.clock.now() + self.cfg.drain_timeout
        while self.desk.in_flight and self.clock.now() < deadline:
            await sleep(self.clock, DRAIN_POLL)
        self.ledger.close()
        await self._write_ledger()
        await self.member.mailbox.put(member_states.FrontDrained())
        left = deadline - self.clock.now()
        # Claims that can't be dropped, because the store is away, end by lease.
        self.clock.call_later(max(left, DRAIN_NOTICE), self._finish)

    def _finish(self) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        log_event(Event.ENTRY_STOPPED)
        for port in self._ports:
            port.stopListening()
        self.peer.stop()
        self.on_end()

    def _publish(self, view: m.View) -> None:
        self.desk.take_view(view)
        self.roster.mailbox.offer(view)
        self.peer.mailbox.offer(view)

    def _ask(
        self, resource: str, message: t.Any, timeout: dt.timedelta
    ) -> Deferred[t.Any]:
        """Send a message to the holder of a resource and return the answer."""
        owner = self.desk.view.owner_of(resource)
        if owner == self.cfg.name:
            return self._ask_here(resource, message, timeout)
        if owner is None:
            raise PeerUnreachableError(
                f"Nobody holds {resource} now.", "Retry: it is claimed within seconds."
            )
        return self.peer.ask(owner, message, timeout)

    def _ask_here(
        self, resource: str, message: t.Any, timeout: dt.timedelta
    ) -> Deferred[t.Any]:
        box = self.roster.find(resource)
        if box is None:
            raise PeerUnreachableError(
                f"{resource} is not open here.", "Retry: it opens within moments."
            )
        answer = with_timeout(self.clock, call(box, message), timeout)
        return answer.addErrback(_to_unreachable)

    def _tell(self, resource: str, message: t.Any) -> None:
        """Send a message to the holder of a resource; it may be lost."""
        owner = self.desk.view.owner_of(resource)
        if owner == self.cfg.name:
            self._tell_here(resource, message)
        elif owner is not None:
            self.peer.tell(owner, message)

    def _tell_here(self, resource: str, message: t.Any) -> None:
        box = self.roster.find(resource)
        if box is None:
            return
        try:
            box.offer(message)
        except MailboxFullError:
            # Every such message is sent again until it has had its effect.
            return

    def _share_loads(self, report: m.LoadReport) -> None:
        self._take_loads(report)
        for peer in self.peer.peers():
            self.peer.tell(peer, report)

    def _take_loads(self, report: m.LoadReport) -> None:
        self.desk.dispatch = dispatch.record_loads(self.desk.dispatch, report.loads)

    def _handle_peer(self, sender: str, message: t.Any) -> t.Any:
        now = self.clock.now()
        self.desk.dispatch = dispatch.record_message(self.desk.dispatch, sender, now)
        match message:
            case m.OfferCheck(instance):
                return self._serve(instance_resource(instance), message)
            case m.SubmitWork(record):
                return self._serve(line_resource(record.upstream), message)
            case m.QueryWork(upstream) | m.CancelWork(upstream):
                return self._serve(line_resource(upstream), message)
            case m.StartWork(record) if record.assignment is not None:
                instance = record.assignment.instance
                self._tell_here(instance_resource(instance), message)
            case m.StopWork(instance) | m.EndRecorded(instance):
                self._tell_here(instance_resource(instance), message)
            case m.WorkNotStarted(upstream) | m.WorkEnded(upstream):
                self._tell_here(line_resource(upstream), message)
            case m.LoadReport():
                self._take_loads(message)
                self.roster.mailbox.offer(message)
            case m.Probe(revision=revision):
                return self._answer_probe(revision)
        return None

    def _serve(self, resource: str, message: t.Any) -> t.Any:
        box = self.roster.find(resource)
        if box is None:
            return m.NotRun("This entry does not hold it.", is_transient=True)
        try:
            return call(box, message)
        except MailboxFullError as exc:
            return m.NotRun(exc.message, is_transient=True)

    def _answer_probe(self, revision: int) -> m.ProbeAnswer:
        mine = self.desk.view.revision
        if mine is None:
            return m.ProbeAnswer(self.cfg.name, 0)
        newer = mine if mine.number > revision else None
        return m.ProbeAnswer(self.cfg.name, mine.number, newer)

    async def _probe(self) -> None:
        while True:
            await sleep(self.clock, PROBE_INTERVAL)
            for peer in self.peer.peers():
                spawn(self._probe_one(peer))

    async def _probe_one(self, peer: str) -> None:
        mine = self.desk.view.revision
        probe = m.Probe(self.cfg.name, mine.number if mine else 0)
        try:
            answer = await self.peer.ask(peer, probe, PROBE_INTERVAL)
        except PeerUnreachableError:
            return
        await self.member.mailbox.put(member_states.PeerAnswered())
        if answer.newer is not None:
            await self.member.mailbox.put(member_states.RevisionReceived(answer.newer))

    async def _watch_lag(self) -> None:
        while True:
            due_at = self.clock.now() + LAG_INTERVAL
            await sleep(self.clock, LAG_INTERVAL)
            lag = self.clock.now() - due_at
            self.desk.gate = overload.observe_lag(self.desk.gate, lag)

    async def _keep_ledger(self) -> None:
        while True:
            await sleep(self.clock, LEDGER_INTERVAL)
            self.ledger.current()
            await self._write_ledger()

    async def _write_ledger(self) -> None:
        while self.ledger.closed:
            bucket = self.ledger.closed[0]
            try:
                if not self._ledger_lease:
                    granted = await ask_store(
                        self.store.mailbox, LeaseGrant(LEDGER_TTL_S)
                    )
                    self._ledger_lease = granted.lease
                put = bucket_put(bucket, self._ledger_lease)
                await ask_store(self.store.mailbox, Txn(success=(put,)))
            except StoreError:
                # The bucket stays and is written with the next round.
                self._ledger_lease = 0
                return
            self.ledger.closed.remove(bucket)


def _to_unreachable(failure: t.Any) -> t.Any:
    failure.trap(TimeoutError)
    raise PeerUnreachableError(
        "The task gave no answer in time.", "Retry, or ask by the request id."
    )
