"""A small world without sockets, in which every message can go astray.

It joins the decisions of lines and owners with stand-in machines, a store that
compares and swaps, and a wire on which messages wait, cross, get lost or come
twice. Whoever drives it decides what happens next.
"""

import datetime as dt

from attrs import define, evolve, field
from pyrsistent import pmap
from twisted.internet.task import Clock

from fighead import message as m
from fighead.clock import ReactorClock
from fighead.decisions import instance as owning
from fighead.decisions import instance_state as owned
from fighead.decisions import line as lining
from fighead.decisions import line_state as lined
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

START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
SLOTS = 2
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
class Line:
    epoch: int
    state: lined.LineState
    answers: dict = field(factory=dict)


@define(eq=False)
class Owner:
    instance: str
    epoch: int
    state: owned.InstanceOwnerState
    recorded: list = field(factory=list)
    answers: list = field(factory=list)


@define(eq=False)
class Write:
    line: Line
    record: WorkRecord
    mod_revision: int


@define(eq=False)
class Start:
    owner: Owner
    order: TaskOrder
    is_check: bool = False


@define(eq=False)
class Letter:
    to: object
    message: object


@define(eq=False)
class World:
    guard: bool = True
    reactor: Clock = field(factory=Clock)
    clock: ReactorClock = None
    machines: dict = field(factory=dict)
    ended: dict = field(factory=dict)
    past: list = field(factory=list)
    store: dict = field(factory=dict)
    revision: int = 0
    claims: dict = field(factory=dict)
    lines: list = field(factory=list)
    owners: list = field(factory=list)
    letters: list = field(factory=list)
    writes: list = field(factory=list)
    starts: list = field(factory=list)
    operations: list = field(factory=list)
    asked: list = field(factory=list)
    final_at: dict = field(factory=dict)
    lost_boots: frozenset = frozenset()

    def __attrs_post_init__(self):
        self.clock = ReactorClock(self.reactor, START)
        for name in ("i0", "i1"):
            self.boot(name)
            self.new_owner(name)
        self.new_line()

    def now(self):
        return self.clock.now()

    def boot(self, name):
        old = self.machines.get(name)
        if old is not None:
            self.past.append((name, old))
            for task in list(old.tasks.values()):
                old.record("lease_expired", task.order.task_id, 0)
        boot = f"{name}-{len(self.past)}"
        machine = SimulatedInstance(
            self.clock, boot, SLOTS, 100 * GIB, guard=self.guard
        )
        self.machines[name], self.ended[name] = machine, {}

    def new_epoch(self, resource):
        self.revision += 1
        self.claims[resource] = self.revision
        return self.revision

    def new_owner(self, name):
        epoch = self.new_epoch(name)
        declared = Instance(name, "u", "r", "z", "http://h:1", SLOTS, 64, 8, 99 * GIB)
        upstream = Upstream("u", check_floor=0.5, batch_floor=0.5)
        state = owned.InstanceOwnerState(declared, upstream, KINDS, pmap(), epoch)
        self.owners.append(Owner(name, epoch, state))

    def new_line(self):
        epoch = self.new_epoch("line")
        line = Line(epoch, lined.LineState(Upstream("u"), KINDS, pmap()))
        self.lines.append(line)
        stored = tuple(s for s in self.store.values() if not s.record.phase.is_final)
        self.tell(line, lined.RecordsLoaded(stored))

    def current_line(self):
        return self.lines[-1]

    def owner_of(self, name):
        return [owner for owner in self.owners if owner.instance == name][-1]

    def tell(self, to, message):
        decide = lining.decide if isinstance(to, Line) else owning.decide
        step = decide(to.state, message, self.now())
        to.state = step.state
        for effect in step.effects:
            self._carry_out(to, effect)

    def _carry_out(self, source, effect):
        match effect:
            case lined.WriteRecord(record, mod_revision):
                stamped = evolve(record, write_id=f"w{self._next_id()}")
                self.writes.append(Write(source, stamped, mod_revision))
            case lined.SendToOwner(instance, message):
                self.letters.append(Letter(self.owner_of(instance), message))
            case lined.AnswerSubmit(work_id, outcome):
                source.answers[work_id] = outcome
                self._note_answer(source, work_id, outcome)
            case owned.RunTask(record, kind, lease_until):
                order = self._order(source, record.task_id, kind, lease_until)
                order = evolve(order, checkpoint=record.checkpoint)
                self.starts.append(Start(source, order))
            case owned.RunCheck(request, lease_until):
                kind = KINDS["check"]
                order = self._order(source, request.request_id, kind, lease_until)
                self.starts.append(Start(source, order, is_check=True))
            case owned.ControlTask(task_id, speed, evict):
                machine = self.machines[source.instance]
                if machine.check_epoch(source.epoch) is None:
                    machine.control(task_id, speed, evict)
            case owned.ConfirmRecorded(task_id):
                source.recorded.append(task_id)
            case m.WorkEnded() | m.WorkNotStarted():
                self.letters.append(Letter(self.current_line(), effect))

    _ids: int = 0

    def _next_id(self):
        self._ids += 1
        return self._ids

    def _order(self, owner, task_id, kind, lease_until):
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

    def _note_answer(self, line, work_id, outcome):
        names = {m.Accepted: "accepted", m.NotRun: "not_run", m.Unknown: "unknown"}
        for index, operation in enumerate(self.operations):
            is_asked = self.asked[index] is line and operation.work_id == work_id
            if is_asked and operation.outcome == "lost":
                name = names.get(type(outcome), "refused")
                self.operations[index] = evolve(operation, outcome=name)

    def submit(self, request_id, kind_name):
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
        self.asked.append(self.current_line())
        self.tell(self.current_line(), m.SubmitWork(record))

    def settle_write(self, write, answer_is_lost=False):
        key = write.record.work_id
        stored = self.store.get(key)
        found = stored.mod_revision if stored else 0
        holds = found == write.mod_revision
        if holds and self.claims["line"] == write.line.epoch:
            self.revision += 1
            place = stored.place if stored else self.revision
            stored = StoredRecord(write.record, place, self.revision)
            self.store[key] = stored
            if write.record.phase.is_final:
                self.final_at[key] = self.now().timestamp()
        if answer_is_lost:
            return
        self.writes.remove(write)
        written = stored is not None and stored.record == write.record
        if written:
            message = lined.RecordWritten(key, stored.mod_revision, stored.place)
        else:
            message = lined.RecordConflict(key, stored)
        self.tell(write.line, message)

    def arrive(self, start):
        """Let a start reach its machine; return whether it was taken."""
        machine = self.machines[start.owner.instance]
        if machine.admit(start.order) is not None:
            return False
        name = start.owner.instance
        machine.start(
            start.order,
            not start.is_check,
            lambda task, ending: self._end(name, machine, task, ending),
        )
        return True

    def _end(self, name, machine, task, ending):
        if self.machines[name] is not machine or not task.is_batch:
            return
        order = task.order
        answer = "x {}" if ending is Ending.DONE else ""
        status = TaskStatus(order.task_id, order.kind, ending, answer, task.checkpoint)
        self.ended[name][order.task_id] = status

    def settle_start(self, start, arrives, is_answered):
        taken = self.arrive(start) if arrives else None
        if not arrives and is_answered:
            return
        self.starts.remove(start)
        known = taken if is_answered else None
        task_id = start.order.task_id
        if start.is_check:
            outcome = m.Unknown("lost") if known is None else m.NotRun("full")
            if known:
                return
            ended = m.CheckEnded(task_id, outcome, dt.timedelta(), known is not None)
            self.tell(start.owner, ended)
            return
        self.tell(start.owner, m.StartEnded(task_id, known))
        if not arrives:
            # The start is still on its way and may arrive later.
            self.starts.append(Start(start.owner, start.order))
            self.stray.append(self.starts.pop())

    stray: list = field(factory=list)

    def make_report(self, owner):
        machine = self.machines[owner.instance]
        if machine.check_epoch(owner.epoch) is not None:
            return None
        lease = owner.state.clock_at_report + owned.TASK_LEASE
        if owner.state.stage is not owned.OwnershipStage.FENCING:
            machine.renew(lease)
        ended = self.ended[owner.instance]
        for task_id in owner.recorded:
            ended.pop(task_id, None)
        owner.recorded.clear()
        running = tuple(machine.status(task) for task in list(machine.tasks.values()))
        return InstanceReport(
            machine.boot,
            machine.uptime(),
            machine.highest_epoch,
            running + tuple(ended.values()),
        )

    def poll(self, owner):
        asked_at = self.now()
        report = self.make_report(owner)
        if report is None:
            if owner in self.owners:
                self.owners.remove(owner)
            return
        self.tell(owner, m.ReportReceived(report, asked_at))

    def report_loads(self):
        for owner in list(self.owners):
            load = owning.instance_load(owner.state, self.now())
            if load.lapsed:
                self.lost_boots |= {load.boot}
            for line in self.lines[-2:]:
                self.tell(line, m.LoadReport("e", (load,)))

    def advance(self, seconds):
        self.reactor.pump([seconds / 4] * 4)
        for task in (*self.owners, *self.lines[-2:]):
            self.tell(task, m.Tick())

    def settle(self, rounds=40):
        """Let everything that is under way come to its end."""
        for _ in range(rounds):
            for owner in list(self.owners):
                if owner is self.owner_of(owner.instance):
                    self.poll(owner)
            for write in list(self.writes):
                self.settle_write(write)
            for start in list(self.starts):
                self.settle_start(start, arrives=True, is_answered=True)
            letters, self.letters = self.letters, []
            for letter in letters:
                self.tell(letter.to, letter.message)
            self.report_loads()
            self.advance(1)

    def verdict(self):
        machines = [*self.past, *self.machines.items()]
        journals = [
            Journal(f"{name}/{machine.boot}", tuple(machine.journal))
            for name, machine in machines
        ]
        violations = [machine.violations for _, machine in machines]
        journals = [
            evolve(journal, violations=seen)
            for journal, seen in zip(journals, violations, strict=True)
        ]
        slots = {journal.instance: SLOTS for journal in journals}
        lost_boots = self.lost_boots.union(machine.boot for _, machine in self.past)
        history = History(tuple(self.operations), tuple(journals), slots, lost_boots)
        return check_history(history)

    def starts_after_the_end(self):
        """Return starts of work whose end was already recorded."""
        return [
            entry
            for _, machine in [*self.past, *self.machines.items()]
            for entry in machine.journal
            if entry.event == "start"
            and entry.at_s > self.final_at.get(self._work_of(entry), float("inf"))
        ]

    def _work_of(self, entry):
        return entry.task_id.removeprefix("u/").rpartition("#")[0]
