"""Assembly of an entry that schedules jobs: its tasks and their connections."""

import datetime as dt
import random
import typing as t

from attrs import define, evolve, field
from klein import Klein
from twisted.internet.defer import Deferred, ensureDeferred

from . import job_message as m
from . import message
from .clock import Clock, sleep, with_timeout
from .decisions import (
    admission,
    authority,
    config_request,
    election,
    evacuated_zones,
    evacuation,
    planned_stop,
    room_admission,
    task_room,
)
from .decisions.admission import QueuedStarts
from .decisions.config_request import ConfigRequest
from .decisions.election import Leader
from .decisions.evacuated_zones import Evacuations
from .decisions.instance_tracking import AUTHORITY_TIMEOUT
from .decisions.intake import PortLimits, derive_limits, share_among_ports
from .decisions.room_admission import RoomGate, RoomRefusal, WorkBacklog
from .decisions.schedule_state import Schedule
from .decisions.task_room import TaskRoom
from .exceptions import MailboxFullError, PeerUnreachableError
from .fronts.intake import Intake
from .fronts.job import JobCodec, JobFront
from .fronts.where import MAX_WHERE_BODY_BYTES, WhereFront
from .job import JobConfig, JobSpec, Queue
from .job_front_context import JobFrontContext
from .job_metric import JobMetrics, make_metrics_app
from .job_settings import JobSettings
from .log import Event, log_event
from .mailbox import spawn
from .model import Member
from .process_load import ProcessClocks, SchedulerLoad
from .settings import ListenAddress
from .store import KeyValue
from .tasks import leadership
from .tasks.call import call
from .tasks.connectivity import ConnectivityTask, StoreSeen
from .tasks.leadership import ControlView, LeadershipTask
from .tasks.listener import CloseConnections, ConnectionsClosed, ListenerTask
from .tasks.load import LoadTask
from .tasks.peer import CurveKeys, FinishAnswers, LimitLinks, PeerTask
from .tasks.reach import SurveyTask, SurveyWanted, find_reached
from .tasks.relay import RelayingStore, execute_for_peer
from .tasks.scheduler import PlatformAdapter, ReadSchedule, Reelected, SchedulerTask
from .tasks.watch import Changes, Snapshot, StoreContact, WatchTask

#: Maximum wait of one watch call on the configuration. It bounds the delay until
#: a dead connection is noticed, so that changes still take effect in time.
CONFIG_WATCH_WAIT = dt.timedelta(milliseconds=1500)
#: Interval at which the leader announces itself to its peers.
ANNOUNCEMENT_INTERVAL = dt.timedelta(milliseconds=500)
#: Time from its start until an entry confirms a leader. If the earlier process followed
#: a later one, the authority of that leader has then ended for good: the later one
#: counts a follower for one timeout, and an announcement may be on its way for another.
CONFIRMATION_DELAY = authority.MAX_CONFIRMATION_GAP + 2 * AUTHORITY_TIMEOUT
#: Maximum wait for an answer from the scheduler, here or on a peer.
SCHEDULER_TIMEOUT = dt.timedelta(milliseconds=800)
NOT_READY_STATUS = 503
#: Largest request body that is read, in bytes, whatever the configuration allows.
MAX_BODY_BYTES = 1 << 20
#: The same on ports whose requests have no body.
MAX_EMPTY_BODY_BYTES = 1024
#: Characters of an unusable key that are logged, as many as the store allows bytes.
MAX_LOGGED_KEY_CHARS = 200
#: Maximum number of connections that wait to be accepted.
MAX_WAITING_CONNECTIONS = 500


@define(eq=False)
class JobEntry:
    """One entry that schedules jobs: its listeners, its tasks and their mailboxes.

    :param cfg: Validated settings.
    :param adapter: Access to the platform's store, configuration and instances.
    :param codec: Encoding of client requests and responses.
    :param on_end: Called once the planned stop is complete.
    :param make_peer: Creates the task that owns the connections to other entries.
    :param clocks: Clocks of the process, to measure its load.
    :param scheduler: The scheduling task, while this entry is the leader.
    """

    cfg: JobSettings
    adapter: PlatformAdapter
    codec: JobCodec
    clock: Clock
    reactor: t.Any
    on_end: t.Callable[[], None]
    make_peer: t.Callable[..., PeerTask] = PeerTask
    clocks: ProcessClocks = ProcessClocks()
    metrics: JobMetrics = field(init=False)
    front_context: JobFrontContext = field(init=False)
    peer: PeerTask = field(init=False)
    leadership: LeadershipTask = field(init=False)
    connectivity: ConnectivityTask = field(init=False)
    survey: SurveyTask = field(init=False)
    scheduler: SchedulerTask | None = None
    _random: random.Random = field(init=False)
    _relaying_store: RelayingStore = field(init=False)
    _is_store_reached: bool = False
    # When the own watch lost the store; an entry starts without it.
    _store_lost_at: dt.datetime = field(init=False)
    _is_stopping: bool = False
    _config_request: ConfigRequest = field(factory=ConfigRequest)
    # As the own watch of the store has told it, and the newest that anybody has.
    _watched_evacuations: Evacuations = Evacuations()
    _evacuations: Evacuations = Evacuations()
    _ignored_evacuations: set[str] = field(factory=set)
    _backlog: tuple[QueuedStarts, ...] = ()
    _work_backlog: tuple[WorkBacklog, ...] = ()
    _backlog_at: dt.datetime = field(init=False)
    _room_gate: RoomGate = field(factory=RoomGate)
    _started_at: dt.datetime = field(init=False)
    _listeners: list[ListenerTask] = field(factory=list)
    _port_limits: PortLimits = field(init=False)
    _intake: Intake = field(init=False)

    def __attrs_post_init__(self) -> None:
        cfg = self.cfg
        self._random = random.Random(cfg.seed or None)
        self._backlog_at = self._started_at = self.clock.now()
        self._store_lost_at = self._started_at
        self._relaying_store = RelayingStore(
            self.adapter.store,
            self.clock,
            self._call_store_via_peer,
            lambda: self.connectivity.is_store_out_of_reach(),
        )
        self.metrics = JobMetrics(cfg.name)
        self._port_limits = share_among_ports(
            derive_limits(cfg.memory_bytes, cfg.max_descriptors)
        )
        self._intake = Intake(
            self.clock,
            self._port_limits.clients,
            self.metrics.count_limited_client,
        )
        self.front_context = JobFrontContext(
            self.clock,
            self._relaying_store,
            self._ask_scheduler,
            self._send_to_scheduler,
            self.metrics,
            self._find_retry_after,
            self._find_outage,
            self._find_room_refusal,
            TaskRoom(task_room.derive_max_tasks(cfg.memory_bytes)),
        )
        self.peer = self.make_peer(
            cfg.name,
            cfg.peer_address,
            CurveKeys(),
            self.clock,
            self.reactor,
            self._handle_peer_message,
            m.JOB_MESSAGES,
        )
        self.peer.mailbox.offer(LimitLinks(self._port_limits.peer_connections))
        self.leadership = LeadershipTask(
            Member(cfg.name, cfg.zone, cfg.peer_address),
            self.adapter.store,
            self.clock,
            self._random,
            self._update_view,
            self._start_scheduling,
            self._stop_scheduling,
            cfg.capacity,
            self._describe_handover,
        )
        self.connectivity = ConnectivityTask(
            cfg.peer_address,
            self.adapter.store,
            self.clock,
            random.Random(self.cfg.seed or None),
            self.peer.peers,
            self._find_leader_name,
            self.peer.ask,
            self._may_schedule,
            lambda: self._relaying_store.set_store_reached(True),
            self.metrics.set_cut_off,
        )
        self.survey = SurveyTask(
            self.adapter.make_client,
            self._random,
            self.peer.peers,
            self.peer.ask,
            self.peer.send,
            self._find_own_fence,
            lambda fence, peer: self.leadership.mailbox.offer(
                leadership.PeerReachesMore(fence, peer)
            ),
        )

    def start(self) -> None:
        """Listen on all addresses and start the tasks."""
        config = WatchTask(
            self.adapter.store,
            self.adapter.config_prefix,
            self.clock,
            self._random,
            self._handle_config_watch,
            CONFIG_WATCH_WAIT,
        )
        load = LoadTask(
            self.clock,
            self.clocks,
            self.adapter.count_calls,
            self._take_scheduler_load,
            self.metrics,
        )
        for task in (
            self.peer,
            self.leadership,
            self.connectivity,
            self.survey,
            config,
            load,
        ):
            spawn(task.run())
        spawn(self._announce_periodically())
        front = JobFront(self.front_context, self.codec)
        self._listen(self.cfg.client_address, front.app.resource(), MAX_BODY_BYTES)
        # The balancer is answered however many connections clients have.
        self._listen(
            self.cfg.ready_address,
            self._make_ready_app().resource(),
            intake=Intake(
                self.clock,
                self._port_limits.readiness,
                self.metrics.count_limited_client,
            ),
        )
        if self.cfg.metrics_address is not None:
            app = make_metrics_app()
            where = WhereFront(self._read_schedule, self._find_leader_name, self.codec)
            where.add_routes(app)
            self._listen(self.cfg.metrics_address, app.resource(), MAX_WHERE_BODY_BYTES)
        log_event(Event.ENTRY_STARTED, availability_zone=self.cfg.zone)

    def _listen(
        self,
        address: ListenAddress,
        resource: t.Any,
        max_body_bytes: int = MAX_EMPTY_BODY_BYTES,
        intake: Intake | None = None,
    ) -> None:
        listener = ListenerTask(
            self.clock,
            lambda site: self.reactor.listenTCP(
                address.port, site, MAX_WAITING_CONNECTIONS, address.host
            ),
            resource,
            max_body_bytes,
            intake or self._intake,
        )
        listener.start()
        spawn(listener.run())
        self._listeners.append(listener)

    def _make_ready_app(self) -> Klein:
        app = Klein()

        @app.route("/", branch=True)
        def ready(request: t.Any) -> bytes:
            if self.is_ready():
                return b"{}"
            request.setResponseCode(NOT_READY_STATUS)
            return b"{}"

        return app

    def is_ready(self) -> bool:
        """Whether the entry has a configuration, can serve and is not stopping."""
        return (
            self.front_context.config is not None
            and not self._is_stopping
            and self.connectivity.is_ready()
        )

    def reload(self, cfg: JobSettings) -> None:
        """Apply the time limits of ``cfg``; changed addresses need a restart."""
        self.cfg = cfg
        if self.scheduler is not None:
            self.scheduler.lease = cfg.lease
        log_event(Event.SETTINGS_RELOADED, lease_s=cfg.lease.total_seconds())

    # A planned stop.

    def stop(self) -> None:
        """Start a planned stop and return at once; further calls have no effect."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self.front_context.is_draining = True
        log_event(Event.ENTRY_DRAINING)
        self.leadership.mailbox.offer(leadership.Resign())
        spawn(self._drain())

    async def _drain(self) -> None:
        """Serve until the balancer has reacted, then answer all, leave and end.

        What the requests need stays until the last answer is written out.
        """
        started_at = self.clock.now()
        times = planned_stop.plan_stop(started_at, self.cfg.grace)
        closed = ConnectionsClosed()
        try:
            await sleep(self.clock, times.accept_until - started_at)
            closed = await self._limit(self._close_listeners(times), times.leave_by)
            # Peers drop the answers of an entry that is no member.
            answered = call(self.peer.mailbox, FinishAnswers())
            await self._limit(answered, times.leave_by)
            left = call(self.leadership.mailbox, leadership.Leave())
            await self._limit(left, times.leave_by)
            answered = call(self.peer.mailbox, FinishAnswers())
            await self._limit(answered, times.leave_by)
        except TimeoutError as exc:
            log_event(Event.STOP_CUT_SHORT, reason=str(exc))
        finally:
            log_event(
                Event.ENTRY_STOPPED,
                after_s=round((self.clock.now() - started_at).total_seconds(), 3),
                answered=closed.answered,
                refused=closed.refused,
                cut=closed.cut,
            )
            try:
                self.peer.stop()
            finally:
                self.on_end()

    async def _close_listeners(
        self, times: planned_stop.StopTimes
    ) -> ConnectionsClosed:
        """Close all listeners at once; return what became of the clients' requests."""
        msg = CloseConnections(times.refuse_at, times.close_at)
        replies = [call(listener.mailbox, msg) for listener in self._listeners]
        closed = [await reply for reply in replies]
        return closed[0] if closed else ConnectionsClosed()

    def _limit(self, awaitable: t.Any, deadline: dt.datetime) -> Deferred[t.Any]:
        """Return a deferred with the result; it fails at the deadline without one."""
        deferred: Deferred[t.Any] = ensureDeferred(awaitable)
        time_left = max(deadline - self.clock.now(), dt.timedelta())
        return with_timeout(self.clock, deferred, time_left)

    # Configuration.

    def _handle_config_watch(self, msg: Snapshot | Changes | StoreContact) -> None:
        if isinstance(msg, StoreContact):
            self._relaying_store.set_store_reached(msg.is_reached)
            self.connectivity.mailbox.offer(StoreSeen(msg.is_reached or msg.is_refused))
            if msg.is_reached != self._is_store_reached:
                self._record_store_contact(msg.is_reached)
            return
        self._note_evacuations(msg)
        kvs = (
            msg.kvs
            if isinstance(msg, Snapshot)
            else tuple(e.kv for e in msg.events if not e.deleted)
        )
        for kv in kvs:
            if kv.key == self.adapter.config_key:
                cfg = self.adapter.decode_config(kv.value)
                if cfg is None:
                    log_event(Event.CONFIG_UNREADABLE, revision=kv.mod_revision)
                    continue
                self._apply_config(cfg, "store")

    def _note_evacuations(self, msg: Snapshot | Changes) -> None:
        """Take the written and deleted keys of evacuated zones into account."""
        prefix = self.adapter.evacuation_prefix
        if not prefix:
            return
        before = known = self._watched_evacuations
        if isinstance(msg, Snapshot):
            known, rows = Evacuations(), [(kv, False) for kv in msg.kvs]
        else:
            rows = [(event.kv, event.deleted) for event in msg.events]
        for kv, is_deleted in rows:
            if not kv.key.startswith(prefix):
                continue
            zone = kv.key.removeprefix(prefix)
            # A value that can't be read changes nothing while its key is there.
            is_written = not is_deleted and (
                self._is_usable_evacuation(zone, kv) or zone in before.zones
            )
            known = evacuated_zones.apply_changes(
                known,
                msg.revision,
                [zone] if is_written else [],
                [zone] if is_deleted else [],
            )
        self._watched_evacuations = evolve(known, revision=msg.revision)
        self._adopt_evacuations(self._watched_evacuations)

    def _is_usable_evacuation(self, zone: str, kv: KeyValue) -> bool:
        """Whether a key evacuates a zone; log one that doesn't, once."""
        is_unknown = evacuated_zones.find_unknown([zone], self.cfg.zones)
        if not is_unknown and self.adapter.is_evacuation(kv.value):
            self._ignored_evacuations.discard(zone)
            return True
        if zone not in self._ignored_evacuations:
            self._ignored_evacuations.add(zone)
            reason = "unknown zone" if is_unknown else "unreadable value"
            fields = {"key": kv.key[:MAX_LOGGED_KEY_CHARS], "reason": reason}
            log_event(Event.ZONE_UNKNOWN, **fields)
            self.metrics.count_event(Event.ZONE_UNKNOWN, fields)
        return False

    def _adopt_evacuations(self, evacuations: Evacuations) -> None:
        if not evacuations.is_newer_than(self._evacuations):
            return
        # What a peer tells may name anything.
        unknown = evacuated_zones.find_unknown(evacuations.zones, self.cfg.zones)
        zones = tuple(zone for zone in evacuations.zones if zone not in unknown)
        adopted = evolve(evacuations, zones=zones)
        if self.scheduler is not None:
            # If the mailbox is full, the view is offered again with the next message.
            self.scheduler.mailbox.offer(adopted)
        self._evacuations = adopted
        self.metrics.set_evacuated_zones(len(zones))

    def _record_store_contact(self, is_reached: bool) -> None:
        self._is_store_reached = is_reached
        if not is_reached:
            self._store_lost_at = self.clock.now()
        log_event(Event.STORE_BACK if is_reached else Event.STORE_AWAY)

    def _apply_config(self, cfg: JobConfig, source: str) -> None:
        current = self.front_context.config
        if current is not None and cfg.version <= current.version:
            return
        self.front_context.config = cfg
        self.metrics.set_config_version(cfg.version)
        log_event(Event.CONFIG_APPLIED, version=cfg.version, source=source)
        if self.scheduler is not None:
            self.scheduler.mailbox.offer(cfg)

    # Leadership and its announcement to peers.

    def _update_view(self, view: ControlView) -> None:
        self.front_context.view = view
        self.peer.mailbox.offer(message.View(self.cfg.name, members=view.members))

    def _start_scheduling(self, leader: Leader, is_uninterrupted: bool) -> None:
        if self.scheduler is not None:
            if is_uninterrupted:
                self.scheduler.mailbox.offer(Reelected(leader.fence, leader.term))
                self._announce_leader()
                return
            self._stop_scheduling()
        schedule = Schedule(leader.term, leader.fence, self.clock.now())
        schedule.config = self.front_context.config or JobConfig()
        for note in evacuation.apply_evacuations(
            schedule, self._evacuations, self.clock.now()
        ):
            log_event(note.event, **note.fields)
        self.scheduler = SchedulerTask(
            schedule,
            self.adapter,
            self.clock,
            self._random,
            self.cfg.lease,
            self.leadership.may_act,
            self.leadership.read_authority,
            lambda: self.leadership.mailbox.offer(leadership.ConfirmationWanted()),
            lambda fence: self.leadership.mailbox.offer(
                leadership.OwnFenceRefused(fence)
            ),
            self.metrics,
            self.cfg.status_time,
            self.clocks.steady_s,
            self.leadership.mailbox.offer,
            self.leadership.needs_instances,
            self.leadership.may_regain,
            lambda fence: self.leadership.mailbox.offer(leadership.LoadFailed(fence)),
            self.leadership.find_lease_record_date,
            lambda fence: self.leadership.mailbox.offer(
                leadership.PredecessorsStopped(fence)
            ),
            lambda fence, survey: self.survey.mailbox.offer(
                SurveyWanted(fence, survey)
            ),
        )
        self.metrics.set_leading(True)
        self.scheduler.start()
        self._announce_leader()

    def _stop_scheduling(self) -> None:
        if self.scheduler is not None:
            self.scheduler.stop()
            self.scheduler = None
            self.metrics.set_leading(False)

    def _describe_handover(self) -> str | None:
        return self.scheduler.describe_handover() if self.scheduler else None

    def _find_own_fence(self) -> int | None:
        """Return the fence under which this entry leads; ``None`` if it doesn't."""
        return self.scheduler.schedule.fence if self.scheduler is not None else None

    def _take_scheduler_load(self) -> SchedulerLoad | None:
        return self.scheduler.take_load() if self.scheduler is not None else None

    async def _announce_periodically(self) -> None:
        while True:
            await sleep(self.clock, ANNOUNCEMENT_INTERVAL)
            if self.leadership.is_leading:
                self._note_own_spare_tasks()
                self._announce_leader()

    def _announce_leader(self) -> None:
        announcement = self._make_announcement()
        for peer in self.peer.peers():
            self.peer.send(peer, announcement)

    def _make_announcement(self, answered: m.LeaderIs | None = None) -> m.LeaderIs:
        """Return what this entry announces, maybe in answer to a leader's message."""
        version = self.front_context.config.version if self.front_context.config else 0
        backlog = self.scheduler.find_backlog() if self.scheduler is not None else ()
        return m.LeaderIs(
            self.cfg.name,
            self.front_context.view.leader,
            version,
            self._can_lead(),
            backlog,
            self.clock.now(),
            answered.sent_at if answered is not None else None,
            self.clock.now() - self._started_at >= CONFIRMATION_DELAY,
            self.cfg.peer_address,
            self._evacuations,
            self.scheduler.find_work_backlog() if self.scheduler is not None else (),
            self._count_spare_tasks(),
        )

    def _count_spare_tasks(self) -> int | None:
        if self.scheduler is None:
            return None
        max_tasks = task_room.derive_max_tasks(self.cfg.memory_bytes)
        jobs = self.scheduler.schedule.jobs.values()
        return task_room.count_spare_tasks(jobs, max_tasks)

    def _note_spare_tasks(self, spare: int | None) -> None:
        entries = len(self.front_context.view.members)
        task_room.report_spare(self.front_context.task_room, spare, entries)

    def _note_own_spare_tasks(self) -> None:
        spare = self._count_spare_tasks()
        if spare is not None:
            self._note_spare_tasks(spare)

    def _find_leader_name(self) -> str | None:
        leader = self.front_context.view.leader
        return leader.name if leader is not None else None

    def _may_schedule(self) -> bool:
        """Whether this entry is the leader and may act as such."""
        return self.scheduler is not None and self.leadership.may_act()

    def _can_lead(self) -> bool:
        return self.is_ready() and self._is_store_reached and self.leadership.can_lead()

    # Messages from peers and to the scheduler.

    def _handle_peer_message(self, sender: str, msg: t.Any) -> t.Any:
        match msg:
            case m.LeaderIs():
                self._handle_announcement(sender, msg)
            case m.ConfigWanted():
                if self.front_context.config is not None:
                    self.peer.send(sender, self.front_context.config)
            case JobConfig():
                self._apply_config(msg, sender)
            case m.JobTold() | m.CancelTold():
                if self.scheduler is not None:
                    self._notify_local_scheduler(self.scheduler, msg)
            case m.FindPhase() | m.CountPending():
                return self._ask_local_scheduler(msg)
            case m.StoreAsked():
                return Deferred.fromCoroutine(execute_for_peer(self.adapter.store, msg))
            case m.ReachAsked():
                return Deferred.fromCoroutine(self._answer_survey(msg))
            case m.YieldAsked():
                leader = self.front_context.view.leader
                if leader is not None and leader.name == sender:
                    self.leadership.mailbox.offer(leadership.YieldCandidacy())
            case m.ContactAsked(address):
                self._note_address(sender, address)
                return m.ContactIs(self._is_store_reached, self._may_schedule())
        return None

    async def _answer_survey(self, asked: m.ReachAsked) -> m.ReachIs:
        instances = await find_reached(self.adapter.make_client, asked.instances)
        return m.ReachIs(instances, self._can_lead())

    def _note_address(self, peer: str, address: str) -> None:
        """Connect to a peer that the store can't tell about."""
        if address and not self._is_store_reached:
            self.leadership.mailbox.offer(leadership.PeerIntroduced(peer, address))

    def _handle_announcement(self, sender: str, msg: m.LeaderIs) -> None:
        leader = msg.leader
        self._note_address(sender, msg.address)
        self._adopt_evacuations(msg.evacuations)
        own_version = (
            self.front_context.config.version if self.front_context.config else 0
        )
        if config_request.must_ask(
            self._config_request,
            msg.version,
            own_version,
            self._is_store_reached,
            self.clock.now(),
        ):
            self.peer.send(sender, m.ConfigWanted())
        if leader is None:
            return
        if self.leadership.is_leading and not election.is_newer(
            self.front_context.view.leader, leader
        ):
            self.leadership.mailbox.offer(
                leadership.LeadershipConfirmed(
                    sender,
                    msg.can_lead,
                    leader.fence,
                    msg.answered_at,
                    msg.may_confirm,
                )
            )
            return
        self.leadership.mailbox.offer(leadership.LeaderAnnounced(leader))
        if leader.name == sender:
            self._backlog, self._backlog_at = msg.backlog, self.clock.now()
            self._work_backlog = msg.work_backlog
            self._note_spare_tasks(msg.spare_tasks)
            # Lets the leader see whether its peers know of a later one.
            self.peer.send(sender, self._make_announcement(msg))

    def _ask_scheduler(self, msg: t.Any) -> Deferred[t.Any]:
        """Send a request to the scheduler and return its answer."""
        if self.scheduler is not None:
            return self._ask_local_scheduler(msg)
        leader = self.front_context.view.leader
        if leader is None or leader.name == self.cfg.name:
            raise PeerUnreachableError(
                "No entry schedules jobs at present.",
                "Retry in a few seconds, after the election of a scheduler.",
            )
        if self.connectivity.is_silent(leader.name):
            raise PeerUnreachableError(
                f"Entry {leader.name}, which schedules, does not answer this entry.",
                "Retry at another entry, or after a second.",
            )
        return self.peer.ask(leader.name, msg, SCHEDULER_TIMEOUT)

    def _call_store_via_peer(
        self, request: m.StoreAsked, timeout: dt.timedelta
    ) -> Deferred[m.StoreAnswer]:
        """Have the leader, or a random peer if it is unknown, call the store.

        Those that are known to reach the store go first.
        """
        peers = sorted(self.connectivity.find_relays() or self.peer.peers())
        if not peers:
            raise PeerUnreachableError(
                "There is no peer to call the store.",
                "Retry once a peer has joined.",
                True,
            )
        leader = self.front_context.view.leader
        has_leader_peer = leader is not None and leader.name in peers
        name = leader.name if has_leader_peer and leader else self._random.choice(peers)
        return self.peer.ask(name, request, timeout)

    def _ask_local_scheduler(self, msg: t.Any) -> t.Any:
        if self.scheduler is None:
            return m.NotScheduler()
        try:
            answer = call(self.scheduler.mailbox, msg)
        except MailboxFullError:
            return m.NotScheduler()
        return with_timeout(self.clock, answer, SCHEDULER_TIMEOUT).addErrback(
            lambda failure: failure.trap(TimeoutError) and m.NotScheduler()
        )

    def _read_schedule(self, read: t.Callable[[Schedule, dt.datetime], t.Any]) -> t.Any:
        """Return what ``read`` returns; ``NotScheduler`` if this entry doesn't lead."""
        if not self._may_schedule():
            return m.NotScheduler()
        return self._ask_local_scheduler(ReadSchedule(read))

    def _send_to_scheduler(self, msg: t.Any) -> None:
        """Send a message to the scheduler; its delivery to a peer is not guaranteed."""
        if self.scheduler is not None:
            self._notify_local_scheduler(self.scheduler, msg)
            return
        leader = self.front_context.view.leader
        if leader is not None:
            self.peer.send(leader.name, msg)

    def _notify_local_scheduler(
        self, scheduler: SchedulerTask, msg: m.JobTold | m.CancelTold
    ) -> None:
        """Notify the scheduler of what is stored; its watch reports it as well."""
        try:
            scheduler.mailbox.offer(msg)
        except MailboxFullError as exc:
            kind = type(msg).__name__
            log_event(Event.NOTICE_DROPPED, kind=kind, reason=exc.message)

    def _find_retry_after(self, priority: int) -> dt.timedelta | None:
        if self.scheduler is not None:
            backlog, age = self.scheduler.find_backlog(), dt.timedelta()
        else:
            backlog, age = self._backlog, self.clock.now() - self._backlog_at
        return admission.find_retry_after(backlog, age, priority)

    def _find_outage(self) -> dt.timedelta | None:
        """Return for how long the own watch has not reached the store."""
        if self._is_store_reached:
            return None
        return self.clock.now() - self._store_lost_at

    def _find_room_refusal(self, queue: Queue, spec: JobSpec) -> RoomRefusal | None:
        if self.scheduler is not None:
            backlog, age = self.scheduler.find_work_backlog(), dt.timedelta()
        else:
            backlog, age = self._work_backlog, self.clock.now() - self._backlog_at
        return room_admission.find_refusal(self._room_gate, backlog, age, queue, spec)
