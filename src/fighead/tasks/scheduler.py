"""The task that schedules all jobs while its entry is the leader."""

import datetime as dt
import random
import typing as t

from attrs import define, field, frozen

from .. import job_message as m
from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..decisions import (
    instance_tracking,
    interference,
    job_lifecycle,
    placement,
    regrouping,
    run_updates,
)
from ..decisions.instance_tracking import AUTHORITY_TIMEOUT, TIMER_SLACK
from ..decisions.schedule_state import (
    INCARNATIONS_PER_TERM,
    JobState,
    LogNote,
    Order,
    Schedule,
)
from ..exceptions import RequestError, StoreError
from ..job import JobConfig, JobEnding, JobPhase, JobProgress, JobRecord
from ..job_metric import JobMetrics
from ..log import Event, log_event
from ..mailbox import Mailbox, receive, spawn
from ..run import Instance
from ..store import (
    CANCEL_MARK,
    FLEET,
    JOB_CONTROL,
    JOB_LEADER,
    JOB_PROGRESS,
    JOBS,
    LEARNED,
    Compare,
    KeyValue,
    Put,
    Range,
    Txn,
)
from . import agent as reports
from .agent import AgentTask, InstanceClient
from .call import Call
from .fleet import Fleet, FleetRecorded, FleetTask, RecordFleet
from .recorder import JobWrite, LeadershipMissing, Record, Recorded, RecorderTask
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

#: Pause in which changes are gathered before tasks are placed.
PLACE_PAUSE = dt.timedelta(milliseconds=5)
#: Least time between two writes of progress, since each write is priced.
FLUSH_PAUSE = dt.timedelta(milliseconds=80)
#: How often time-outs are looked at.
TICK = dt.timedelta(milliseconds=100)
#: Longest wait for all instances before jobs are read.
FENCE_WAIT = dt.timedelta(milliseconds=500)
#: Least time between two looks at registrations and at new jobs, of which the
#: entries also tell directly.
WATCH_PAUSE = dt.timedelta(milliseconds=300)
#: How often what was learned is written for the next scheduler.
KEEP_INTERVAL = dt.timedelta(seconds=5)
#: Ids of jobs that the store was found not to hold.
MAX_ABSENT = 10_000


@frozen
class Adapter:
    """What a platform brings: its store, its instances and its formats.

    :param decode_instance: Reads a registration; ``None`` if it is unusable.
    """

    store: StoreClient
    config_prefix: str
    config_key: str
    instances_prefix: str
    decode_config: t.Callable[[str], JobConfig | None]
    decode_instance: t.Callable[[str, str], Instance | None]
    make_client: t.Callable[[Instance], InstanceClient]


@frozen
class Tick:
    """Time has passed."""


@frozen
class Loaded:
    """All jobs have been read."""

    jobs: Snapshot
    progress: Snapshot
    learned: KeyValue | None
    fleet: KeyValue | None


@frozen
class Verified:
    """The store was asked for a job that an instance named."""

    job_id: str
    record: KeyValue | None
    progress: KeyValue | None


@frozen
class FreshFrom:
    """Jobs accepted after a revision are unknown to every earlier scheduler."""

    revision: int


@frozen
class Refenced:
    """The entry was elected again without a leader in between."""

    fence: int


@define(eq=False)
class SchedulerTask:
    """Owns the schedule and the agents of all instances.

    :param may_act: Whether the entry may still give orders.
    :param keep: How long an ended job must be known.
    :param depose: Called with a fence that an instance or the store refused.
    """

    schedule: Schedule
    adapter: Adapter
    clock: Clock
    random: random.Random
    lease: dt.timedelta
    may_act: t.Callable[[], bool]
    depose: t.Callable[[int], None]
    metrics: JobMetrics
    keep: dt.timedelta
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("scheduler", 65536))
    agents: dict[str, AgentTask] = field(factory=dict)
    _recorder: RecorderTask = field(init=False)
    _sweeper: SweeperTask = field(init=False)
    _fleet: FleetTask = field(init=False)
    _ordered_fleet: Fleet | None = None
    _futs: list[t.Any] = field(factory=list)
    _is_loaded: bool = False
    _stashed: dict[str, reports.Listed] = field(factory=dict)
    _verifying: set[str] = field(factory=set)
    _absent: set[str] = field(factory=set)
    _acknowledged: dict[str, int] = field(factory=dict)
    _is_writing: bool = False
    _flushed_at: dt.datetime | None = None
    _place_call: t.Any = None

    def __attrs_post_init__(self) -> None:
        self._sweeper = SweeperTask(
            self.adapter.store, self.clock, self.keep, self.schedule.fence
        )
        self._recorder = RecorderTask(
            self.adapter.store, self.clock, self.mailbox.offer
        )
        self._fleet = FleetTask(self.adapter.store, self.clock, self.mailbox.offer)

    def start(self) -> None:
        """Begin to schedule."""
        instances = WatchTask(
            self.adapter.store,
            self.adapter.instances_prefix,
            self.clock,
            self.random,
            self.mailbox.offer,
            pause=WATCH_PAUSE,
        )
        loops = (
            receive(self.mailbox, self._handle, "scheduler"),
            instances.run(),
            self._recorder.run(),
            self._fleet.run(),
            self._load(),
            self._find_fresh_revision(),
            self._keep_ticking(),
            self._keep_learned(),
            self._sweeper.run(),
        )
        self._futs.extend(spawn(loop) for loop in loops)

    def stop(self) -> None:
        """End all tasks of the scheduler; runs go on under their leases."""
        for fut in self._futs:
            fut.cancel()
        for agent in self.agents.values():
            agent.stop()
        if self._place_call is not None and self._place_call.active():
            self._place_call.cancel()

    async def _keep_ticking(self) -> None:
        while True:
            await sleep(self.clock, TICK)
            self.mailbox.offer(Tick())

    async def _keep_learned(self) -> None:
        while True:
            await sleep(self.clock, KEEP_INTERVAL)
            if not self._is_loaded or not self.schedule.interference.effects:
                continue
            value = to_json(interference.export_effects(self.schedule.interference))
            txn = Txn(
                (Compare(JOB_LEADER, self.schedule.fence),), (Put(LEARNED, value),)
            )
            try:
                await self.adapter.store.call(txn, STORE_TIMEOUT)
            except StoreError as exc:
                self._note_store_failure("keep", exc)

    async def _load(self) -> None:
        """Read all jobs once the fence is up at the instances.

        A run that an earlier scheduler started before then belongs to a job
        that is read here.
        """
        waited = dt.timedelta()
        while not self._is_fenced() and waited < FENCE_WAIT:
            await sleep(self.clock, PLACE_PAUSE * 2)
            waited += PLACE_PAUSE * 2
        while True:
            try:
                jobs = await read_all(self.adapter.store, JOBS)
                progress = await read_all(self.adapter.store, JOB_PROGRESS)
                learned = await self._read_key(LEARNED)
                fleet = await self._read_key(FLEET)
            except StoreError as exc:
                self._note_store_failure("load", exc)
                await sleep(self.clock, TICK)
                continue
            self.mailbox.offer(Loaded(jobs, progress, learned, fleet))
            break
        watch = WatchTask(
            self.adapter.store,
            JOBS,
            self.clock,
            self.random,
            self.mailbox.offer,
            pause=WATCH_PAUSE,
        )
        self._futs.append(spawn(watch.run()))

    async def _find_fresh_revision(self) -> None:
        """Ask the store for its revision once no earlier scheduler may act.

        The prefix is asked for, since a key that is missing tells no revision.
        """
        await sleep(self.clock, AUTHORITY_TIMEOUT + TIMER_SLACK)
        while True:
            try:
                found = await self.adapter.store.call(
                    Range(JOB_CONTROL, is_prefix=True), STORE_TIMEOUT
                )
            except StoreError as exc:
                self._note_store_failure("revision", exc)
                await sleep(self.clock, TICK)
                continue
            self.mailbox.offer(FreshFrom(found.revision))
            return

    async def _read_key(self, key: str) -> KeyValue | None:
        result = await self.adapter.store.call(Range(key), STORE_TIMEOUT)
        return next(iter(result.kvs), None)

    def _note_store_failure(self, what: str, exc: StoreError) -> None:
        log_event(Event.STORE_CALL_FAILED, what=what, reason=exc.message)
        self.metrics.count_store_failure(what)

    def _is_fenced(self) -> bool:
        return bool(self.agents) and self._stashed.keys() >= self.agents.keys()

    def _handle(self, msg: t.Any) -> None:
        now = self.clock.now()
        match msg:
            case Call(message, reply):
                reply.callback(self._answer(message))
                return
            case m.JobTold(record, revision):
                self._carry_out(
                    job_lifecycle.add_job(self.schedule, record, revision, now)
                )
            case m.CancelTold(job_id):
                self._carry_out(job_lifecycle.cancel_job(self.schedule, job_id))
            case Loaded():
                self._take_loaded(msg, now)
            case Verified():
                self._take_verified(msg, now)
            case Snapshot() | Changes():
                self._take_keys(msg, now)
            case Recorded():
                self._take_recorded(msg)
            case FleetRecorded(fleet):
                instance_tracking.set_stored_fleet(self.schedule, fleet.instances)
            case LeadershipMissing():
                self._is_writing = False
                self._ask_to_depose(self.schedule.fence)
            case FreshFrom(revision):
                self.schedule.no_inherited_runs_after = revision
            case Refenced(fence):
                self._refence(fence)
            case Tick():
                self._tick(now)
            case JobConfig():
                self.schedule.config = msg
            case StoreContact():
                return
            case _:
                self._take_report(msg, now)
        self._place_soon()

    def _answer(self, message: t.Any) -> t.Any:
        match message:
            case m.FindPhase(job_id):
                return m.PhaseIs(self._find_phase(job_id))
            case m.CountPending(queue):
                return m.PendingIs(self._count_pending(queue))
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

    def _carry_out(self, effects: t.Iterable[t.Any]) -> None:
        for effect in effects:
            match effect:
                case Order(instance_id, order):
                    agent = self.agents.get(instance_id)
                    if agent is not None:
                        agent.mailbox.offer(order)
                case LogNote(event, fields):
                    log_event(event, **fields)
                    self.metrics.count_event(event, fields)

    # Jobs and instances as the store holds them.

    def _take_keys(self, msg: Snapshot | Changes, now: dt.datetime) -> None:
        is_snapshot = isinstance(msg, Snapshot)
        rows = (
            [(kv, False) for kv in msg.kvs]
            if is_snapshot
            else [(event.kv, event.deleted) for event in msg.events]
        )
        if msg.prefix == JOBS:
            for kv, is_deleted in rows:
                if not is_deleted:
                    self._take_job_key(kv, now)
            return
        for kv, is_deleted in rows:
            self._take_registration(kv, is_deleted)
        if is_snapshot:
            prefix = self.adapter.instances_prefix
            listed = {kv.key.removeprefix(prefix) for kv in msg.kvs}
            missing = sorted(self.schedule.instances.keys() - listed)
            self._carry_out(
                instance_tracking.unregister_instances(self.schedule, missing)
            )

    def _take_job_key(self, kv: KeyValue, now: dt.datetime) -> None:
        if kv.key.endswith(CANCEL_MARK):
            job_id = kv.key.removeprefix(JOBS).removesuffix(CANCEL_MARK)
            self._carry_out(job_lifecycle.cancel_job(self.schedule, job_id))
            return
        record = _read(kv, JobRecord)
        if record is not None:
            self._carry_out(
                job_lifecycle.add_job(self.schedule, record, kv.mod_revision, now)
            )

    def _take_registration(self, kv: KeyValue, is_deleted: bool) -> None:
        instance_id = kv.key.removeprefix(self.adapter.instances_prefix)
        if is_deleted:
            self._carry_out(
                instance_tracking.unregister_instances(self.schedule, (instance_id,))
            )
            return
        instance = self.adapter.decode_instance(kv.key, kv.value)
        if instance is None:
            log_event(Event.REGISTRATION_UNREADABLE, key=kv.key)
            return
        if instance.upstream not in self.schedule.config.upstreams:
            return
        known = self.schedule.instances.get(instance_id)
        if known is not None and instance_tracking.has_restarted(known, instance):
            self._take_reborn(instance_id)
        effects = instance_tracking.add_instance(
            self.schedule, instance, self.lease, self.clock.now()
        )
        if instance_id not in self.agents:
            self._add_agent(instance)
        self._carry_out(effects)

    def _add_agent(self, instance: Instance) -> None:
        agent = AgentTask(
            self.adapter.make_client(instance),
            self.clock,
            self.lease,
            self.schedule.fence_for(self.schedule.instances[instance.instance_id]),
            self.may_act,
            self.mailbox.offer,
        )
        self.agents[instance.instance_id] = agent
        agent.start()

    def _take_loaded(self, msg: Loaded, now: dt.datetime) -> None:
        progress = {kv.key.removeprefix(JOB_PROGRESS): kv for kv in msg.progress.kvs}
        for kv in msg.jobs.kvs:
            if not kv.key.endswith(CANCEL_MARK):
                job_id = kv.key.removeprefix(JOBS)
                self._restore_job(kv, progress.get(job_id), now)
        for kv in msg.jobs.kvs:
            if kv.key.endswith(CANCEL_MARK):
                self._take_job_key(kv, now)
        learned = _read(msg.learned, interference.Learned) if msg.learned else None
        if learned is not None:
            interference.import_effects(self.schedule.interference, learned)
        fleet = _read(msg.fleet, Fleet) if msg.fleet else None
        if fleet is not None:
            instance_tracking.set_inherited_fleet(self.schedule, fleet.instances)
        self._is_loaded = True
        log_event(Event.SCHEDULE_LOADED, jobs=len(self.schedule.jobs))
        self._take_stashed(now)

    def _restore_job(
        self, kv: KeyValue, progress_kv: KeyValue | None, now: dt.datetime
    ) -> None:
        record = _read(kv, JobRecord)
        if record is None:
            return
        progress = _read(progress_kv, JobProgress) if progress_kv else None
        revision = progress_kv.mod_revision if progress_kv else 0
        effects = job_lifecycle.add_job(
            self.schedule, record, kv.mod_revision, now, progress, revision
        )
        self._carry_out(effects)

    # What instances say.

    def _take_report(self, msg: reports.AgentReport, now: dt.datetime) -> None:
        instance_id = msg.identity.rpartition("/")[0]
        state = self.schedule.instances.get(instance_id)
        agent = self.agents.get(instance_id)
        # What was said of an earlier life says nothing of this one.
        if state is None or agent is None or agent.identity != msg.identity:
            return
        match msg:
            case reports.Listed():
                self._stashed[instance_id] = msg
                instance_tracking.record_instance_contact(state, msg.leases_end_at)
                self._take_stashed(now)
            case reports.Silent(_, reason, leases_end_at):
                instance_tracking.extend_lease_bound(state, leases_end_at)
                if state.is_reachable:
                    state.is_reachable = False
                    log_event(
                        Event.INSTANCE_SILENT, instance=instance_id, reason=reason
                    )
            case reports.Deposed(_, fence):
                log_event(Event.SCHEDULER_FENCED, instance=instance_id, fence=fence)
                self._ask_to_depose(fence // INCARNATIONS_PER_TERM)
            case reports.Reborn():
                self._take_reborn(instance_id)
            case reports.StartAnswered(_, task, number, refusal):
                self._carry_out(
                    run_updates.apply_start_result(
                        self.schedule, task, number, refusal, now
                    )
                )
            case reports.StartUnanswered(_, task, number):
                self._carry_out(
                    run_updates.stop_unanswered_start(self.schedule, task, number)
                )
            case reports.StopAnswered(_, task, number):
                self._carry_out(
                    run_updates.record_stop_confirmation(
                        self.schedule, task, number, now
                    )
                )

    def _ask_to_depose(self, fence: int) -> None:
        # Not at once: the task that reported it may be one that is to be ended,
        # and a coroutine that runs can't be cancelled.
        self.clock.call_later(dt.timedelta(), lambda: self.depose(fence))

    def _take_reborn(self, instance_id: str) -> None:
        """Leave a life that has ended; its registration brings the next one."""
        instance_tracking.reset_after_restart(
            self.schedule.instances[instance_id], self.lease, self.clock.now()
        )
        self._drop_agent(instance_id)
        log_event(Event.INSTANCE_REBORN, instance=instance_id)

    def _drop_agent(self, instance_id: str) -> None:
        agent = self.agents.pop(instance_id, None)
        if agent is not None:
            agent.stop()
            self._acknowledged.pop(agent.identity, None)
        self._stashed.pop(instance_id, None)

    def _take_stashed(self, now: dt.datetime) -> None:
        """Take in listings, unless a job in one has to be asked for first."""
        if not self._is_loaded:
            return
        for instance_id, msg in list(self._stashed.items()):
            unknown = (
                run_updates.find_unknown_jobs(self.schedule, msg.listing) - self._absent
            )
            if unknown:
                self._verify(unknown)
                continue
            del self._stashed[instance_id]
            state = self.schedule.instances.get(instance_id)
            if state is not None:
                effects = run_updates.apply_listing(
                    self.schedule, state, msg.listing, msg.sent_at, now
                )
                self._carry_out(effects)

    def _verify(self, job_ids: set[str]) -> None:
        for job_id in sorted(job_ids - self._verifying):
            self._verifying.add(job_id)
            spawn(self._verify_one(job_id))

    async def _verify_one(self, job_id: str) -> None:
        store = self.adapter.store
        while True:
            try:
                record = await store.call(Range(JOBS + job_id), STORE_TIMEOUT)
                progress = await store.call(Range(JOB_PROGRESS + job_id), STORE_TIMEOUT)
            except StoreError as exc:
                self._note_store_failure("verify", exc)
                await sleep(self.clock, TICK)
                continue
            found = [next(iter(r.kvs), None) for r in (record, progress)]
            self.mailbox.offer(Verified(job_id, *found))
            return

    def _take_verified(self, msg: Verified, now: dt.datetime) -> None:
        self._verifying.discard(msg.job_id)
        if msg.record is not None:
            self._restore_job(msg.record, msg.progress, now)
        elif len(self._absent) < MAX_ABSENT:
            self._absent.add(msg.job_id)
        self._take_stashed(now)

    # Orders and writes.

    def _tick(self, now: dt.datetime) -> None:
        self._carry_out(instance_tracking.update_instances(self.schedule, now))
        if self.may_act():
            self._carry_out(regrouping.regroup_serving_tasks(self.schedule, now))
        for instance_id in sorted(self.agents.keys() - self.schedule.instances.keys()):
            self._drop_agent(instance_id)
        self._record_fleet()
        for job_id in [
            j.job_id for j in self.schedule.jobs.values() if j.is_end_stored
        ]:
            job_lifecycle.forget_job(self.schedule, job_id)
        self._flush(now)

    def _record_fleet(self) -> None:
        """Have the fleet written when it has changed."""
        if not self._is_loaded:
            return
        fleet = Fleet(tuple(sorted(instance_tracking.fleet_to_store(self.schedule))))
        if fleet != self._ordered_fleet:
            self._ordered_fleet = fleet
            self._fleet.mailbox.offer(RecordFleet(self.schedule.fence, fleet))

    def _place_soon(self) -> None:
        if self._place_call is None or not self._place_call.active():
            self._place_call = self.clock.call_later(PLACE_PAUSE, self._place)

    def _place(self) -> None:
        now = self.clock.now()
        if self.may_act():
            self._carry_out(placement.place_waiting_tasks(self.schedule, now))
        self._flush(now)

    def _flush(self, now: dt.datetime) -> None:
        """Write what changed, and let instances forget ends that are written."""
        if self._is_writing or not self._is_loaded:
            return
        if self._flushed_at is not None and now - self._flushed_at < FLUSH_PAUSE:
            return
        marks = self._new_marks()
        jobs = [
            self.schedule.jobs[job_id] for job_id in sorted(self.schedule.unsaved_jobs)
        ]
        self.schedule.unsaved_jobs.clear()
        writes = tuple(_make_write(job, now) for job in jobs if not job.is_end_stored)
        if not writes:
            self._acknowledge(marks)
            return
        self._is_writing, self._flushed_at = True, now
        self._recorder.mailbox.offer(Record(self.schedule.fence, writes, marks))

    def _new_marks(self) -> dict[str, int]:
        """Return the highest end taken in from each life of an instance."""
        marks = {}
        for instance_id, agent in self.agents.items():
            state = self.schedule.instances.get(instance_id)
            known = self._acknowledged.get(agent.identity, 0)
            if state is not None and state.last_end_sequence > known:
                marks[agent.identity] = state.last_end_sequence
        return marks

    def _acknowledge(self, marks: dict[str, int]) -> None:
        for agent in self.agents.values():
            sequence = marks.get(agent.identity)
            if sequence is not None:
                self._acknowledged[agent.identity] = sequence
                agent.mailbox.offer(reports.Acknowledge(sequence))

    def _take_recorded(self, msg: Recorded) -> None:
        self._is_writing = False
        for write in msg.writes:
            job = self.schedule.jobs.get(write.job_id)
            if job is None:
                continue
            if isinstance(write.value, JobEnding):
                self._note_recorded(job, write.value)
                job_lifecycle.forget_job(self.schedule, job.job_id)
            else:
                job.progress_revision = msg.revisions[write.job_id]
        self._acknowledge(msg.marks)

    def _note_recorded(self, job: JobState, ending: JobEnding) -> None:
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

    def _refence(self, fence: int) -> None:
        self.schedule.fence = self._sweeper.fence = fence
        for instance_id, agent in self.agents.items():
            state = self.schedule.instances.get(instance_id)
            if state is not None:
                agent.mailbox.offer(reports.SetFence(self.schedule.fence_for(state)))
        # Writes under the old fence may not have been made.
        self.schedule.unsaved_jobs.update(
            job.job_id for job in self.schedule.jobs.values() if not job.is_end_stored
        )
        self._is_writing = False
        self._ordered_fleet = None


def _make_write(job: JobState, now: dt.datetime) -> JobWrite:
    value: JobProgress | JobEnding
    if job.is_ended:
        ended_ms = int(now.timestamp() * 1000)
        value = JobEnding(job.phase, job.record.queue, ended_ms, job.reason)
    else:
        value = job_lifecycle.build_progress(job)
    return JobWrite(job.job_id, job.revision, job.progress_revision, value)


def _read(kv: KeyValue, cls: type) -> t.Any:
    try:
        return from_json(kv.value, cls)
    except RequestError as exc:
        log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
        return None
