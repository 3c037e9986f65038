"""The task that schedules all jobs while its entry is the leader."""

import datetime as dt
import random
import typing as t

from attrs import define, field, frozen

from .. import job_message as m
from ..clock import Clock, read_steady_s, sleep, sleep_until_multiple
from ..codec import from_json, to_json
from ..decisions import (
    admission,
    evacuation,
    filler_control,
    handover,
    instance_tracking,
    interference,
    job_lifecycle,
    placement,
    reach,
    regrouping,
    room_admission,
    run_updates,
    start_window,
    waiting,
)
from ..decisions.admission import QueuedStarts
from ..decisions.authority import Authority
from ..decisions.evacuated_zones import Evacuations
from ..decisions.handover import Handover, LeaseBounds
from ..decisions.leader_status import LeaderStatus
from ..decisions.reach import Survey, SurveyPlan
from ..decisions.room_admission import WorkBacklog
from ..decisions.schedule_state import (
    INCARNATIONS_PER_TERM,
    InstanceState,
    JobState,
    LogNote,
    Order,
    Schedule,
)
from ..exceptions import RequestError, StoreError
from ..job import (
    JobConfig,
    JobEnding,
    JobPhase,
    JobProgress,
    JobRecord,
    TaskKey,
    find_fault,
)
from ..job_metric import JobMetrics
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..process_load import AllCallCounts, SchedulerCounters, SchedulerLoad, timed
from ..run import RegisteredInstance
from ..store import (
    CANCEL_MARK_SUFFIX,
    FLEET_KEY,
    HANDOVER_KEY,
    JOB_CONTROL_PREFIX,
    JOB_LEADER_KEY,
    JOB_LEASES_KEY,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    LEARNED_EFFECTS_KEY,
    Compare,
    KeyValue,
    Put,
    Range,
    RangeResult,
    Txn,
)
from . import agent as agent_messages
from .agent import AgentTask, InstanceClient
from .call import Call
from .fleet import Fleet, FleetRecorded, FleetTask, RecordFleet
from .job_lookup import JobLookedUp, JobLookupTask, LookUpJobs
from .leadership import InstancesAnswered
from .pending_listings import (
    PendingListings,
    await_jobs,
    count_awaiting_listings,
    put_listing,
    remove_listing,
    resolve_job,
)
from .recorder import JobsRecorded, JobWrite, LeadershipLost, RecorderTask, RecordJobs
from .repeated_call import RepeatBudget
from .sweeper import SweeperTask
from .watch import (
    STORE_TIMEOUT,
    Changes,
    Snapshot,
    StoreClient,
    StoreContact,
    WatchTask,
    read_all,
)

#: Delay between a change and the placement of tasks, so that changes are batched.
PLACEMENT_DELAY = dt.timedelta(milliseconds=5)
#: Minimum time between two writes of progress, since each write is billed. Endings, for
#: which clients wait, are written at once.
MIN_FLUSH_INTERVAL = dt.timedelta(milliseconds=80)
#: Interval at which timeouts are checked.
TICK_INTERVAL = dt.timedelta(milliseconds=100)
#: Age of the store's confirmation from which instances are asked for an answer at once:
#: the listings under way may be answered after the authority has ended.
MAX_CONFIRMATION_AGE = dt.timedelta(milliseconds=900)
#: Maximum time to wait for all instances to accept the fence before jobs are read.
MAX_FENCING_WAIT = dt.timedelta(milliseconds=500)
#: How long reads of the jobs may fail one after the other before another entry should
#: lead: the store may serve it.
MAX_LOAD_FAILURE = dt.timedelta(seconds=3)
#: Minimum time between two watches of registrations or of jobs. Entries also notify
#: the scheduler directly of new jobs.
MIN_WATCH_INTERVAL = dt.timedelta(milliseconds=300)
#: Minimum time between two sums of the work that waits for room. With 1,000 jobs of 40
#: tasks one takes 6 to 27 ms.
BACKLOG_INTERVAL = dt.timedelta(seconds=1)
#: Maximum wait of a watch of registrations. A channel that has gone silent is noticed
#: after it and the margin of a watch, and until then instances that leave get starts.
REGISTRATIONS_WAIT = dt.timedelta(seconds=1)
#: Interval at which learned interference is stored for the next scheduler.
LEARNED_WRITE_INTERVAL = dt.timedelta(seconds=5)
#: Characters of an unreadable key that are logged, as many as the store allows bytes.
MAX_LOGGED_KEY_CHARS = 200
#: Maximum number of remembered IDs of jobs that the store does not contain. One that is
#: forgotten is looked up again for the next listing that names it.
MAX_ABSENT_JOBS = 10_000


@frozen
class PlatformAdapter:
    """Access to a platform's store and instances, and decoders of its formats.

    :param config_prefix: Prefix of the keys that the operator writes.
    :param config_key: Key of the configuration.
    :param instances_prefix: Prefix of the registrations of instances.
    :param decode_config: Decodes a configuration; returns ``None`` if it is invalid.
    :param decode_instance: Decodes the key and value of a registration; returns
        ``None`` if it is invalid.
    :param make_client: Creates a client for one incarnation of an instance.
    :param count_calls: Returns the calls sent since the start of the process.
    :param evacuation_prefix: Prefix of the keys that each evacuate an availability
        zone, followed by its name; empty if the platform has none.
    :param is_evacuation: Whether the value of such a key can be read.
    """

    store: StoreClient
    config_prefix: str
    config_key: str
    instances_prefix: str
    decode_config: t.Callable[[str], JobConfig | None]
    decode_instance: t.Callable[[str, str], RegisteredInstance | None]
    make_client: t.Callable[[RegisteredInstance], InstanceClient]
    count_calls: t.Callable[[], AllCallCounts] = AllCallCounts
    evacuation_prefix: str = ""
    is_evacuation: t.Callable[[str], bool] = lambda _: True


@frozen
class Tick:
    """Requests a check of timeouts; sent every ``TICK_INTERVAL``."""


@frozen
class FleetLoaded:
    """What earlier schedulers have left has been read from the store.

    :param record: Their record of the fleet; ``None`` if none is stored.
    :param bounds: The same for the ends of leases.
    :param handover: The same for the hand-over.
    :param read_at: When they were read.
    """

    record: KeyValue | None
    bounds: KeyValue | None
    handover: KeyValue | None
    read_at: dt.datetime


@frozen
class StateLoaded:
    """All jobs have been read from the store.

    :param took: Time that the reads took.
    :param learned: Learned interference; ``None`` if none is stored.
    """

    jobs: Snapshot
    progress: Snapshot
    learned: KeyValue | None
    took: dt.timedelta


@frozen
class InheritedRunsBound:
    """Jobs accepted after ``revision`` have no runs from an earlier scheduler."""

    revision: int


@frozen
class ReadSchedule:
    """Requests what a function returns for the schedule, which it must not change.

    :param read: Gets the schedule and the time; must not raise.
    """

    read: t.Callable[[Schedule, dt.datetime], t.Any]


@frozen
class Reelected:
    """The entry was re-elected with no other leader in between."""

    fence: int
    term: int


@define(eq=False)
class SchedulerTask:
    """Owns the schedule and the agents of all instances.

    :param lease: Lease requested for runs.
    :param may_act: Whether the entry may send orders now.
    :param read_authority: Returns what may be inferred from silence.
    :param request_confirmation: Called to have the store confirm this entry soon.
    :param on_fence_refused: Called with the fence of a term that an instance or the
        store refused.
    :param on_load_failed: Called with the fence if this entry can't read the jobs.
    :param status_time: How long the outcome of an ended job must be available.
    :param steady_s: Source of steady seconds, to measure durations.
    :param report_instances: Called with the instances that have answered.
    :param may_regain: Whether instances and peers may give this entry its authority
        back.
    :param needs_instances: Whether instances must confirm this entry as the leader.
    :param find_lease_record_date: Returns when this entry first saw a revision of the
        stored ends of leases; ``None`` if it has not seen it.
    :param on_handed_over: Called with the fence if all earlier leaders have stopped.
    :param request_survey: Called with the fence and with instances, to find out whether
        a peer reaches more of them.
    :param agents: Agent of each instance, by instance ID.
    """

    schedule: Schedule
    adapter: PlatformAdapter
    clock: Clock
    random: random.Random
    lease: dt.timedelta
    may_act: t.Callable[[], bool]
    read_authority: t.Callable[[], Authority]
    request_confirmation: t.Callable[[], None]
    on_fence_refused: t.Callable[[int], None]
    metrics: JobMetrics
    status_time: dt.timedelta
    steady_s: t.Callable[[], float] = read_steady_s
    report_instances: t.Callable[[InstancesAnswered], None] = lambda _: None
    needs_instances: t.Callable[[], bool] = lambda: False
    may_regain: t.Callable[[], bool] = lambda: False
    on_load_failed: t.Callable[[int], None] = lambda _: None
    find_lease_record_date: t.Callable[[int], dt.datetime | None] = lambda _: None
    on_handed_over: t.Callable[[int], None] = lambda _: None
    request_survey: t.Callable[[int, Survey], None] = lambda _fence, _survey: None
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("scheduler", 65536))
    agents: dict[str, AgentTask] = field(factory=dict)
    _recorder: RecorderTask = field(init=False)
    _sweeper: SweeperTask = field(init=False)
    _fleet: FleetTask = field(init=False)
    _lookup: JobLookupTask = field(init=False)
    # By instance ID, those of upstreams that are not configured.
    _ignored_registrations: dict[str, KeyValue] = field(factory=dict)
    _fleet_read_revision: int = 0
    # Those of the stored fleet that have yet to be listed.
    _recorded_instances: tuple[RegisteredInstance, ...] = ()
    _are_registrations_known: bool = False
    _requested_fleet: Fleet | None = None
    _requested_bounds: dict[str, dt.datetime] = field(factory=dict)
    _is_fleet_write_pending: bool = False
    _deferreds: list[t.Any] = field(factory=list)
    _is_loaded: bool = False
    # Since when all reads of the load have failed.
    _load_failing_since: dt.datetime | None = None
    _pending: PendingListings = field(factory=PendingListings)
    _job_ids_in_lookup: set[str] = field(factory=set)
    _absent_job_ids: dict[str, None] = field(factory=dict)
    _acknowledged_sequences: dict[str, int] = field(factory=dict)
    # Instances that have answered under the fence, and their answers since the last
    # report of them.
    _answered_ids: set[str] = field(factory=set)
    _new_answers: dict[str, tuple[str, dt.datetime]] = field(factory=dict)
    # Whether instances were asked for an answer since the store last confirmed.
    _are_answers_wanted: bool = False
    _is_writing: bool = False
    # Jobs whose write has been requested and not yet been answered.
    _job_ids_in_write: set[str] = field(factory=set)
    _flushed_at: dt.datetime | None = None
    _placement_call: t.Any = None
    _next_round_at: dt.datetime = field(init=False)
    _counters: SchedulerCounters = field(factory=SchedulerCounters)
    _write_requested_s: float = 0.0
    _repeats: RepeatBudget = field(init=False)
    _wait_watch: waiting.WaitWatch = field(factory=waiting.WaitWatch)
    _work_backlog: tuple[WorkBacklog, ...] = ()
    _work_backlog_at: dt.datetime | None = None
    _survey_plan: SurveyPlan = field(factory=SurveyPlan)
    #: Registrations that were unreadable when they were last read.
    _unreadable_keys: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._next_round_at = self.clock.now()
        # What the entry can carry is found by the starts that are not repeated.
        self._repeats = RepeatBudget(lambda: self.schedule.start_window.limit)
        self._sweeper = SweeperTask(
            self.adapter.store, self.clock, self.status_time, self.schedule.fence
        )
        self._recorder = RecorderTask(
            self.adapter.store, self.clock, self.mailbox.offer
        )
        self._fleet = FleetTask(self.adapter.store, self.clock, self.mailbox.offer)
        self._lookup = JobLookupTask(
            self.adapter.store,
            self.clock,
            self.mailbox.offer,
            lambda exc: self._record_store_failure("verify", exc),
        )

    def start(self) -> None:
        """Start the tasks that watch, schedule and write."""
        instances = WatchTask(
            self.adapter.store,
            self.adapter.instances_prefix,
            self.clock,
            self.random,
            self.mailbox.offer,
            wait=REGISTRATIONS_WAIT,
            pause=MIN_WATCH_INTERVAL,
        )
        loops = (
            process_messages(self.mailbox, self._handle_measured, "scheduler"),
            instances.run(),
            self._recorder.run(),
            self._fleet.run(),
            self._lookup.run(),
            self._load_state(),
            self._find_inherited_runs_bound(),
            self._tick_periodically(),
            self._write_learned_periodically(),
            self._sweeper.run(),
        )
        self._deferreds.extend(spawn(loop) for loop in loops)

    def stop(self) -> None:
        """Stop all tasks of the scheduler; runs continue until their leases expire."""
        for deferred in self._deferreds:
            deferred.cancel()
        for agent in self.agents.values():
            agent.stop()
        if self._placement_call is not None and self._placement_call.active():
            self._placement_call.cancel()

    def take_load(self) -> SchedulerLoad:
        """Return the load, and count anew what is done from now on."""
        done, self._counters = self._counters, SchedulerCounters()
        jobs = self.schedule.jobs
        write_age_s = self.steady_s() - self._write_requested_s
        return SchedulerLoad(
            self.schedule.term,
            done,
            len(self.mailbox),
            len(jobs),
            sum(job.count_waiting_tasks() for job in jobs.values()),
            len(self.schedule.instances),
            len(self.schedule.unsaved_jobs),
            write_age_s if self._is_writing else 0.0,
            int(self.schedule.start_window.limit),
            len(self.schedule.start_window.sent_at),
            start_window.take_counts(self.schedule.start_window),
        )

    def find_backlog(self) -> tuple[QueuedStarts, ...]:
        """Return what has yet to be started, if this entry limits the starts."""
        return admission.find_backlog(self.schedule, self.clock.now())

    def find_work_backlog(self) -> tuple[WorkBacklog, ...]:
        """Return what waits for room; found anew at most each announcement."""
        now = self.clock.now()
        if self._work_backlog_at is None or (
            now - self._work_backlog_at >= BACKLOG_INTERVAL
        ):
            self._work_backlog_at = now
            self._work_backlog = room_admission.find_work_backlog(self.schedule, now)
        return self._work_backlog

    async def _tick_periodically(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            self.mailbox.offer(Tick())

    async def _write_learned_periodically(self) -> None:
        while True:
            await sleep_until_multiple(self.clock, LEARNED_WRITE_INTERVAL)
            if not self._is_loaded or not self.schedule.interference.effects:
                continue
            value = to_json(interference.export_effects(self.schedule.interference))
            txn = Txn(
                (Compare(JOB_LEADER_KEY, self.schedule.fence),),
                (Put(LEARNED_EFFECTS_KEY, value),),
            )
            try:
                await self.adapter.store.call(txn, STORE_TIMEOUT)
            except StoreError as exc:
                self._record_store_failure("keep", exc)

    async def _load_state(self) -> None:
        """Read the fleet, and all jobs once the instances have accepted the fence.

        Every run started by an earlier scheduler then belongs to a job that is read
        here. The wait is limited to ``MAX_FENCING_WAIT``.

        Jobs and progress are read one after the other. Reading both at once would be
        safe, since only the leader writes progress and ends jobs, and this one does
        neither before it has loaded. It would take as long on a slow link, though,
        and leave less of it to the renewals of the leader's lease.
        """
        records = [
            await self._read_key(key, "load")
            for key in (FLEET_KEY, JOB_LEASES_KEY, HANDOVER_KEY)
        ]
        self.mailbox.offer(FleetLoaded(*records, self.clock.now()))
        waited = dt.timedelta()
        while not self._has_fenced_predecessors() and waited < MAX_FENCING_WAIT:
            await sleep(self.clock, PLACEMENT_DELAY * 2)
            waited += PLACEMENT_DELAY * 2
        store, started_at = self.adapter.store, self.clock.now()
        jobs = await read_all(
            store, JOBS_PREFIX, self._pause_load, self._note_loaded_page
        )
        progress = await read_all(
            store, JOB_PROGRESS_PREFIX, self._pause_load, self._note_loaded_page
        )
        learned = await self._read_key(LEARNED_EFFECTS_KEY, "load")
        took = self.clock.now() - started_at
        self.mailbox.offer(StateLoaded(jobs, progress, learned, took))
        watch = WatchTask(
            self.adapter.store,
            JOBS_PREFIX,
            self.clock,
            self.random,
            self.mailbox.offer,
            pause=MIN_WATCH_INTERVAL,
            revision=jobs.revision,
        )
        self._deferreds.append(spawn(watch.run()))

    async def _find_inherited_runs_bound(self) -> None:
        """Read the store's revision once no earlier scheduler may act.

        A prefix is read because the answer for a missing key has no revision.
        """
        while not instance_tracking.has_sole_authority(self.schedule, self.clock.now()):
            await sleep(self.clock, TICK_INTERVAL)
        found = await self._read(Range(JOB_CONTROL_PREFIX, is_prefix=True), "revision")
        self.mailbox.offer(InheritedRunsBound(found.revision))

    async def _read_key(self, key: str, what: str) -> KeyValue | None:
        result = await self._read(Range(key), what)
        return next(iter(result.kvs), None)

    async def _read(self, req: Range, what: str) -> RangeResult:
        """Read from the store, with retries; ``what`` names the read in the log."""
        while True:
            try:
                return await self.adapter.store.call(req, STORE_TIMEOUT)
            except StoreError as exc:
                await self._pause_after_failure(what, exc)

    async def _pause_load(self, exc: StoreError) -> None:
        await self._pause_after_failure("load", exc)
        now = self.clock.now()
        self._load_failing_since = self._load_failing_since or now
        if now - self._load_failing_since >= MAX_LOAD_FAILURE:
            # Called later, because the callback may cancel this coroutine.
            fence = self.schedule.fence
            self.clock.call_later(dt.timedelta(), lambda: self.on_load_failed(fence))

    def _note_loaded_page(self) -> None:
        self._load_failing_since = None

    async def _pause_after_failure(self, what: str, exc: StoreError) -> None:
        self._record_store_failure(what, exc)
        await sleep(self.clock, TICK_INTERVAL)

    def _record_store_failure(self, what: str, exc: StoreError) -> None:
        log_event(Event.STORE_CALL_FAILED, what=what, reason=exc.message)
        self.metrics.count_store_failure(what)

    def _has_fenced_predecessors(self) -> bool:
        """Whether earlier schedulers have stopped, or no instance obeys them.

        Only meaningful until jobs are loaded: pending listings are removed later.
        """
        if self.schedule.is_handed_over:
            return True
        return bool(self.agents) and self._pending.by_instance.keys() >= (
            self.agents.keys()
        )

    def _handle_measured(self, msg: t.Any) -> None:
        timed(self.steady_s, self._counters.messages.add, self._handle, msg)

    def _read_clock(self) -> dt.datetime:
        now = self.clock.now()
        self.schedule.wall_offset = self.clock.wall_now() - now
        return now

    def _handle(self, msg: t.Any) -> None:
        now = self._read_clock()
        match msg:
            case Call(message, reply):
                reply.callback(self._answer(message))
                return
            case m.JobTold(record, revision):
                # Jobs accepted before the term are loaded, with their progress; one
                # that the load lacks has ended.
                if revision > self.schedule.fence:
                    self._apply_effects(
                        job_lifecycle.add_job(self.schedule, record, revision, now)
                    )
            case m.CancelTold(job_id):
                self._apply_effects(job_lifecycle.cancel_job(self.schedule, job_id))
            case FleetLoaded():
                self._inherit(msg)
            case StateLoaded():
                self._handle_loaded_state(msg, now)
            case JobLookedUp():
                self._handle_looked_up_job(msg, now)
            case Snapshot() | Changes():
                self._handle_store_keys(msg, now)
            case JobsRecorded():
                self._handle_recorded(msg)
            case FleetRecorded():
                self._handle_recorded_fleet(msg)
            case LeadershipLost(fence):
                # Requests under an earlier fence were made again under the current one.
                # No other follows this one, which is made again after a re-election.
                if fence == self.schedule.fence:
                    self._notify_fence_refused(fence)
            case InheritedRunsBound(revision):
                self.schedule.no_inherited_runs_after = revision
            case Reelected(fence, term):
                self.schedule.latest_term = term
                self._update_fence(fence)
            case Tick():
                timed(self.steady_s, self._counters.ticks.add, self._handle_tick, now)
            case JobConfig():
                job_lifecycle.apply_config(self.schedule, msg)
                self._reconsider_ignored_registrations()
            case Evacuations():
                self._apply_effects(
                    evacuation.apply_evacuations(self.schedule, msg, now)
                )
            case StoreContact():
                return
            case _:
                self._handle_report(msg, now)
        self._request_placement()

    def _answer(self, message: t.Any) -> t.Any:
        match message:
            case m.FindPhase(job_id):
                return m.PhaseIs(self._find_phase(job_id))
            case m.CountPending(queue):
                return m.PendingIs(self._count_pending(queue))
            case ReadSchedule(read) if self._is_loaded:
                return read(self.schedule, self.clock.now())
        return m.NotScheduler()

    def _find_phase(self, job_id: str) -> JobPhase | None:
        job = self.schedule.jobs.get(job_id)
        if job is None:
            return self.schedule.ended_phases.get(job_id)
        if job.is_ended and not job.is_end_stored:
            return JobPhase.RUNNING
        return job.phase

    def _count_pending(self, queue: str) -> int | None:
        if not self._is_loaded:
            return None
        return sum(
            job.record.queue == queue and job.phase is JobPhase.QUEUED
            for job in self.schedule.jobs.values()
        )

    def _apply_effects(self, effects: t.Sequence[t.Any]) -> None:
        if effects:
            record = self._counters.effects.add
            timed(self.steady_s, record, self._apply_effects_now, effects)

    def _apply_effects_now(self, effects: t.Sequence[t.Any]) -> None:
        for effect in effects:
            match effect:
                case Order(instance_id, order):
                    agent = self.agents.get(instance_id)
                    if agent is not None:
                        self._counters.orders += 1
                        agent.mailbox.offer(order)
                case LogNote(event, fields):
                    log_event(event, **fields)
                    self.metrics.count_event(event, fields)

    # Jobs and instances in the store.

    def _handle_store_keys(self, msg: Snapshot | Changes, now: dt.datetime) -> None:
        is_snapshot = isinstance(msg, Snapshot)
        rows = (
            [(kv, False) for kv in msg.kvs]
            if is_snapshot
            else [(event.kv, event.deleted) for event in msg.events]
        )
        if msg.prefix == JOBS_PREFIX:
            for kv, is_deleted in rows:
                if not is_deleted:
                    self._handle_job_key(kv, now)
            return
        for kv, is_deleted in rows:
            self._handle_registration(kv, is_deleted)
        if is_snapshot:
            prefix = self.adapter.instances_prefix
            listed_ids = {kv.key.removeprefix(prefix) for kv in msg.kvs}
            for instance_id in self._ignored_registrations.keys() - listed_ids:
                del self._ignored_registrations[instance_id]
            self._unreadable_keys.intersection_update(kv.key for kv in msg.kvs)
            missing = sorted(self.schedule.instances.keys() - listed_ids)
            self._apply_effects(
                instance_tracking.unregister_instances(self.schedule, missing)
            )
            self._are_registrations_known = True
            self._list_recorded_instances()

    def _handle_job_key(self, kv: KeyValue, now: dt.datetime) -> None:
        if kv.key.endswith(CANCEL_MARK_SUFFIX):
            job_id = kv.key.removeprefix(JOBS_PREFIX).removesuffix(CANCEL_MARK_SUFFIX)
            self._apply_effects(job_lifecycle.cancel_job(self.schedule, job_id))
            return
        record = _decode_record(kv, JobRecord)
        if record is not None:
            self._apply_effects(
                job_lifecycle.add_job(self.schedule, record, kv.mod_revision, now)
            )

    def _handle_registration(self, kv: KeyValue, is_deleted: bool) -> None:
        instance_id = kv.key.removeprefix(self.adapter.instances_prefix)
        self._ignored_registrations.pop(instance_id, None)
        if is_deleted:
            self._unreadable_keys.discard(kv.key)
            self._unregister_instance(instance_id)
            return
        instance = self.adapter.decode_instance(kv.key, kv.value)
        self._note_readability(kv.key, instance is not None)
        if instance is None:
            self._unregister_instance(instance_id)
        elif instance.upstream in self.schedule.config.upstreams:
            self._add_instance(instance)
        else:
            self._ignored_registrations[instance_id] = kv
            self._handle_unserved_instance(instance)

    def _handle_unserved_instance(self, instance: RegisteredInstance) -> None:
        """Use no instance of an upstream that isn't configured; its runs go on."""
        known = self.schedule.instances.get(instance.instance_id)
        if known is None:
            if instance.instance_id in (self.schedule.inherited_fleet or ()):
                self._list_unregistered(instance)
        elif known.instance.upstream != instance.upstream:
            self._unregister_instance(instance.instance_id)

    def _list_unregistered(self, instance: RegisteredInstance) -> None:
        """List an instance that is not used, and renew the leases of its runs."""
        now = self.clock.now()
        instance_tracking.add_unregistered(self.schedule, instance, now)
        if instance.instance_id not in self.agents:
            self._start_agent(instance)

    def _note_readability(self, key: str, is_readable: bool) -> None:
        """Log once that a registration became unreadable, however often it changes."""
        if is_readable:
            self._unreadable_keys.discard(key)
        elif key not in self._unreadable_keys:
            self._unreadable_keys.add(key)
            log_event(Event.REGISTRATION_UNREADABLE, key=key[:MAX_LOGGED_KEY_CHARS])

    def _unregister_instance(self, instance_id: str) -> None:
        self._apply_effects(
            instance_tracking.unregister_instances(self.schedule, (instance_id,))
        )

    def _add_instance(self, instance: RegisteredInstance) -> None:
        instance_id = instance.instance_id
        known = self.schedule.instances.get(instance_id)
        if known is not None and instance_tracking.is_outdated(known, instance):
            return
        if known is not None and instance_tracking.has_restarted(known, instance):
            self._handle_restart(instance_id, instance.incarnation)
        effects = instance_tracking.add_instance(
            self.schedule, instance, self.clock.now()
        )
        if instance_id not in self.agents:
            self._start_agent(instance)
        self._apply_effects(effects)

    def _reconsider_ignored_registrations(self) -> None:
        for kv in list(self._ignored_registrations.values()):
            self._handle_registration(kv, False)

    def _start_agent(self, instance: RegisteredInstance) -> None:
        agent = AgentTask(
            self.adapter.make_client(instance),
            self.clock,
            self.lease,
            self.schedule.fence_for(self.schedule.instances[instance.instance_id]),
            self.may_act,
            self.mailbox.offer,
            self.needs_instances,
            lambda: instance.instance_id not in self.schedule.stored_bounds,
            self.may_regain,
            self._repeats,
            lambda: not self._is_evacuated(instance.instance_id),
        )
        self.agents[instance.instance_id] = agent
        agent.start()

    def _is_evacuated(self, instance_id: str) -> bool:
        state = self.schedule.instances.get(instance_id)
        return state is not None and state.is_evacuated

    def _inherit(self, msg: FleetLoaded) -> None:
        bounds = _decode_record(msg.bounds, LeaseBounds) if msg.bounds else None
        if msg.bounds is not None and bounds is not None:
            known_at = self.find_lease_record_date(msg.bounds.mod_revision)
            written_at = known_at or msg.read_at
            handover.inherit_lease_bounds(self.schedule, bounds, written_at)
        left = _decode_record(msg.handover, Handover) if msg.handover else None
        if left is not None:
            handover.inherit_handover(self.schedule, left, msg.read_at)
        if self.schedule.is_handed_over:
            self.on_handed_over(self.schedule.fence)
        self._inherit_fleet(msg.record)

    def describe_handover(self) -> str | None:
        """Return the record for the successor; ``None`` if little is known.

        The scheduler must not act any more.
        """
        if self.schedule.inherited_fleet is None:
            return None
        unsaved = self.schedule.unsaved_jobs | self._job_ids_in_write
        left = handover.build_handover(
            self.schedule, self.lease, unsaved, self._read_clock()
        )
        return to_json(left)

    def _inherit_fleet(self, record: KeyValue | None) -> None:
        self._fleet_read_revision = record.mod_revision if record else 0
        fleet = _decode_record(record, Fleet) if record else Fleet(())
        if fleet is None:
            return
        instance_tracking.set_inherited_fleet(self.schedule, fleet.instances)
        self._recorded_instances = (*fleet.registrations, *fleet.unregistered)
        self._list_recorded_instances()
        self._reconsider_ignored_registrations()

    def _list_recorded_instances(self) -> None:
        """List the instances of the record, once it is known which are registered."""
        if self._are_registrations_known:
            for instance in self._recorded_instances:
                self._list_unregistered(instance)
            self._recorded_instances = ()

    def _handle_loaded_state(self, msg: StateLoaded, now: dt.datetime) -> None:
        progress = {
            kv.key.removeprefix(JOB_PROGRESS_PREFIX): kv for kv in msg.progress.kvs
        }
        for kv in msg.jobs.kvs:
            if not kv.key.endswith(CANCEL_MARK_SUFFIX):
                job_id = kv.key.removeprefix(JOBS_PREFIX)
                self._restore_job(kv, progress.get(job_id), now)
        for kv in msg.jobs.kvs:
            if kv.key.endswith(CANCEL_MARK_SUFFIX):
                self._handle_job_key(kv, now)
        learned = (
            _decode_record(msg.learned, interference.Learned) if msg.learned else None
        )
        if learned is not None:
            interference.import_effects(self.schedule.interference, learned)
        self._is_loaded = True
        log_event(
            Event.SCHEDULE_LOADED,
            jobs=len(self.schedule.jobs),
            term=self.schedule.term,
            since_election_ms=self.schedule.ms_since_election(now),
            **_describe_load(msg),
        )
        self._apply_effects(
            instance_tracking.describe_incomplete_fleet(self.schedule, now)
        )
        for instance_id in tuple(self._pending.by_instance):
            self._check_listing(instance_id, now)

    def _restore_job(
        self, kv: KeyValue, progress_kv: KeyValue | None, now: dt.datetime
    ) -> None:
        record = _decode_record(kv, JobRecord)
        if record is None:
            return
        progress = _decode_record(progress_kv, JobProgress) if progress_kv else None
        revision = progress_kv.mod_revision if progress_kv else 0
        effects = job_lifecycle.add_job(
            self.schedule, record, kv.mod_revision, now, progress, revision
        )
        self._apply_effects(effects)

    # Reports from instances.

    def _handle_report(self, msg: agent_messages.AgentReport, now: dt.datetime) -> None:
        instance_id = msg.identity.rpartition("/")[0]
        state = self.schedule.instances.get(instance_id)
        agent = self.agents.get(instance_id)
        # Reports of an earlier incarnation do not apply to the current one.
        if state is None or agent is None or agent.identity != msg.identity:
            return
        match msg:
            case agent_messages.ListingReceived():
                self._counters.listings += 1
                put_listing(self._pending, instance_id, msg)
                self._note_answer(state, msg)
                instance_tracking.note_late_orders(self.schedule, state, msg.sent_at)
                instance_tracking.record_instance_contact(
                    state, msg.leases_end_at, self.lease, now
                )
                if self._is_loaded:
                    self._check_listing(instance_id, now)
            case agent_messages.CallFailed(_, reason, leases_end_at):
                instance_tracking.extend_lease_bound(state, leases_end_at)
                if state.is_reachable:
                    instance_tracking.record_silence(state, now)
                    log_event(
                        Event.INSTANCE_SILENT, instance=instance_id, reason=reason
                    )
            case agent_messages.CallLost():
                state.lost_calls.note(now)
            case agent_messages.FenceRefused(_, fence):
                log_event(Event.SCHEDULER_FENCED, instance=instance_id, fence=fence)
                self._notify_fence_refused(fence // INCARNATIONS_PER_TERM)
            case agent_messages.InstanceRestarted(_, incarnation):
                self._handle_restart(instance_id, incarnation)
                if incarnation:
                    instance_tracking.replace_incarnation(state, incarnation)
                    self._start_agent(state.instance)
            case agent_messages.StartAnswered(
                _, task, number, refusal, is_certain, repeated_after
            ):
                start_window.note_answer(
                    self.schedule.start_window, (task, number), now, repeated_after
                )
                if not is_certain:
                    self._note_unanswered_start(task, number, now)
                self._apply_effects(
                    run_updates.apply_start_result(
                        self.schedule, task, number, refusal, now, is_certain
                    )
                )
            case agent_messages.StartCertain(_, task, number):
                instance_tracking.rule_out_late_start(self.schedule, task, number)
            case agent_messages.StartUnanswered(_, task, number):
                self._note_unanswered_start(task, number, now)
                start_window.forget_start(self.schedule.start_window, (task, number))
                self._apply_effects(
                    run_updates.stop_unanswered_start(self.schedule, task, number)
                )
            case agent_messages.StopAnswered(_, task, number):
                self._apply_effects(
                    run_updates.record_stop_confirmation(
                        self.schedule, task, number, now
                    )
                )

    def _note_unanswered_start(
        self, task: TaskKey, number: int, now: dt.datetime
    ) -> None:
        instance_tracking.note_unanswered_start(
            self.schedule, task, number, self.lease, now
        )

    def _note_answer(
        self, state: InstanceState, msg: agent_messages.ListingReceived
    ) -> None:
        """Keep an answer that shows that the instance refuses earlier leaders."""
        if msg.fence // INCARNATIONS_PER_TERM != self.schedule.fence:
            return
        instance = state.instance
        self._answered_ids.add(instance.instance_id)
        self._new_answers[instance.instance_id] = (instance.incarnation, msg.sent_at)

    def _request_answers(self, now: dt.datetime) -> None:
        """Ask instances, once, for the answers that must replace the store's."""
        sole_at = self.schedule.sole_at
        is_wanted = sole_at is not None and now - sole_at >= MAX_CONFIRMATION_AGE
        if is_wanted and not self._are_answers_wanted:
            for agent in self.agents.values():
                agent.mailbox.offer(agent_messages.AnswerWanted())
        self._are_answers_wanted = is_wanted

    def _report_answers(self) -> None:
        if not self._new_answers:
            return
        self._answered_ids &= self.schedule.instances.keys()
        answers, self._new_answers = self._new_answers, {}
        instances = tuple(sorted(self._answered_ids))
        self.report_instances(
            InstancesAnswered(self.schedule.fence, answers, instances)
        )

    def _notify_fence_refused(self, fence: int) -> None:
        # Called later, because the callback may cancel the task that reported the
        # refusal, and a running coroutine can't be cancelled.
        self.clock.call_later(dt.timedelta(), lambda: self.on_fence_refused(fence))

    def _handle_restart(self, instance_id: str, incarnation: str) -> None:
        """Reset an instance, whose next incarnation needs an agent of its own.

        :param incarnation: The next one; empty if another instance has the address.
        """
        state, now = self.schedule.instances[instance_id], self.clock.now()
        earlier = state.instance.incarnation
        instance_tracking.reset_after_restart(
            state, self.lease, now, is_replaced=not incarnation
        )
        self._remove_agent(instance_id)
        log_event(
            Event.INSTANCE_REBORN,
            instance=instance_id,
            earlier=earlier,
            incarnation=incarnation,
            runs=len(state.runs),
            leases_ms=int((state.leases_end_at - now).total_seconds() * 1000),
        )

    def _remove_agent(self, instance_id: str) -> None:
        agent = self.agents.pop(instance_id, None)
        if agent is not None:
            agent.stop()
            self._acknowledged_sequences.pop(agent.identity, None)
        remove_listing(self._pending, instance_id)

    def _check_listing(self, instance_id: str, now: dt.datetime) -> None:
        """Apply a pending listing if all its jobs are known or absent.

        Other jobs are looked up in the store first.
        """
        pending = self._pending.by_instance[instance_id]
        unknown = run_updates.find_unknown_jobs(self.schedule, pending.msg.listing)
        pending.absent_job_ids &= unknown
        pending.absent_job_ids |= unknown & self._absent_job_ids.keys()
        unknown -= pending.absent_job_ids
        if unknown:
            await_jobs(self._pending, instance_id, unknown)
            self._look_up_jobs(unknown)
        else:
            self._apply_listing(instance_id, now)

    def _apply_listing(self, instance_id: str, now: dt.datetime) -> None:
        pending = remove_listing(self._pending, instance_id)
        state = self.schedule.instances.get(instance_id)
        if pending is not None and state is not None:
            msg = pending.msg
            effects = run_updates.apply_listing(
                self.schedule, state, msg.listing, msg.sent_at, now
            )
            self._apply_effects(effects)

    def _look_up_jobs(self, job_ids: set[str]) -> None:
        new_ids = job_ids - self._job_ids_in_lookup
        if new_ids:
            self._job_ids_in_lookup |= new_ids
            self._lookup.mailbox.offer(LookUpJobs(tuple(sorted(new_ids))))

    def _handle_looked_up_job(self, msg: JobLookedUp, now: dt.datetime) -> None:
        self._job_ids_in_lookup.discard(msg.job_id)
        if msg.record is not None:
            self._restore_job(msg.record, msg.progress, now)
        # A record that can't be read counts as absent, so that the listing is applied.
        is_absent = not self._is_known(msg.job_id)
        if is_absent:
            self._remember_absent_job(msg.job_id)
        ready = resolve_job(self._pending, msg.job_id, is_absent=is_absent)
        for instance_id in ready:
            self._apply_listing(instance_id, now)

    def _remember_absent_job(self, job_id: str) -> None:
        while len(self._absent_job_ids) >= MAX_ABSENT_JOBS:
            del self._absent_job_ids[next(iter(self._absent_job_ids))]
        self._absent_job_ids[job_id] = None

    def _is_known(self, job_id: str) -> bool:
        return job_id in self.schedule.jobs or job_id in self.schedule.ended_phases

    # Orders and writes.

    def _handle_tick(self, now: dt.datetime) -> None:
        start_window.adjust(self.schedule.start_window, now)
        self._report_answers()
        self._apply_effects(
            instance_tracking.update_authority(self.schedule, self.read_authority())
        )
        self._request_answers(now)
        self._apply_effects(
            instance_tracking.update_instances(self.schedule, self.lease, now)
        )
        if instance_tracking.awaits_confirmation(self.schedule, self.lease, now):
            self.request_confirmation()
        if self.may_act():
            effects = timed(
                self.steady_s,
                self._counters.regroupings.add,
                regrouping.regroup_serving_tasks,
                self.schedule,
                now,
            )
            self._apply_effects(effects)
            self._apply_effects(evacuation.move_lasting_task(self.schedule, now))
            self._apply_effects(
                filler_control.pace_between_listings(self.schedule, now)
            )
            survey = reach.plan_survey(
                self._survey_plan, self.schedule, self.agents.keys(), now
            )
            if survey is not None:
                self.request_survey(self.schedule.fence, survey)
        self._apply_effects(self._describe_waits(now))
        for instance_id in sorted(self.agents.keys() - self.schedule.instances.keys()):
            self._remove_agent(instance_id)
        self._request_fleet_write(now)
        for job_id in [
            j.job_id for j in self.schedule.jobs.values() if j.is_end_stored
        ]:
            job_lifecycle.forget_job(self.schedule, job_id)
        self._flush(now)

    def _describe_waits(self, now: dt.datetime) -> list[LogNote]:
        status = LeaderStatus(
            self.lease,
            self.may_act(),
            self._is_loaded,
            self.read_authority(),
            count_awaiting_listings(self._pending),
        )
        return waiting.describe_waits(self._wait_watch, self.schedule, status, now)

    def _request_fleet_write(self, now: dt.datetime) -> None:
        """Request a write of the fleet record if it or the ends of leases changed.

        One write is under way at a time, and until it is made an instance that it
        leaves out is not used: the record may already lack it.
        """
        if not self._is_loaded or self._is_fleet_write_pending:
            return
        names = instance_tracking.fleet_to_store(self.schedule, self.lease)
        registrations = instance_tracking.find_registrations(self.schedule, names)
        fleet = Fleet(tuple(sorted(names)), tuple(registrations))
        bounds = instance_tracking.find_bounds_to_store(self.schedule, self.lease, now)
        if (fleet, bounds) == (self._requested_fleet, self._requested_bounds):
            return
        self._requested_fleet, self._requested_bounds = fleet, bounds
        self._is_fleet_write_pending = True
        # Until the write is answered, the store may hold either record.
        instance_tracking.set_stored_records(
            self.schedule,
            self.schedule.stored_fleet.intersection(fleet.instances),
            self.schedule.stored_bounds | bounds,
        )
        self._fleet.mailbox.offer(
            RecordFleet(
                self.schedule.fence,
                fleet,
                self._fleet_read_revision,
                self.schedule.latest_term,
                bounds,
            )
        )

    def _handle_recorded_fleet(self, msg: FleetRecorded) -> None:
        # A write under an earlier fence may be answered late.
        if (msg.fleet, msg.bounds) == (self._requested_fleet, self._requested_bounds):
            self._is_fleet_write_pending = False
            instance_tracking.set_stored_records(
                self.schedule, msg.fleet.instances, msg.bounds
            )

    def _request_placement(self) -> None:
        if self._placement_call is None or not self._placement_call.active():
            pause = self._next_round_at - self.clock.now()
            self._placement_call = self.clock.call_later(
                max(PLACEMENT_DELAY, pause), self._place_tasks
            )

    def _place_tasks(self) -> None:
        now = self._read_clock()
        if self.may_act():
            effects = timed(
                self.steady_s,
                self._count_round,
                placement.place_waiting_tasks,
                self.schedule,
                now,
            )
            self._apply_effects(effects)
        self._flush(now)
        self._next_round_at = placement.next_round_at(now, self.clock.now())

    def _count_round(self, duration_s: float) -> None:
        self._counters.rounds.add(duration_s)
        self.metrics.record_placement(duration_s)

    def _flush(self, now: dt.datetime) -> None:
        """Write changed jobs, and acknowledge the run ends whose effects are stored.

        Between two writes of progress only endings are written. No run end is
        acknowledged with those, since some of its effects may be progress.
        """
        if self._is_writing or not self._is_loaded:
            return
        is_progress_due = (
            self._flushed_at is None or now - self._flushed_at >= MIN_FLUSH_INTERVAL
        )
        unsaved = [
            self.schedule.jobs[job_id] for job_id in sorted(self.schedule.unsaved_jobs)
        ]
        jobs = [job for job in unsaved if is_progress_due or job.is_ended]
        end_sequences = self._unacknowledged_sequences() if is_progress_due else {}
        self.schedule.unsaved_jobs.difference_update(job.job_id for job in jobs)
        # The later of both clocks: a time of day that is behind must not make an end
        # seem past its retention.
        ended_at = max(now, self.schedule.wall_time(now))
        writes = tuple(
            _make_write(job, ended_at) for job in jobs if not job.is_end_stored
        )
        if not writes:
            self._acknowledge_ends(end_sequences)
            return
        if is_progress_due:
            self._flushed_at = now
        self._is_writing = True
        self._job_ids_in_write.update(write.job_id for write in writes)
        self._write_requested_s = self.steady_s()
        self._recorder.mailbox.offer(
            RecordJobs(self.schedule.fence, writes, end_sequences)
        )

    def _unacknowledged_sequences(self) -> dict[str, int]:
        """Return the highest processed end of each incarnation, by identity.

        Incarnations whose processed ends are all acknowledged are left out.
        """
        end_sequences = {}
        for instance_id, agent in self.agents.items():
            state = self.schedule.instances.get(instance_id)
            known = self._acknowledged_sequences.get(agent.identity, 0)
            if state is not None and state.last_end_sequence > known:
                end_sequences[agent.identity] = state.last_end_sequence
        return end_sequences

    def _acknowledge_ends(self, end_sequences: dict[str, int]) -> None:
        for agent in self.agents.values():
            sequence = end_sequences.get(agent.identity)
            if sequence is not None:
                self._acknowledged_sequences[agent.identity] = sequence
                self._note_stored_ends(agent, sequence)
                agent.mailbox.offer(agent_messages.Acknowledge(sequence))

    def _note_stored_ends(self, agent: AgentTask, sequence: int) -> None:
        state = self.schedule.instances.get(agent.client.instance.instance_id)
        if state is not None and state.instance.identity == agent.identity:
            state.stored_end_sequence = sequence

    def _handle_recorded(self, msg: JobsRecorded) -> None:
        if msg.is_last and msg.fence == self.schedule.fence:
            self._is_writing = False
        for write in msg.writes:
            # A later write of the job may be under way under the present fence.
            if msg.fence == self.schedule.fence:
                self._job_ids_in_write.discard(write.job_id)
            job = self.schedule.jobs.get(write.job_id)
            if job is None:
                continue
            if isinstance(write.value, JobEnding):
                self._mark_end_stored(job, write.value)
                job_lifecycle.forget_job(self.schedule, job.job_id)
            else:
                job.progress_revision = msg.revisions[write.job_id]
        self._acknowledge_ends(msg.end_sequences)

    def _mark_end_stored(self, job: JobState, ending: JobEnding) -> None:
        job.is_end_stored = True
        took = self.clock.now() - (job.accepted_at or self.clock.now())
        phase, queue = ending.phase.value, job.record.queue
        log_event(
            Event.JOB_RECORDED,
            job=job.job_id,
            queue=queue,
            phase=phase,
            took_ms=int(took.total_seconds() * 1000),
        )
        self.metrics.count_end(queue, phase, took)

    def _update_fence(self, fence: int) -> None:
        self.schedule.fence = self._sweeper.fence = fence
        self._new_answers.clear()
        for instance_id, agent in self.agents.items():
            state = self.schedule.instances.get(instance_id)
            if state is not None:
                agent.mailbox.offer(
                    agent_messages.SetFence(self.schedule.fence_for(state))
                )
        # Writes under the old fence may have failed, so all jobs are written again.
        self.schedule.unsaved_jobs.update(
            job.job_id for job in self.schedule.jobs.values() if not job.is_end_stored
        )
        self._is_writing = False
        self._job_ids_in_write.clear()
        self._requested_fleet, self._is_fleet_write_pending = None, False
        # A successor reads no ends of leases of an earlier term.
        self.schedule.stored_bounds = {}


def _describe_load(msg: StateLoaded) -> dict[str, int]:
    """Return the fields of the log that tell what a load read and how long it took."""
    kvs = (*msg.jobs.kvs, *msg.progress.kvs)
    return {
        "took_ms": int(msg.took.total_seconds() * 1000),
        "pages": msg.jobs.pages + msg.progress.pages,
        "items": len(kvs),
        "chars": sum(len(kv.value) for kv in kvs),
        "failed_reads": msg.jobs.failed_reads + msg.progress.failed_reads,
    }


def _make_write(job: JobState, ended_at: dt.datetime) -> JobWrite:
    value: JobProgress | JobEnding
    if job.is_ended:
        ended_ms = int(ended_at.timestamp() * 1000)
        value = JobEnding(job.phase, job.record.queue, ended_ms, job.reason)
    else:
        value = job_lifecycle.build_progress(job)
    return JobWrite(job.job_id, job.revision, job.progress_revision, value)


def _decode_record(kv: KeyValue, cls: type) -> t.Any:
    """Decode a stored value; ``None`` if it can't be read.

    A job with a fault counts as unreadable: its entry should have refused it.
    """
    record, fault = None, ""
    try:
        record = from_json(kv.value, cls)
    except RequestError as exc:
        fault = exc.message
    if isinstance(record, JobRecord):
        fault = find_fault(record, kv.key.removeprefix(JOBS_PREFIX))
    if fault:
        key = kv.key[:MAX_LOGGED_KEY_CHARS]
        log_event(Event.RECORD_UNREADABLE, key=key, reason=fault)
        return None
    return record
