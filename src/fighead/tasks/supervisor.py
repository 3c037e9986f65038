"""The task that starts and stops the tasks of the resources that an entry owns."""

import datetime as dt
import itertools
import random
import typing as t

from attrs import define, evolve, field
from pyrsistent import PMap, pmap
from twisted.internet.defer import Deferred

from .. import message as m
from ..clock import Clock, sleep
from ..decisions import instance as instance_decisions
from ..decisions import instance_state, line_state, member_state, ownership
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..metric import Metrics
from ..model import Inventory
from .instance import InstanceTask
from .line import LineTask
from .store import StoreCall

#: Interval at which owners report the load of their instances.
LOAD_REPORT_INTERVAL = dt.timedelta(milliseconds=500)
#: One report in this many includes unchanged loads, since a report may be lost.
ROUNDS_PER_FULL_REPORT = 4
#: Maximum time for which closing an instance's task waits for calls in flight.
CLOSE_TIMEOUT = dt.timedelta(seconds=10)
CLOSE_POLL_INTERVAL = dt.timedelta(milliseconds=50)


@define(eq=False)
class _RunningTask:
    task: InstanceTask | LineTask
    deferred: Deferred


@define(eq=False)
class SupervisorTask:
    """Starts and stops the tasks of instances and lines, and sends them updates.

    :param member: Mailbox of the membership task.
    :param send: Sends a message to the owner of a resource, here or at a peer.
    :param broadcast_loads: Sends the load of this entry's instances to the entry's
        dispatcher and to all peers.
    """

    me: str
    clock: Clock
    reactor: t.Any
    metrics: Metrics
    random: random.Random
    store: Mailbox[StoreCall]
    member: Mailbox[t.Any]
    send: t.Callable[[str, t.Any], None]
    broadcast_loads: t.Callable[[m.LoadReport], None]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("roster", 8192))
    _running: dict[str, _RunningTask] = field(factory=dict)
    _view: m.View = m.View("")
    _load_reporter: Deferred | None = None

    async def run(self) -> None:
        """Handle messages until cancelled, then cancel the tasks of all resources."""
        self._load_reporter = spawn(self._report_loads_periodically())
        try:
            await process_messages(self.mailbox, self._handle, self.mailbox.name)
        finally:
            self._load_reporter.cancel()
            for running in self._running.values():
                running.deferred.cancel()

    def find_mailbox(self, resource: str) -> Mailbox[t.Any] | None:
        """Return the mailbox of a resource's task; ``None`` if it does not run here."""
        running = self._running.get(resource)
        return running.task.mailbox if running else None

    def owned_states(self) -> t.Iterator[t.Any]:
        """Yield the state of each instance and line whose task runs here."""
        return (running.task.state for running in self._running.values())

    def _handle(self, msg: t.Any) -> None:
        match msg:
            case member_state.OpenResource(resource, epoch):
                self._open(resource, epoch)
            case member_state.CloseResource(resource):
                spawn(self._close(resource))
            case member_state.RetireResource(resource):
                log_event(Event.CLAIM_LOST, resource=resource)
                self._retire(resource)
            case m.View():
                before, self._view = self._view, msg
                if _rule_inputs(before) != _rule_inputs(msg):
                    self._send_rules()
            case m.LoadReport():
                self._send_loads_to_lines(msg)

    def _open(self, resource: str, epoch: int) -> None:
        self._retire(resource)
        revision = self._view.revision
        if revision is None:
            return
        task = self._make_task(resource, epoch, revision.inventory)
        if task is not None:
            self._running[resource] = _RunningTask(task, spawn(task.run()))

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
        state = instance_state.InstanceOwnerState(
            instance,
            inventory.upstreams[instance.upstream],
            _kinds_of_upstream(inventory, instance.upstream),
            _caller_weights(inventory),
            epoch,
            is_leaving=self._is_leaving(inventory, name),
        )
        line = ownership.line_resource(instance.upstream)
        return InstanceTask(
            state,
            self.clock,
            self.reactor,
            self.metrics,
            lambda msg: self.send(line, msg),
            self._report_superseded,
        )

    def _make_line_task(self, inventory: Inventory, name: str, epoch: int) -> LineTask:
        state = line_state.LineState(
            inventory.upstreams[name],
            _kinds_of_upstream(inventory, name),
            _caller_weights(inventory),
            _queue_limits(inventory),
            leaving=self._leaving_instances(inventory),
            gone=self._view.platform_gone,
        )
        return LineTask(
            state,
            ownership.line_resource(name),
            epoch,
            self.clock,
            self.random,
            self.store,
            lambda instance, msg: self.send(ownership.instance_resource(instance), msg),
        )

    def _report_superseded(self, instance: str, epoch: int) -> None:
        resource = ownership.instance_resource(instance)
        self.member.offer(member_state.InstanceSuperseded(resource, epoch))

    async def _close(self, resource: str) -> None:
        running = self._running.get(resource)
        if running is not None:
            await self._drain(running)
            if self._running.get(resource) is running:
                del self._running[resource]
            running.deferred.cancel()
        await self.member.put(member_state.ResourceClosed(resource))

    async def _drain(self, running: _RunningTask) -> None:
        task = running.task
        if isinstance(task, LineTask):
            await task.drain()
            return
        await task.mailbox.put(m.Stop())
        deadline = self.clock.now() + CLOSE_TIMEOUT
        while self.clock.now() < deadline and task.has_calls_in_flight():
            await sleep(self.clock, CLOSE_POLL_INTERVAL)

    def _retire(self, resource: str) -> None:
        """Stop a resource's task: a line at once, an instance after calls in flight."""
        running = self._running.pop(resource, None)
        if running is not None:
            spawn(self._drain_and_cancel(running))

    async def _drain_and_cancel(self, running: _RunningTask) -> None:
        if isinstance(running.task, InstanceTask):
            running.task.is_superseded = True
            await self._drain(running)
        running.deferred.cancel()

    def _send_rules(self) -> None:
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
    ) -> instance_state.RulesChanged | None:
        instance = inventory.instances.get(task.state.instance.name)
        if instance is None or instance.upstream not in inventory.upstreams:
            return None
        return instance_state.RulesChanged(
            instance,
            inventory.upstreams[instance.upstream],
            _kinds_of_upstream(inventory, instance.upstream),
            _caller_weights(inventory),
            self._is_leaving(inventory, instance.name),
        )

    def _line_rules(
        self, inventory: Inventory, task: LineTask
    ) -> line_state.LineRules | None:
        upstream = inventory.upstreams.get(task.state.upstream.name)
        if upstream is None:
            return None
        return line_state.LineRules(
            upstream,
            _kinds_of_upstream(inventory, upstream.name),
            _caller_weights(inventory),
            _queue_limits(inventory),
            self._leaving_instances(inventory),
            self._view.platform_gone,
            self._view.store_reachable,
        )

    def _is_leaving(self, inventory: Inventory, name: str) -> bool:
        return (
            name in self._leaving_instances(inventory)
            or name in self._view.platform_gone
        )

    def _leaving_instances(self, inventory: Inventory) -> frozenset[str]:
        declared = (i.name for i in inventory.instances.values() if i.leaving)
        return self._view.platform_leaving.union(declared)

    def _send_loads_to_lines(self, report: m.LoadReport) -> None:
        for running in self._running.values():
            if isinstance(running.task, LineTask):
                running.task.mailbox.offer(report)

    async def _report_loads_periodically(self) -> None:
        rounds = itertools.count()
        last_sent: dict[str, m.InstanceLoad] = {}
        while True:
            await sleep(self.clock, LOAD_REPORT_INTERVAL)
            loads = {load.instance: load for load in self._current_loads()}
            if next(rounds) % ROUNDS_PER_FULL_REPORT == 0:
                last_sent = {}
            report = m.LoadReport(self.me, changed_loads(last_sent, loads))
            last_sent = loads
            self._send_loads_to_lines(report)
            self.broadcast_loads(report)

    def _current_loads(self) -> t.Iterator[m.InstanceLoad]:
        now = self.clock.now()
        for running in self._running.values():
            if isinstance(running.task, InstanceTask):
                yield instance_decisions.instance_load(running.task.state, now)


def changed_loads(
    last_sent: t.Mapping[str, m.InstanceLoad], loads: t.Mapping[str, m.InstanceLoad]
) -> tuple[m.InstanceLoad, ...]:
    """Return the loads that differ from those sent last.

    The list of tasks is the largest part of a load and changes least often, so it
    is omitted while it is unchanged.

    :param last_sent: The last loads sent, by instance.
    :param loads: The current loads, by instance.
    """
    return tuple(
        _omit_unchanged_tasks(last_sent.get(name), load)
        for name, load in loads.items()
        if last_sent.get(name) != load
    )


def _omit_unchanged_tasks(
    last_sent: m.InstanceLoad | None, load: m.InstanceLoad
) -> m.InstanceLoad:
    if last_sent is None or last_sent.epoch != load.epoch:
        return load
    if last_sent.batch_tasks != load.batch_tasks:
        return load
    return evolve(load, batch_tasks=None)


def _rule_inputs(view: m.View) -> tuple[t.Any, ...]:
    number = view.revision.number if view.revision else 0
    return (
        number,
        view.platform_gone,
        view.platform_leaving,
        view.store_reachable,
    )


def _kinds_of_upstream(inventory: Inventory, upstream: str) -> PMap:
    kinds = inventory.kinds.values()
    return pmap({kind.name: kind for kind in kinds if kind.upstream == upstream})


def _caller_weights(inventory: Inventory) -> PMap:
    return pmap({name: caller.weight for name, caller in inventory.callers.items()})


def _queue_limits(inventory: Inventory) -> PMap:
    callers = inventory.callers.items()
    return pmap({name: caller.max_queued for name, caller in callers})
