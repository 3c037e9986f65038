"""Entries, a store and instances in one process, on a clock that tests drive.

The tasks and decisions are the real ones; the transports are replaced by calls
that can be delayed, lost, or carried out late. An entry is killed by cutting it
off from time and from every answer.
"""

import contextlib
import datetime as dt
import random

from attrs import define, evolve, field
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from fighead.clock import ReactorClock, sleep
from fighead.codec import from_json, to_json
from fighead.commands import job as commands
from fighead.exceptions import (
    PeerUnreachableError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    WorkerError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from fighead.fronts.job import JobCodec
from fighead.job import Demand, JobConfig, JobPhase, JobSpec, Queue
from fighead.job_entry import JobEntry
from fighead.job_settings import JobSettings
from fighead.mailbox import Mailbox, spawn
from fighead.queries import job as queries
from fighead.run import Instance, Refusal
from fighead.settings import ListenAddress
from fighead.standins.simulated_job_instance import SimulatedJobInstance, restart
from fighead.tasks.scheduler import Adapter
from memory_store import MemoryStore

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
QUEUES = (
    Queue("checks", "a.example", "/c/", "mill", 0, 2, 1.5, 250),
    Queue("plans", "a.example", "/p/", "mill", 2, 2, 2.0, 1000),
    Queue("watches", "a.example", "/w/", "mill", 0, 3, 2.0, 2500),
)
STEP_S = 0.02
#: Time after which a call without an answer is given up by its sender.
LATEST_S = 12


@define(eq=False)
class Gate:
    """Whether an entry is alive, and whether it runs."""

    is_dead: bool = False
    is_frozen: bool = False
    held: list = field(factory=list)

    def run(self, fn):
        if self.is_dead:
            return
        if self.is_frozen:
            self.held.append(fn)
            return
        fn()

    def thaw(self):
        self.is_frozen = False
        held, self.held = self.held, []
        for fn in held:
            self.run(fn)

    def passed(self, result):
        """Return a deferred that fires unless the entry is dead."""
        fut = Deferred()
        self.run(lambda: fut.callback(result))
        return fut


@define(eq=False)
class GatedClock:
    clock: ReactorClock
    gate: Gate

    def now(self):
        return self.clock.now()

    def call_later(self, delay, fn):
        return GatedCall(self, delay, fn)


class GatedCall:
    """A delayed call that a frozen entry makes once it wakes up."""

    def __init__(self, clock, delay, fn):
        self.fn = fn
        self.call = clock.clock.call_later(delay, lambda: clock.gate.run(self.fire))

    def fire(self):
        if self.fn is not None:
            fn, self.fn = self.fn, None
            fn()

    def active(self):
        return self.fn is not None

    def cancel(self):
        self.fn = None
        if self.call.active():
            self.call.cancel()


@define(eq=False)
class GatedStore:
    store: MemoryStore
    gate: Gate
    is_cut: bool = False
    is_reset: bool = False
    calls: int = 0

    async def call(self, req, timeout):
        self.calls += 1
        if self.is_reset:
            await self.gate.passed(None)
            raise StoreOutcomeUnknownError("reset", "again")
        return await self._guard(lambda: self.store.call(req, timeout))

    async def watch(self, prefix, after, wait):
        return await self._guard(lambda: self.store.watch(prefix, after, wait))

    async def _guard(self, ask):
        if self.is_cut:
            await sleep(self.store.clock, dt.timedelta(milliseconds=300))
            await self.gate.passed(None)
            raise StoreUnavailableError("cut", "wait")
        try:
            result = await ask()
        except Exception:
            await self.gate.passed(None)
            raise
        return await self.gate.passed(result)


@define(eq=False)
class GatedInstance:
    """Calls of one entry to one instance."""

    cluster: object
    gate: Gate
    instance: Instance

    async def start(self, order, lease_until_ms, fence, timeout):
        return await self._call(
            lambda m: m.start(order, lease_until_ms, fence), timeout
        )

    async def stop(self, order, fence, timeout):
        return await self._call(lambda m: m.stop(order, fence), timeout)

    async def set_pace(self, order, fence, timeout):
        return await self._call(lambda m: m.set_pace(order, fence), timeout)

    async def renew_and_list(self, fence, acknowledged, lease_until_ms, wait, timeout):
        deadline = self.cluster.clock.now() + wait
        seen = acknowledged
        while True:
            listing = await self._call(
                lambda m: m.renew_and_list(fence, acknowledged, lease_until_ms), timeout
            )
            is_news = listing.ended and listing.ended[-1].sequence > seen
            if is_news or self.cluster.clock.now() >= deadline:
                return listing
            await sleep(self.cluster.clock, dt.timedelta(milliseconds=50))
            await self.gate.passed(None)

    async def _call(self, act, timeout):
        cluster, name = self.cluster, self.instance.instance_id
        await sleep(cluster.clock, dt.timedelta(milliseconds=2))
        fate = cluster.fate(name)
        if fate == "late":
            wait = dt.timedelta(seconds=cluster.chance.uniform(2, LATEST_S))
            cluster.clock.call_later(wait, lambda: self._apply_late(act))
        if fate != "served":
            await sleep(cluster.clock, timeout)
            await self.gate.passed(None)
            raise WorkerUnreachableError("no answer", "again")
        try:
            result = self._machine(act)
        except Exception:
            await self.gate.passed(None)
            raise
        return await self.gate.passed(result)

    def _machine(self, act):
        # A later life under the same id carries out what was meant for the last.
        machine = self.cluster.machines[self.instance.instance_id]
        result = act(machine)
        if machine.instance.incarnation != self.instance.incarnation:
            reason = Refusal.OTHER_INCARNATION.value
            raise WorkerRefusedError("another life", "list it", reason)
        return result

    def _apply_late(self, act):
        # A late order may be refused like any other.
        with contextlib.suppress(WorkerError):
            self._machine(act)


@define(eq=False)
class FakePeer:
    """Links between entries in memory."""

    cluster: object
    gate: Gate
    me: str
    handle: object
    mailbox: Mailbox = field(factory=lambda: Mailbox("peer"))

    async def run(self):
        while True:
            await self.mailbox.get()

    def peers(self):
        return tuple(name for name in self.cluster.entries if name != self.me)

    def tell(self, peer, msg):
        self._deliver(peer, msg, lambda answer: None)

    def ask(self, peer, msg, timeout=None):
        fut = Deferred()

        def expire():
            if not fut.called:
                fut.errback(PeerUnreachableError("no answer", "again"))

        self.cluster.clock.call_later(dt.timedelta(seconds=0.8), expire)
        self._deliver(peer, msg, lambda answer: fut.called or fut.callback(answer))
        return fut

    def _deliver(self, peer, msg, reply):
        def arrive():
            other = self.cluster.entries.get(peer)
            if other is None or other.gate.is_dead:
                return
            other.gate.run(lambda: spawn(self._serve(other, msg, reply)))

        self.cluster.clock.call_later(dt.timedelta(milliseconds=1), arrive)

    async def _serve(self, other, msg, reply):
        answer = other.entry.peer.handle(self.me, msg)
        if isinstance(answer, Deferred):
            answer = await answer
        self.gate.run(lambda: reply(answer))

    def stop(self):
        pass


class FakeReactor:
    def listenTCP(self, *_):  # noqa: N802
        return self

    def stopListening(self):  # noqa: N802
        pass


@define(eq=False)
class SimEntry:
    gate: Gate
    store: GatedStore
    entry: JobEntry


@define(eq=False)
class JobCluster:
    """A deployment, and the faults that befall it."""

    seed: int = 1
    names: tuple = ("e1", "e2", "e3")
    capacity: Demand = Demand(8000, 64000, 0)
    instance_count: int = 4
    reactor: Clock = field(factory=Clock)
    clock: ReactorClock = None
    store: MemoryStore = None
    chance: random.Random = None
    entries: dict = field(factory=dict)
    machines: dict = field(factory=dict)
    specs: dict = field(factory=dict)
    silent: set = field(factory=set)
    late_share: float = 0.0
    failing: set = field(factory=set)
    history: list = field(factory=list)
    accepted: dict = field(factory=dict)
    cancelled: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.chance = random.Random(self.seed)
        self.clock = ReactorClock(self.reactor, START)
        self.store = MemoryStore(self.clock)
        self.store.put("op/config", to_json(JobConfig(1, QUEUES, ("mill",))))
        for number in range(self.instance_count):
            self._add_machine(f"i{number}")
        for name in self.names:
            self.boot(name)
        self.pass_time(1.5)

    # The deployment.

    def _add_machine(self, name):
        instance = Instance(
            name, "1", name, "mill", "z", self.capacity, ("a", f"r{name[1:]}")
        )
        self.machines[name] = SimulatedJobInstance(
            instance, self.clock, self.find_stage, self.fails, history=self.history
        )
        self.register(name)

    def register(self, name):
        instance = self.machines[name].instance
        self.store.put(f"servers/{name}", to_json(instance))

    def find_stage(self, order):
        return self.specs[order.task.job_id].stages[order.task.stage]

    def fails(self, order):
        return (order.task.job_id, order.task.index) in self.failing

    def boot(self, name):
        gate = Gate()
        store = GatedStore(self.store, gate)
        clock = GatedClock(self.clock, gate)
        address = ListenAddress("127.0.0.1", 1)
        cfg = JobSettings(
            name, "z", address, address, f"tcp://{name}", "store", seed=name
        )
        adapter = Adapter(
            store,
            "op/",
            "op/config",
            "servers/",
            lambda value: from_json(value, JobConfig),
            lambda key, value: from_json(value, Instance),
            lambda instance: GatedInstance(self, gate, instance),
        )

        def make_peer(me, address, keys, clock, reactor, handle, registry):
            return FakePeer(self, gate, me, handle)

        entry = JobEntry(
            cfg, adapter, make_codec(), clock, FakeReactor(), lambda: None, make_peer
        )
        self.entries[name] = SimEntry(gate, store, entry)
        entry.start()

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.reactor.advance(STEP_S)
            for machine in self.machines.values():
                machine.update()

    def leader(self):
        leading = [
            name
            for name, sim in self.entries.items()
            if not sim.gate.is_dead and sim.entry.leadership.is_leading
        ]
        return leading[0] if leading else None

    # Faults.

    def fate(self, name):
        if name in self.silent:
            return "lost"
        return "late" if self.chance.random() < self.late_share else "served"

    def kill(self, *names):
        for name in names:
            self.entries[name].gate.is_dead = True

    def crash(self, name):
        self.machines[name].crash()
        incarnation = str(int(self.machines[name].instance.incarnation) + 1)
        self.machines[name] = restart(self.machines[name], incarnation)
        self.register(name)

    def drain(self, name, remaining_ms):
        machine = self.machines[name]
        machine.instance = evolve(
            machine.instance, is_draining=True, remaining_ms=remaining_ms
        )
        self.register(name)

    # Clients.

    def submit(self, job_id, spec, queue="plans", entry=None):
        self.specs[job_id] = spec
        found = next(q for q in QUEUES if q.name == queue)
        name = entry or self.chance.choice(self.alive())
        sim = self.entries[name]

        async def send():
            give_up_at = self.clock.now() + dt.timedelta(seconds=3)
            outcome = await commands.submit_job(
                sim.entry.desk, found, job_id, spec, give_up_at
            )
            if isinstance(outcome, commands.Accepted):
                self.accepted.setdefault(job_id, self.clock.now())

        spawn(send())

    def cancel(self, job_id):
        sim = self.entries[self.chance.choice(self.alive())]

        async def send():
            give_up_at = self.clock.now() + dt.timedelta(seconds=3)
            outcome = await commands.cancel_job(sim.entry.desk, job_id, give_up_at)
            if isinstance(outcome, commands.Accepted):
                self.cancelled.setdefault(job_id, self.clock.now())

        spawn(send())

    def alive(self):
        return [name for name, sim in self.entries.items() if not sim.gate.is_dead]

    def phase(self, job_id, entry=None):
        sim = self.entries[entry or self.alive()[0]]
        found = []

        async def ask():
            found.append(await queries.find_phase(sim.entry.desk, job_id))

        spawn(ask())
        self.pass_time(1.5)
        return found[0] if found else None

    # Checks.

    def breaches(self):
        """Return what the history of the instances shows to be broken."""
        return [*self._twice(), *self._order(), *self._budget()]

    def _twice(self):
        running, noted = {}, set()
        for event in self.history:
            key = event.task
            if event.event == "started":
                if running.get(key) and not self._allows_copies(key):
                    yield ("two at once", event)
                if key in noted:
                    yield ("again after its end was noted", event)
                running.setdefault(key, set()).add((event.instance_id, event.number))
            elif event.event == "acknowledged done":
                noted.add(key)
            elif not event.event.startswith("acknowledged"):
                running.get(key, set()).discard((event.instance_id, event.number))

    def _allows_copies(self, key):
        return self.specs[key.job_id].stages[key.stage].allows_copies

    def _order(self):
        done = set()
        for event in self.history:
            if event.event == "done":
                done.add(event.task)
            if event.event != "started":
                continue
            spec = self.specs[event.task.job_id]
            for before in spec.stages[event.task.stage].after:
                for index in range(spec.stages[before].count):
                    if evolve(event.task, stage=before, index=index) not in done:
                        yield ("before an earlier stage", event)

    def _budget(self):
        failed = {}
        for event in self.history:
            if event.event == "acknowledged failed":
                failed[event.task] = failed.get(event.task, 0) + 1
            if event.event == "started" and failed.get(event.task, 0) >= 2:
                spec = self.specs[event.task.job_id]
                if not spec.stages[event.task.stage].is_lasting:
                    yield ("beyond its attempts", event)


def make_codec():
    return JobCodec("", str, lambda _: JobSpec(), str, str, str)


def has_ended(phase):
    return phase in (JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED)
