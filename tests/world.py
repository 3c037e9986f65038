"""Simulation of lines and instance owners without sockets, with injectable faults.

It connects the real decisions with simulated instances, a store with
compare-and-swap and a message transport. A test chooses the order in which pending
messages, starts and writes take effect, and which of them are lost or repeated.
"""

import datetime as dt

from attrs import define, evolve, field
from pyrsistent import pmap
from twisted.internet.task import Clock

from fighead import message as m
from fighead.clock import ReactorClock
from fighead.decisions import instance as instance_decisions
from fighead.decisions import instance_state as instance_states
from fighead.decisions import line as line_decisions
from fighead.decisions import line_state as line_states
from fighead.load.history import History, Operation, check_history
from fighead.model import (
    Category,
    Ending,
    Instance,
    InstanceReport,
    Kind,
    StoredRecord,
    TaskStatus,
    Upstream,
    WorkRecord,
)
from fighead.standins.simulated_instance import SimulatedInstance
from fighead.worker import Journal, TaskOrder

START_TIME = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
SLOTS_PER_INSTANCE = 2
GIB = 1 << 30
KINDS = pmap(
    {
        "check": Kind("check", "u", Category.CHECK, dt.timedelta(seconds=1)),
        "plan": Kind(
            "plan",
            "u",
            Category.PLAN,
            dt.timedelta(seconds=30),
            non_idempotent=True,
            run_time=dt.timedelta(seconds=4),
        ),
        "again": Kind(
            "again",
            "u",
            Category.PLAN,
            dt.timedelta(seconds=30),
            run_time=dt.timedelta(seconds=4),
        ),
        "watch": Kind(
            "watch",
            "u",
            Category.WATCH,
            dt.timedelta(seconds=30),
            run_time=dt.timedelta(hours=5),
        ),
    }
)


@define(eq=False)
class LineHolder:
    """A holder of the line, current or superseded.

    :param answers: Outcome of each submission by work id.
    """

    epoch: int
    state: line_states.LineState
    answers: dict = field(factory=dict)


@define(eq=False)
class Owner:
    """An owner of an instance, current or superseded.

    :param instance: Name of the instance.
    :param recorded_task_ids: Tasks whose end is recorded, to be discarded by the
        instance at the next report.
    """

    instance: str
    epoch: int
    state: instance_states.InstanceOwnerState
    recorded_task_ids: list = field(factory=list)
    answers: list = field(factory=list)


@define(eq=False)
class PendingWrite:
    """A write in flight; ``mod_revision`` is the revision that it compares with."""

    line_holder: LineHolder
    record: WorkRecord
    mod_revision: int


@define(eq=False)
class PendingStart:
    """A start order in flight to the instance of its owner."""

    owner: Owner
    order: TaskOrder
    is_check: bool = False


@define(eq=False)
class PendingMessage:
    """A message in flight to a line holder or an owner."""

    recipient: object
    message: object


@define(eq=False)
class Simulation:
    """Owners, line holders, instances and a store, on a simulated clock.

    :param guard: Whether instances refuse orders that break a guarantee; see
        :class:`SimulatedInstance`.
    :param instances: The running incarnation of each instance by name.
    :param past_instances: Earlier incarnations, as pairs of name and instance.
    :param ended_tasks: By instance name and task id, the status of ended tasks that
        the instance still lists.
    :param store: Stored record by work id.
    :param revision: Latest revision of the store, also the source of epochs.
    :param claims: Epoch of the current holder by resource.
    :param late_starts: Starts that their owner has given up on, but that can still
        reach the instance.
    :param operations: All submissions, for the check of the history.
    :param submitted_to: The line holder of each of ``operations``, by index.
    :param final_written_at_s: Unix time at which the final record was written, by
        work id.
    :param lost_boots: Boots whose results may be lost.
    """

    guard: bool = True
    reactor: Clock = field(factory=Clock)
    clock: ReactorClock = None
    instances: dict = field(factory=dict)
    ended_tasks: dict = field(factory=dict)
    past_instances: list = field(factory=list)
    store: dict = field(factory=dict)
    revision: int = 0
    claims: dict = field(factory=dict)
    line_holders: list = field(factory=list)
    owners: list = field(factory=list)
    pending_messages: list = field(factory=list)
    pending_writes: list = field(factory=list)
    pending_starts: list = field(factory=list)
    late_starts: list = field(factory=list)
    operations: list = field(factory=list)
    submitted_to: list = field(factory=list)
    final_written_at_s: dict = field(factory=dict)
    lost_boots: frozenset = frozenset()
    _write_count: int = 0

    def __attrs_post_init__(self):
        self.clock = ReactorClock(self.reactor, START_TIME)
        for name in ("i0", "i1"):
            self.boot_instance(name)
            self.new_owner(name)
        self.new_line_holder()

    def now(self):
        return self.clock.now()

    def boot_instance(self, name):
        """Boot an instance; a running incarnation loses its tasks and results."""
        old = self.instances.get(name)
        if old is not None:
            self.past_instances.append((name, old))
            for task in list(old.tasks.values()):
                old.record("lease_expired", task.order.task_id, 0)
        boot = f"{name}-{len(self.past_instances)}"
        simulated = SimulatedInstance(
            self.clock, boot, SLOTS_PER_INSTANCE, 100 * GIB, guard=self.guard
        )
        self.instances[name], self.ended_tasks[name] = simulated, {}

    def new_epoch(self, resource):
        """Give the claim on a resource to a new holder; return its epoch."""
        self.revision += 1
        self.claims[resource] = self.revision
        return self.revision

    def new_owner(self, name):
        """Add an owner that supersedes the current owner of the instance."""
        epoch = self.new_epoch(name)
        declared = Instance(
            name, "u", "r", "z", "http://h:1", SLOTS_PER_INSTANCE, 64, 8, 99 * GIB
        )
        upstream = Upstream("u", check_floor=0.5, batch_floor=0.5)
        state = instance_states.InstanceOwnerState(
            declared, upstream, KINDS, pmap(), epoch
        )
        self.owners.append(Owner(name, epoch, state))

    def new_line_holder(self):
        """Add a holder that supersedes the current one and loads the open records."""
        epoch = self.new_epoch("line")
        line_holder = LineHolder(
            epoch, line_states.LineState(Upstream("u"), KINDS, pmap())
        )
        self.line_holders.append(line_holder)
        stored = tuple(s for s in self.store.values() if not s.record.phase.is_final)
        self.deliver(line_holder, line_states.RecordsLoaded(stored))

    def current_line_holder(self):
        return self.line_holders[-1]

    def current_owner(self, name):
        return [owner for owner in self.owners if owner.instance == name][-1]

    def deliver(self, recipient, message):
        """Let an owner or line holder handle a message, and carry out the effects."""
        decide = (
            line_decisions.decide
            if isinstance(recipient, LineHolder)
            else instance_decisions.decide
        )
        step = decide(recipient.state, message, self.now())
        recipient.state = step.state
        for effect in step.effects:
            self._carry_out(recipient, effect)

    def _carry_out(self, source, effect):
        match effect:
            case line_states.WriteRecord(record, mod_revision):
                stamped = evolve(record, write_id=f"w{self._next_write_number()}")
                self.pending_writes.append(PendingWrite(source, stamped, mod_revision))
            case line_states.SendToOwner(instance_name, message):
                self.pending_messages.append(
                    PendingMessage(self.current_owner(instance_name), message)
                )
            case line_states.AnswerSubmit(work_id, outcome):
                source.answers[work_id] = outcome
                self._record_outcome(source, work_id, outcome)
            case instance_states.RunTask(record, kind, lease_until):
                order = self._make_order(source, record.task_id, kind, lease_until)
                order = evolve(order, checkpoint=record.checkpoint)
                self.pending_starts.append(PendingStart(source, order))
            case instance_states.RunCheck(request, lease_until):
                kind = KINDS["check"]
                order = self._make_order(source, request.request_id, kind, lease_until)
                self.pending_starts.append(PendingStart(source, order, is_check=True))
            case instance_states.ControlTask(task_id, speed, evict):
                simulated = self.instances[source.instance]
                if simulated.check_epoch(source.epoch) is None:
                    simulated.control(task_id, speed, evict)
            case instance_states.ConfirmRecorded(task_id):
                source.recorded_task_ids.append(task_id)
            case m.WorkEnded() | m.WorkNotStarted():
                self.pending_messages.append(
                    PendingMessage(self.current_line_holder(), effect)
                )

    def _next_write_number(self):
        self._write_count += 1
        return self._write_count

    def _make_order(self, owner, task_id, kind, lease_until):
        return TaskOrder(
            owner.epoch,
            owner.state.boot,
            task_id,
            kind.name,
            "{}",
            kind.cores,
            kind.memory_bytes,
            kind.run_time,
            lease_until=lease_until,
        )

    def _record_outcome(self, line_holder, work_id, outcome):
        names = {m.Accepted: "accepted", m.NotRun: "not_run", m.Unknown: "unknown"}
        for index, operation in enumerate(self.operations):
            is_submission = (
                self.submitted_to[index] is line_holder and operation.work_id == work_id
            )
            if is_submission and operation.outcome == "lost":
                name = names.get(type(outcome), "refused")
                self.operations[index] = evolve(operation, outcome=name)

    def submit(self, request_id, kind_name):
        """Submit work of a kind to the current line holder."""
        kind = KINDS[kind_name]
        record = WorkRecord(
            "u",
            "c",
            request_id,
            kind_name,
            kind.category,
            kind.non_idempotent,
            "{}",
            "d",
            self.now(),
        )
        operation = Operation(
            "u",
            kind_name,
            kind.category,
            record.work_id,
            "{}",
            0.0,
            non_idempotent=kind.non_idempotent,
        )
        self.operations.append(operation)
        self.submitted_to.append(self.current_line_holder())
        self.deliver(self.current_line_holder(), m.SubmitWork(record))

    def settle_write(self, write, answer_is_lost=False):
        """Apply a write if its compare conditions hold, and answer it.

        If the answer is lost, the write stays pending and is sent again later.
        """
        key = write.record.work_id
        stored = self.store.get(key)
        current_revision = stored.mod_revision if stored else 0
        is_unchanged = current_revision == write.mod_revision
        if is_unchanged and self.claims["line"] == write.line_holder.epoch:
            self.revision += 1
            place = stored.place if stored else self.revision
            stored = StoredRecord(write.record, place, self.revision)
            self.store[key] = stored
            if write.record.phase.is_final:
                self.final_written_at_s[key] = self.now().timestamp()
        if answer_is_lost:
            return
        self.pending_writes.remove(write)
        is_written = stored is not None and stored.record == write.record
        if is_written:
            message = line_states.RecordWritten(key, stored.mod_revision, stored.place)
        else:
            message = line_states.RecordConflict(key, stored)
        self.deliver(write.line_holder, message)

    def deliver_start(self, start):
        """Send a start to the instance; return whether the instance accepted it."""
        simulated = self.instances[start.owner.instance]
        if simulated.admit(start.order) is not None:
            return False
        name = start.owner.instance
        simulated.start(
            start.order,
            not start.is_check,
            lambda task, ending: self._end(name, simulated, task, ending),
        )
        return True

    def _end(self, name, simulated, task, ending):
        if self.instances[name] is not simulated or not task.is_batch:
            return
        order = task.order
        answer = "x {}" if ending is Ending.DONE else ""
        status = TaskStatus(order.task_id, order.kind, ending, answer, task.checkpoint)
        self.ended_tasks[name][order.task_id] = status

    def settle_start(self, start, arrives, is_answered):
        """Deliver or delay a start, and report the outcome to its owner.

        A start that does not arrive but is answered is left pending.

        :param arrives: Whether the start reaches the instance now. Otherwise a plan
            or watch becomes a late start.
        :param is_answered: Whether the owner learns the outcome.
        """
        is_accepted = self.deliver_start(start) if arrives else None
        if not arrives and is_answered:
            return
        self.pending_starts.remove(start)
        started = is_accepted if is_answered else None
        task_id = start.order.task_id
        if start.is_check:
            outcome = m.Unknown("lost") if started is None else m.NotRun("full")
            if started:
                return
            ended = m.CheckEnded(task_id, outcome, dt.timedelta(), started is not None)
            self.deliver(start.owner, ended)
            return
        self.deliver(start.owner, m.StartEnded(task_id, started))
        if not arrives:
            # The start is still in flight and may arrive later.
            self.pending_starts.append(PendingStart(start.owner, start.order))
            self.late_starts.append(self.pending_starts.pop())

    def make_report(self, owner):
        """Return the report of the owner's instance, ``None`` if the epoch is stale.

        Unless the owner is still fencing, its tasks' leases are extended.
        """
        simulated = self.instances[owner.instance]
        if simulated.check_epoch(owner.epoch) is not None:
            return None
        lease_until = owner.state.clock_at_report + instance_states.TASK_LEASE
        if owner.state.stage is not instance_states.OwnershipStage.FENCING:
            simulated.renew(lease_until)
        ended = self.ended_tasks[owner.instance]
        for task_id in owner.recorded_task_ids:
            ended.pop(task_id, None)
        owner.recorded_task_ids.clear()
        running = tuple(
            simulated.status(task) for task in list(simulated.tasks.values())
        )
        return InstanceReport(
            simulated.boot,
            simulated.uptime(),
            simulated.highest_epoch,
            running + tuple(ended.values()),
        )

    def poll(self, owner):
        """Deliver a report to the owner; remove the owner if its epoch is stale."""
        asked_at = self.now()
        report = self.make_report(owner)
        if report is None:
            if owner in self.owners:
                self.owners.remove(owner)
            return
        self.deliver(owner, m.ReportReceived(report, asked_at))

    def report_loads(self):
        """Send the load of every owner to the last two line holders."""
        for owner in list(self.owners):
            load = instance_decisions.instance_load(owner.state, self.now())
            if load.lapsed:
                self.lost_boots |= {load.boot}
            for line_holder in self.line_holders[-2:]:
                self.deliver(line_holder, m.LoadReport("e", (load,)))

    def advance(self, seconds):
        """Advance the clock, then tick all owners and the last two line holders."""
        self.reactor.pump([seconds / 4] * 4)
        for task in (*self.owners, *self.line_holders[-2:]):
            self.deliver(task, m.Tick())

    def complete_pending(self, rounds=40):
        """Poll the current owners and settle all that is pending, without faults.

        Each round takes 1 s of simulated time.
        """
        for _ in range(rounds):
            for owner in list(self.owners):
                if owner is self.current_owner(owner.instance):
                    self.poll(owner)
            for write in list(self.pending_writes):
                self.settle_write(write)
            for start in list(self.pending_starts):
                self.settle_start(start, arrives=True, is_answered=True)
            messages, self.pending_messages = self.pending_messages, []
            for pending in messages:
                self.deliver(pending.recipient, pending.message)
            self.report_loads()
            self.advance(1)

    def check_guarantees(self):
        """Return the verdict of :func:`check_history` on everything so far."""
        instances = [*self.past_instances, *self.instances.items()]
        journals = [
            Journal(f"{name}/{simulated.boot}", tuple(simulated.journal))
            for name, simulated in instances
        ]
        violations = [simulated.violations for _, simulated in instances]
        journals = [
            evolve(journal, violations=seen)
            for journal, seen in zip(journals, violations, strict=True)
        ]
        slots = {journal.instance: SLOTS_PER_INSTANCE for journal in journals}
        lost_boots = self.lost_boots.union(
            simulated.boot for _, simulated in self.past_instances
        )
        history = History(tuple(self.operations), tuple(journals), slots, lost_boots)
        return check_history(history)

    def starts_after_end(self):
        """Return the starts of work whose final record had already been written."""
        return [
            entry
            for _, simulated in [*self.past_instances, *self.instances.items()]
            for entry in simulated.journal
            if entry.event == "start"
            and entry.at_s
            > self.final_written_at_s.get(self._work_id_of(entry), float("inf"))
        ]

    def _work_id_of(self, entry):
        return entry.task_id.removeprefix("u/").rpartition("#")[0]
