"""Assembly of an entry: its tasks, their connections, and its start and stop."""

import datetime as dt
import random
import typing as t

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.ssl import DefaultOpenSSLContextFactory
from twisted.python import log
from twisted.web.server import Site

from . import message as m
from .clock import Clock, sleep, with_timeout
from .decisions import dispatch, overload
from .decisions import member_state as member_states
from .decisions.dispatch import DispatchState
from .decisions.intake import IntakeLimits, PortLimits, share_among_ports
from .decisions.ownership import instance_resource, line_resource
from .exceptions import MailboxFullError, PeerUnreachableError
from .front_context import FrontContext
from .fronts.caller import CallerFront
from .fronts.intake import Intake
from .fronts.operator import MAX_BODY_BYTES, OperatorFront
from .ledger import BurnLedger
from .log import Event, log_event
from .mailbox import spawn
from .metric import Metrics
from .model import Member
from .settings import EntrySettings, ListenAddress
from .tasks.call import call
from .tasks.ledger import CloseLedger, LedgerTask
from .tasks.listener import CloseConnections, ConnectionsClosed, ListenerTask
from .tasks.member import MemberTask
from .tasks.peer import CurveKeys, FinishAnswers, LimitLinks, PeerTask
from .tasks.store import StoreTask
from .tasks.supervisor import SupervisorTask

#: Interval at which peers are probed. Also the time within which they must answer.
PROBE_INTERVAL = dt.timedelta(seconds=1)
#: Interval at which timer lag is measured.
LAG_SAMPLE_INTERVAL = dt.timedelta(milliseconds=100)
#: Time for the load balancer to notice that the entry is not ready.
DRAIN_DELAY = dt.timedelta(seconds=1)
#: Part of the drain timeout for what follows after the last request was served.
END_RESERVE = dt.timedelta(seconds=4)
#: Part of it for what follows after the claims are released.
CLOSE_RESERVE = dt.timedelta(milliseconds=1600)
#: Time for clients to read their answers after the last request was refused.
WRITE_TIME = dt.timedelta(milliseconds=400)
#: Shortest time allowed for the rest of the ledger, and for the release of claims.
RELEASE_TIME = dt.timedelta(milliseconds=800)
#: Time for operators' requests, and for answers to peers, once the claims are released.
LAST_ANSWERS_TIME = dt.timedelta(milliseconds=400)


@define(eq=False)
class Entry:
    """One entry: its listeners, its tasks and their mailboxes.

    :param cfg: Validated settings.
    :param on_end: Called once the planned stop is complete.

    .. versionadded:: 0.1
    """

    cfg: EntrySettings
    clock: Clock
    reactor: t.Any
    on_end: t.Callable[[], None]
    front_context: FrontContext = field(init=False)
    ledger: BurnLedger = field(init=False)
    ledger_task: LedgerTask = field(init=False)
    member: MemberTask = field(init=False)
    peer: PeerTask = field(init=False)
    supervisor: SupervisorTask = field(init=False)
    store: StoreTask = field(init=False)
    _random: random.Random = field(init=False)
    _caller_listener: ListenerTask | None = None
    _operator_listener: ListenerTask | None = None
    _closed: ConnectionsClosed = ConnectionsClosed()
    _stopping_since: dt.datetime | None = None
    _is_finished: bool = False
    _port_limits: PortLimits = field(init=False)
    _intake: Intake = field(init=False)

    def __attrs_post_init__(self) -> None:
        cfg = self.cfg
        seed = f"{cfg.seed}/{cfg.name}" if cfg.seed else None
        self._random = random.Random(seed)
        metrics = Metrics(cfg.name, is_exported=True)
        self._port_limits = share_among_ports(IntakeLimits())
        self._intake = Intake(
            self.clock, self._port_limits.clients, metrics.count_limited_client
        )
        self.store = StoreTask(
            cfg.store_url, self.clock, self.reactor, metrics, self._random
        )
        self.peer = PeerTask(
            cfg.name,
            cfg.peer_address,
            CurveKeys(cfg.peer_public_key, cfg.peer_secret_key),
            self.clock,
            self.reactor,
            self._handle_peer_message,
        )
        self.peer.mailbox.offer(LimitLinks(self._port_limits.peer_connections))
        self.front_context = FrontContext(
            self.clock,
            metrics,
            self.store.mailbox,
            self._ask_owner,
            DispatchState(m.View(cfg.name)),
        )
        self.ledger = BurnLedger(cfg.name, self.clock)
        self.ledger_task = LedgerTask(self.ledger, self.clock, self.store.mailbox)
        self.member = self._make_member(metrics)
        self.supervisor = SupervisorTask(
            cfg.name,
            self.clock,
            self.reactor,
            metrics,
            self._random,
            self.store.mailbox,
            self.member.mailbox,
            self._send_to_owner,
            self._broadcast_loads,
        )
        self.member.supervisor = self.supervisor.mailbox

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
            self._update_view,
            None,  # type: ignore[arg-type]
            self._finish,
        )

    def start(self) -> None:
        """Listen on all addresses and start the tasks."""
        tasks = (
            self.store,
            self.peer,
            self.supervisor,
            self.member,
            self.ledger_task,
        )
        for task in tasks:
            spawn(task.run())
        spawn(self._probe_periodically())
        spawn(self._measure_lag_periodically())
        caller_front = CallerFront(
            self.front_context,
            self.ledger,
            self.cfg.max_body_bytes,
            self.member.is_ready,
        )
        operator_front = OperatorFront(
            self.front_context,
            self.ledger,
            self.cfg.operator_token,
            self._random,
            self.supervisor.owned_states,
            self.stop,
        )
        cfg = self.cfg
        self._caller_listener = self._listen(
            cfg.caller_address, caller_front.app.resource(), cfg.max_body_bytes
        )
        self._operator_listener = self._listen(
            cfg.operator_address, operator_front.app.resource(), MAX_BODY_BYTES
        )
        log_event(Event.ENTRY_STARTED, availability_zone=self.cfg.availability_zone)

    def _listen(
        self, address: ListenAddress, resource: t.Any, max_body_bytes: int
    ) -> ListenerTask:
        listener = ListenerTask(
            self.clock,
            lambda site: self._open_port(address, site),
            resource,
            max_body_bytes,
            self._intake,
        )
        listener.start()
        spawn(listener.run())
        return listener

    def _open_port(self, address: ListenAddress, site: Site) -> t.Any:
        if self.cfg.plain:
            return self.reactor.listenTCP(address.port, site, interface=address.host)
        context = DefaultOpenSSLContextFactory(
            self.cfg.tls_key, self.cfg.tls_certificate
        )
        return self.reactor.listenSSL(
            address.port, site, context, interface=address.host
        )

    def stop(self) -> None:
        """Start a planned stop and return at once; further calls have no effect."""
        if self._stopping_since is not None:
            return
        self._stopping_since = self.clock.now()
        log_event(Event.ENTRY_DRAINING)
        self.member.mailbox.offer(m.Stop())
        spawn(self._drain(self._stopping_since))

    async def _drain(self, started_at: dt.datetime) -> None:
        """Answer all callers, then give up what their requests need, and end.

        Claims are released from the start, each once its own work is done.
        """
        deadline = started_at + self.cfg.drain_timeout
        await sleep(self.clock, DRAIN_DELAY)
        refuse_at = max(deadline - END_RESERVE, self.clock.now())
        self._closed = await self._close_listener(self._caller_listener, refuse_at)
        release_by = deadline - CLOSE_RESERVE
        await self._close_ledger(release_by - RELEASE_TIME)
        await self.member.mailbox.put(member_states.FrontDrained())
        # Claims that can't be deleted because the store is unreachable expire with
        # the lease.
        time_left = max(release_by - self.clock.now(), RELEASE_TIME)
        self.clock.call_later(time_left, self._finish)

    async def _close_listener(
        self, listener: ListenerTask | None, refuse_at: dt.datetime
    ) -> ConnectionsClosed:
        """Close the connections of a front, once all requests are answered."""
        if listener is None:
            return ConnectionsClosed()
        close_at = refuse_at + WRITE_TIME
        closed = call(listener.mailbox, CloseConnections(refuse_at, close_at))
        time_left = close_at + LAST_ANSWERS_TIME - self.clock.now()
        try:
            return await with_timeout(self.clock, closed, time_left)
        except TimeoutError:
            log_event(Event.STOP_CUT_SHORT, reason="a front could not be closed")
            return ConnectionsClosed()

    async def _close_ledger(self, deadline: dt.datetime) -> None:
        """Write the rest of the ledger; an error or a late answer is only logged."""
        time_left = max(deadline - self.clock.now(), RELEASE_TIME)
        try:
            answer = call(self.ledger_task.mailbox, CloseLedger())
            await with_timeout(self.clock, answer, time_left)
        except Exception:
            log.err(None, "The rest of the burn ledger was not written.")

    def _finish(self) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        spawn(self._end())

    async def _end(self) -> None:
        """End once operators and peers have the answers that they are owed."""
        refuse_at = self.clock.now() + LAST_ANSWERS_TIME
        await self._close_listener(self._operator_listener, refuse_at)
        answered = call(self.peer.mailbox, FinishAnswers())
        try:
            await with_timeout(self.clock, answered, LAST_ANSWERS_TIME)
        except TimeoutError:
            log_event(Event.STOP_CUT_SHORT, reason="a peer is owed an answer")
        duration = self.clock.now() - (self._stopping_since or self.clock.now())
        log_event(
            Event.ENTRY_STOPPED,
            after_s=round(duration.total_seconds(), 3),
            answered=self._closed.answered,
            refused=self._closed.refused,
            cut=self._closed.cut,
        )
        self.peer.stop()
        self.on_end()

    def _update_view(self, view: m.View) -> None:
        self.front_context.update_view(view)
        self.supervisor.mailbox.offer(view)
        self.peer.mailbox.offer(view)

    def _ask_owner(
        self, resource: str, message: t.Any, timeout: dt.timedelta
    ) -> Deferred[t.Any]:
        """Send a message to the owner of a resource and return its answer."""
        owner = self.front_context.view.owner_of(resource)
        if owner == self.cfg.name:
            return self._ask_local_task(resource, message, timeout)
        if owner is None:
            raise PeerUnreachableError(
                f"Nobody holds {resource} now.",
                "Retry in a few seconds, after an entry has claimed it.",
            )
        return self.peer.ask(owner, message, timeout)

    def _ask_local_task(
        self, resource: str, message: t.Any, timeout: dt.timedelta
    ) -> Deferred[t.Any]:
        mailbox = self.supervisor.find_mailbox(resource)
        if mailbox is None:
            raise PeerUnreachableError(
                f"{resource} is not open here.",
                "Retry shortly, once its task has started.",
            )
        answer = with_timeout(self.clock, call(mailbox, message), timeout)
        return answer.addErrback(_raise_unreachable_on_timeout)

    def _send_to_owner(self, resource: str, message: t.Any) -> None:
        """Send a message to a resource's owner; delivery is not guaranteed."""
        owner = self.front_context.view.owner_of(resource)
        if owner == self.cfg.name:
            self._send_to_local_task(resource, message)
        elif owner is not None:
            self.peer.send(owner, message)

    def _send_to_local_task(self, resource: str, message: t.Any) -> None:
        mailbox = self.supervisor.find_mailbox(resource)
        if mailbox is None:
            return
        try:
            mailbox.offer(message)
        except MailboxFullError:
            # The sender repeats every such message until it has taken effect.
            return

    def _broadcast_loads(self, report: m.LoadReport) -> None:
        self._record_loads(report)
        for peer in self.peer.peers():
            self.peer.send(peer, report)

    def _record_loads(self, report: m.LoadReport) -> None:
        self.front_context.dispatch = dispatch.record_loads(
            self.front_context.dispatch, report.loads
        )

    def _handle_peer_message(self, sender: str, message: t.Any) -> t.Any:
        now = self.clock.now()
        self.front_context.dispatch = dispatch.record_message(
            self.front_context.dispatch, sender, now
        )
        match message:
            case m.OfferCheck(instance):
                return self._answer_peer_request(instance_resource(instance), message)
            case m.SubmitWork(record):
                return self._answer_peer_request(
                    line_resource(record.upstream), message
                )
            case m.QueryWork(upstream) | m.CancelWork(upstream):
                return self._answer_peer_request(line_resource(upstream), message)
            case m.StartWork(record) if record.assignment is not None:
                instance = record.assignment.instance
                self._send_to_local_task(instance_resource(instance), message)
            case m.StopWork(instance) | m.EndRecorded(instance):
                self._send_to_local_task(instance_resource(instance), message)
            case m.WorkNotStarted(upstream) | m.WorkEnded(upstream):
                self._send_to_local_task(line_resource(upstream), message)
            case m.LoadReport():
                self._record_loads(message)
                self.supervisor.mailbox.offer(message)
            case m.Probe(revision=revision):
                return self._answer_probe(revision)
        return None

    def _answer_peer_request(self, resource: str, message: t.Any) -> t.Any:
        mailbox = self.supervisor.find_mailbox(resource)
        if mailbox is None:
            return m.NotRun("This entry does not hold it.", is_transient=True)
        try:
            return call(mailbox, message)
        except MailboxFullError as exc:
            return m.NotRun(exc.message, is_transient=True)

    def _answer_probe(self, revision: int) -> m.ProbeAnswer:
        own_revision = self.front_context.view.revision
        if own_revision is None:
            return m.ProbeAnswer(self.cfg.name, 0)
        newer = own_revision if own_revision.number > revision else None
        return m.ProbeAnswer(self.cfg.name, own_revision.number, newer)

    async def _probe_periodically(self) -> None:
        while True:
            await sleep(self.clock, PROBE_INTERVAL)
            for peer in self.peer.peers():
                spawn(self._probe_peer(peer))

    async def _probe_peer(self, peer: str) -> None:
        own_revision = self.front_context.view.revision
        probe = m.Probe(self.cfg.name, own_revision.number if own_revision else 0)
        try:
            answer = await self.peer.ask(peer, probe, PROBE_INTERVAL)
        except PeerUnreachableError:
            return
        await self.member.mailbox.put(member_states.PeerAnswered())
        if answer.newer is not None:
            await self.member.mailbox.put(member_states.RevisionReceived(answer.newer))

    async def _measure_lag_periodically(self) -> None:
        while True:
            due_at = self.clock.now() + LAG_SAMPLE_INTERVAL
            await sleep(self.clock, LAG_SAMPLE_INTERVAL)
            lag = self.clock.now() - due_at
            self.front_context.check_limiter = overload.observe_lag(
                self.front_context.check_limiter, lag
            )


def _raise_unreachable_on_timeout(failure: t.Any) -> t.Any:
    failure.trap(TimeoutError)
    raise PeerUnreachableError(
        "The task gave no answer in time.",
        "Retry, or query the work by its request id.",
    )
