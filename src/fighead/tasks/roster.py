"""The task that starts and ends the tasks of the resources an entry owns."""

import datetime as dt
import itertools
import random
import typing as t

from attrs import define, evolve, field
from pyrsistent import PMap, pmap
from twisted.internet.defer import Deferred

from .. import message as m
from ..clock import Clock, sleep
from ..decisions import instance as instance_deciding
from ..decisions import instance_state as instance_states
from ..decisions import line_state as line_states
from ..decisions import member_state as member_states
from ..decisions import ownership
from ..log import Event, log_event
from ..mailbox import Mailbox, receive, spawn
from ..metric import Metrics
from ..model import Inventory
from .instance import InstanceTask
from .line import LineTask
from .store import StoreCall

#: How often owners tell the load of their instances.
LOAD_INTERVAL = dt.timedelta(milliseconds=500)
#: Reports after which all loads are told again, since a report may be lost.
ROUNDS_TO_REFRESH = 4
#: Longest time that a hand-over waits for work in flight.
CLOSE_TIMEOUT = dt.timedelta(seconds=10)
CLOSE_POLL = dt.timedelta(milliseconds=50)


@define(eq=False)
class _Running:
    task: InstanceTask | LineTask
    fut: Deferred


@define(eq=False)
class RosterTask:
    """Owns the tasks of instances and lines.

    :param tell: Sends a message to the holder of a resource, here or at a peer.
    :param share_loads: Tells everyone the load of this entry's instances.
    """

    me: str
    clock: Clock
    reactor: t.Any
    metrics: Metrics
    random: random.Random
    store: Mailbox[StoreCall]
    member: Mailbox[t.Any]
    tell: t.Callable[[str, t.Any], None]
    share_loads: t.Callable[[m.LoadReport], None]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("roster", 8192))
    _running: dict[str, _Running] = field(factory=dict)
    _view: m.View = m.View("")
    _loads_timer: Deferred | None = None

    async def run(self) -> None:
        """Serve the mailbox until cancelled."""
        self._loads_timer = spawn(self._tell_loads())
        try:
            await receive(self.mailbox, self._handle, self.mailbox.name)
        finally:
            self._loads_timer.cancel()
            for running in self._running.values():
                running.fut.cancel()

    def find(self, resource: str) -> Mailbox[t.Any] | None:
        """Return the mailbox of the task of an own resource."""
        running = self._running.get(resource)
        return running.task.mailbox if running else None

    def own_states(self) -> t.Iterator[t.Any]:
        """Yield the state of every own resource, for queries."""
        return (running.task.state for running in self._running.values())

    def _handle(self, msg: t.Any) -> None:
        match msg:
            case member_states.OpenResource(resource, epoch):
                self._open(resource, epoch)
            case member_states.CloseResource(resource):
                spawn(self._close(resource))
            case member_states.RetireResource(resource):
                log_event(Event.CLAIM_LOST, resource=resource)
                self._retire(resource)
            case m.View():
                before, self._view = self._view, msg
                if _rules_of(before) != _rules_of(msg):
                    self._pass_on_rules()
            case m.LoadReport():
                self._pass_on_loads(msg)

    def _open(self, resource: str, epoch: int) -> None:
        self._retire(resource)
        revision = self._view.revision
        if revision is None:
            return
        task = self._make_task(resource, epoch, revision.inventory)
        if task is not None:
            self._running[resource] = _Running(task, spawn(task.run()))

    def _make_task(
        self, resource: str, epoch: int, inventory: Inventory
    ) -> InstanceTask | LineTask | None:
        if resource.startswith(ownership.INSTANCE_PREFIX):
            name = resource.removeprefix(ownership.INSTANCE_PREFIX)
            if name not in inventory.instances:
                return None
            return self._make_instance_task(inventory, name, epoch)
        name = resource.removeprefix(ownership.LINE_PREFIX)
        if name not in inventory.upstreams:
            return None
        return self._make_line_task(inventory, name, epoch)

    def _make_instance_task(
        self, inventory: Inventory, name: str, epoch: int
    ) -> InstanceTask:
        instance = inventory.instances[name]
        state = instance_states.InstanceOwnerState(
            instance,
            inventory.upstreams[instance.upstream],
            _kinds(inventory, instance.upstream),
            _weights(inventory),
            epoch,
            is_leaving=self._is_leaving(inventory, name),
        )
        line = ownership.line_resource(instance.upstream)
        return InstanceTask(
            state,
            self.clock,
            self.reactor,
            self.metrics,
            lambda msg: self.tell(line, msg),
            self._note_superseded,
        )

    def _make_line_task(self, inventory: Inventory, name: str, epoch: int) -> LineTask:
        state = line_states.LineState(
            inventory.upstreams[name],
            _kinds(inventory, name),
            _weights(inventory),
            _queue_limits(inventory),
            leaving=self._leaving(inventory),
            gone=self._view.platform_gone,
        )
        return LineTask(
            state,
            ownership.line_resource(name),
            epoch,
            self.clock,
            self.random,
            self.store,
            lambda instance, msg: self.tell(ownership.instance_resource(instance), msg),
        )

    def _note_superseded(self, instance: str, epoch: int) -> None:
        resource = ownership.instance_resource(instance)
        self.member.offer(member_states.InstanceSuperseded(resource, epoch))

    async def _close(self, resource: str) -> None:
        running = self._running.get(resource)
        if running is not None:
            await self._quiesce(running)
            if self._running.get(resource) is running:
                del self._running[resource]
            running.fut.cancel()
        await self.member.put(member_states.ResourceClosed(resource))

    async def _quiesce(self, running: _Running) -> None:
        task = running.task
        if isinstance(task, LineTask):
            await task.wait_until_idle()
            return
        await task.mailbox.put(m.Stop())
        deadline = self.clock.now() + CLOSE_TIMEOUT
        while self.clock.now() < deadline and task.has_calls_in_flight():
            await sleep(self.clock, CLOSE_POLL)

    def _retire(self, resource: str) -> None:
        """Take no more work on a resource, but let calls in flight end."""
        running = self._running.pop(resource, None)
        if running is not None:
            spawn(self._end_retired(running))

    async def _end_retired(self, running: _Running) -> None:
        if isinstance(running.task, InstanceTask):
            running.task.is_superseded = True
            await self._quiesce(running)
        running.fut.cancel()

    def _pass_on_rules(self) -> None:
        revision = self._view.revision
        if revision is None:
            return
        for running in self._running.values():
            task = running.task
            if isinstance(task, InstanceTask):
                msg = self._instance_rules(revision.inventory, task)
            else:
                msg = self._line_rules(revision.inventory, task)
            if msg is not None:
                task.mailbox.offer(msg)

    def _instance_rules(
        self, inventory: Inventory, task: InstanceTask
    ) -> instance_states.RulesChanged | None:
        instance = inventory.instances.get(task.state.instance.name)
        if instance is None or instance.upstream not in inventory.upstreams:
            return None
        return instance_states.RulesChanged(
            instance,
            inventory.upstreams[instance.upstream],
            _kinds(inventory, instance.upstream),
            _weights(inventory),
            self._is_leaving(inventory, instance.name),
        )

    def _line_rules(
        self, inventory: Inventory, task: LineTask
    ) -> line_states.LineRules | None:
        upstream = inventory.upstreams.get(task.state.upstream.name)
        if upstream is None:
            return None
        return line_states.LineRules(
            upstream,
            _kinds(inventory, upstream.name),
            _weights(inventory),
            _queue_limits(inventory),
            self._leaving(inventory),
            self._view.platform_gone,
            self._view.store_reachable,
        )

    def _is_leaving(self, inventory: Inventory, name: str) -> bool:
        return name in self._leaving(inventory) or name in self._view.platform_gone

    def _leaving(self, inventory: Inventory) -> frozenset[str]:
        declared = (i.name for i in inventory.instances.values() if i.leaving)
        return self._view.platform_leaving.union(declared)

    def _pass_on_loads(self, report: m.LoadReport) -> None:
        for running in self._running.values():
            if isinstance(running.task, LineTask):
                running.task.mailbox.offer(report)

    async def _tell_loads(self) -> None:
        rounds = itertools.count()
        told: dict[str, m.InstanceLoad] = {}
        while True:
            await sleep(self.clock, LOAD_INTERVAL)
            loads = {load.instance: load for load in self._read_loads()}
            if next(rounds) % ROUNDS_TO_REFRESH == 0:
                told = {}
            report = m.LoadReport(self.me, changed_loads(told, loads))
            told = loads
            self._pass_on_loads(report)
            self.share_loads(report)

    def _read_loads(self) -> t.Iterator[m.InstanceLoad]:
        now = self.clock.now()
        for running in self._running.values():
            if isinstance(running.task, InstanceTask):
                yield instance_deciding.instance_load(running.task.state, now)


def changed_loads(
    told: t.Mapping[str, m.InstanceLoad], loads: t.Mapping[str, m.InstanceLoad]
) -> tuple[m.InstanceLoad, ...]:
    """Return the loads that differ from what was told last.

    The list of tasks is the larger part of a load and changes least, so it is
    left out while it stays the same.
    """
    return tuple(
        _without_known_tasks(told.get(name), load)
        for name, load in loads.items()
        if told.get(name) != load
    )


def _without_known_tasks(
    told: m.InstanceLoad | None, load: m.InstanceLoad
) -> m.InstanceLoad:
    if told is None or told.epoch != load.epoch:
        return load
    if told.batch_tasks != load.batch_tasks:
        return load
    return evolve(load, batch_tasks=None)


def _rules_of(view: m.View) -> tuple[t.Any, ...]:
    number = view.revision.number if view.revision else 0
    return (
        number,
        view.platform_gone,
        view.platform_leaving,
        view.store_reachable,
    )


def _kinds(inventory: Inventory, upstream: str) -> PMap:
    kinds = inventory.kinds.values()
    return pmap({kind.name: kind for kind in kinds if kind.upstream == upstream})


def _weights(inventory: Inventory) -> PMap:
    return pmap({name: caller.weight for name, caller in inventory.callers.items()})


def _queue_limits(inventory: Inventory) -> PMap:
    callers = inventory.callers.items()
    return pmap({name: caller.max_queued for name, caller in callers})
