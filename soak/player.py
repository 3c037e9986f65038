"""Plays one seed: starts the fleet, sends load, injects faults and checks promises."""

import base64
import datetime as dt
import json
import pathlib
import random
import typing as t

from attrs import define, field

from fighead.clock import Clock, sleep
from fighead.http_client import HttpPool
from fighead.mailbox import spawn

from . import checks
from .clients import Clients, decode_history
from .crowd import hold_crowd
from .fleet import CORES, GRACE_S, Fleet, encode_config
from .model import Crowd, Fault, JobSeen, Kind, Result, RunSeen, StopSeen
from .open_clients import OpenClients
from .plan import LOAD_S, draw_crowds, draw_faults
from .proxy import LinkProxy, Mode

POLL = dt.timedelta(milliseconds=200)
#: Interval at which a process that stops is looked at.
STOP_POLL = dt.timedelta(milliseconds=20)
START_TIMEOUT = dt.timedelta(seconds=30)
#: Time between two jobs.
JOB_INTERVAL = dt.timedelta(milliseconds=250)
#: Time after the last fault in which a new job has to be completed.
SERVED_AGAIN = dt.timedelta(seconds=15)
#: Most jobs that are sent to see whether one is served after all faults.
MAX_PROBES = 40
#: Time after the load in which all accepted jobs have to be completed.
SETTLE = dt.timedelta(seconds=30)
#: Time in which the last ends and cancellations reach the instances.
CALM = dt.timedelta(seconds=2)
#: Time between the end of an entry or an instance and its next start.
DOWN = dt.timedelta(milliseconds=500)

_LINK_MODES = {
    Kind.STORE_LINK_SILENT: Mode.SILENT,
    Kind.STORE_LINK_ONE_WAY: Mode.ONE_WAY,
    Kind.STORE_LINK_RESET: Mode.RESET,
    Kind.STORE_LINK_SLOW: Mode.SLOW,
    Kind.INSTANCE_LINK_SILENT: Mode.SILENT,
    Kind.INSTANCE_LINK_ONE_WAY: Mode.ONE_WAY,
    Kind.INSTANCE_LINK_RESET: Mode.RESET,
    Kind.INSTANCE_LINK_SLOW: Mode.SLOW,
    Kind.INSTANCE_STORE_LINK_SILENT: Mode.SILENT,
    Kind.INSTANCE_STORE_LINK_RESET: Mode.RESET,
}
_STOPS = (Kind.ENTRY_STOPPED, Kind.ENTRY_ROLLED, Kind.LEADER_STOPPED)
_STORE_FAULTS: dict[Kind, dict[str, t.Any]] = {
    Kind.STORE_BUSY: {"is_busy": True},
    Kind.STORE_SILENT: {"is_silent": True},
    Kind.STORE_LOSES_ANSWERS: {"lost_answers": 0.3},
    Kind.STORE_FORGETS: {"forgets": True},
}


@define(eq=False)
class Player:
    """Owns one seed's fleet, clients and result.

    :param history: Events that instances told before they were killed.
    :param _stopping: Planned stops under way, by the entry's name.
    """

    reactor: t.Any
    clock: Clock
    folder: pathlib.Path
    seed: int
    entry_count: int = 3
    instance_count: int = 3
    result: Result = field(init=False)
    fleet: Fleet = field(init=False)
    clients: Clients = field(init=False)
    open_clients: OpenClients = field(init=False)
    history: list[RunSeen] = field(factory=list)
    _stopping: dict[str, StopSeen] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        faults = draw_faults(self.seed, self.entry_count, self.instance_count)
        self.result = Result(self.seed, faults)
        self.result.crowds = draw_crowds(self.seed, self.entry_count)
        self.fleet = Fleet(
            self.reactor, self.folder, self.entry_count, self.instance_count
        )

    async def play(self) -> Result:
        """Play the seed and return its result; all processes are ended."""
        try:
            await self._start()
            await self._send_load()
            await self._settle()
            await self._collect()
            ended = [e for e in self.fleet.entries if not self.fleet.is_running(e)]
        finally:
            self.fleet.stop()
        self.result.jobs, self.result.runs = self.clients.jobs, self.history
        self.result.breaches = checks.find_breaches(
            self.clients.jobs, self.history, CORES
        )
        self.result.exchanges = self.open_clients.exchanges
        self.result.breaches += checks.find_stop_breaches(
            self.result.stops, self.open_clients.exchanges, self.open_clients.stalls
        )
        # All faults start the processes again that they end, and no others.
        self.result.breaches += [
            checks.Breach("run", f"{name} has ended by itself") for name in ended
        ]
        if not self.result.is_served_again:
            self.result.breaches.append(
                checks.Breach("recover", "a job sent after all faults was not done")
            )
        return self.result

    async def _start(self) -> None:
        fleet = self.fleet
        fleet.start()
        self.clients = Clients(
            HttpPool(self.reactor, self.clock, 16),
            self.clock,
            [fleet.address(name) for name in fleet.entries],
            random.Random(self.seed),
        )
        self.open_clients = OpenClients(
            self.reactor,
            self.clock,
            {name: fleet.address(name) for name in fleet.entries},
            random.Random(f"open clients of {self.seed}"),
            self.clients.jobs,
        )
        store = fleet.address("store")
        await self._wait_for(store, "POST", "/fighead/kv-txn", encode_config())
        for name in fleet.instances:
            fleet.start_instance(name)
        for name in fleet.entries:
            fleet.start_entry(name)
        for name in fleet.entries:
            await self._wait_for(fleet.address(f"{name}/ready"), "GET", "/")

    async def _wait_for(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> None:
        deadline = self.clock.now() + START_TIMEOUT
        while (await self.clients.call(address, method, path, body)).status != 200:
            if self.clock.now() > deadline:
                raise TimeoutError(f"{address} does not answer.")
            await sleep(self.clock, POLL)

    # Load and faults.

    async def _send_load(self) -> None:
        self.open_clients.start()
        pending = [spawn(self._inject(fault)) for fault in self.result.faults]
        pending += [
            spawn(self._gather(crowd, number))
            for number, crowd in enumerate(self.result.crowds)
        ]
        end = self.clock.now() + dt.timedelta(seconds=LOAD_S)
        while self.clock.now() < end:
            self.clients.send_random_job()
            await sleep(self.clock, JOB_INTERVAL)
        for deferred in pending:
            await deferred
        await self.open_clients.finish()

    async def _gather(self, crowd: Crowd, number: int) -> None:
        await sleep(self.clock, dt.timedelta(seconds=crowd.at_s))
        address = self.fleet.address(self.fleet.entries[crowd.target])
        rng = random.Random(f"crowd {number} of {self.seed}")
        await hold_crowd(self.reactor, self.clock, address, rng, crowd)

    async def _inject(self, fault: Fault) -> None:
        await sleep(self.clock, dt.timedelta(seconds=fault.at_s))
        duration = dt.timedelta(seconds=fault.for_s)
        kind = fault.kind
        if kind in _LINK_MODES:
            await self._disturb_link(self._link_of(fault), _LINK_MODES[kind], duration)
        elif kind in _STORE_FAULTS:
            await self._set_store_faults(**_STORE_FAULTS[kind])
            await sleep(self.clock, duration)
            await self._set_store_faults()
        elif kind in (Kind.ENTRY_PAUSED, Kind.INSTANCE_PAUSED, Kind.LEADER_PAUSED):
            await self._pause(await self._name_of(fault), duration)
        elif kind in _STOPS:
            await self._stop_entry(await self._name_of(fault))
        elif kind is Kind.INSTANCE_KILLED:
            await self._restart_instance(await self._name_of(fault))
        elif kind is Kind.ALL_KILLED:
            await self._restart_entries(self.fleet.entries)
        else:
            await self._restart_entries([await self._name_of(fault)])

    def _link_of(self, fault: Fault) -> LinkProxy:
        if fault.kind.name.startswith("STORE_LINK"):
            return self.fleet.store_links[self.fleet.entries[fault.target]]
        name = self.fleet.instances[fault.target]
        if fault.kind.name.startswith("INSTANCE_STORE_LINK"):
            return self.fleet.store_links[name]
        return self.fleet.instance_links[name]

    async def _name_of(self, fault: Fault) -> str:
        if fault.kind.name.startswith("INSTANCE"):
            return self.fleet.instances[fault.target]
        name = self.fleet.entries[fault.target]
        if fault.kind.name.startswith("LEADER"):
            return await self._find_leader() or name
        return name

    async def _find_leader(self) -> str:
        """Return the name of the leader; empty if the store does not tell it."""
        address = self.fleet.address("store")
        path = "/fighead/kv-key?Key=fighead/control/leader"
        response = await self.clients.call(address, "GET", path)
        if response.status != 200:
            return ""
        value = base64.b64decode(json.loads(response.body)["Value"])
        return str(json.loads(value)["name"])

    async def _disturb_link(
        self, link: LinkProxy, mode: Mode, duration: dt.timedelta
    ) -> None:
        link.set_mode(mode)
        await sleep(self.clock, duration)
        link.set_mode(Mode.PASS)

    async def _set_store_faults(self, **faults: t.Any) -> None:
        body = json.dumps(faults).encode()
        await self.clients.call(self.fleet.address("store"), "PUT", "/faults", body)

    async def _pause(self, name: str, duration: dt.timedelta) -> None:
        if self.fleet.is_running(name):
            self._mark_disturbed(name)
            self.fleet.pause(name)
            await sleep(self.clock, duration)
            self.fleet.resume(name)

    async def _stop_entry(self, name: str) -> None:
        """Stop an entry as planned and start it again.

        A process that lives on after the grace period is killed, as the platform does.
        """
        if not self.fleet.is_running(name) or name in self._stopping:
            return
        log_path = self.folder / f"{name}.log"
        log_size = log_path.stat().st_size
        begin_s = self._now_s()
        stop = self._stopping[name] = StopSeen(name, begin_s, begin_s)
        self.result.stops.append(stop)
        self.fleet.terminate(name)
        while self.fleet.is_running(name) and self._now_s() < begin_s + GRACE_S:
            stop.running_s = self._now_s()
            await sleep(self.clock, STOP_POLL)
        if self.fleet.is_running(name):
            self.fleet.kill(name)
        stop.gone_s = self._now_s()
        stop.log = log_path.read_bytes()[log_size:].decode(errors="replace")
        del self._stopping[name]
        self.fleet.start_entry(name)

    def _mark_disturbed(self, name: str) -> None:
        if name in self._stopping:
            self._stopping[name].is_disturbed = True

    def _now_s(self) -> float:
        return self.clock.now().timestamp()

    async def _restart_entries(self, names: t.Sequence[str]) -> None:
        killed = [name for name in names if self.fleet.is_running(name)]
        for name in killed:
            self._mark_disturbed(name)
            self.fleet.kill(name)
        await sleep(self.clock, DOWN)
        for name in killed:
            self.fleet.start_entry(name)

    async def _restart_instance(self, name: str) -> None:
        self.fleet.resume(name)
        if not await self._read_history(name):
            return
        self.fleet.kill(name)
        crashed_s = self.clock.wall_now().timestamp()
        for seen in find_running(self.history, name):
            event = RunSeen(crashed_s, "crashed", name, seen.task, seen.run)
            self.history.append(event)
        await sleep(self.clock, DOWN)
        self.fleet.start_instance(name)

    async def _read_history(self, name: str) -> bool:
        """Add the events of an instance's present life; return whether it answered."""
        address = self.fleet.address(name)
        response = await self.clients.call(address, "GET", "/history")
        if response.status != 200:
            return False
        known = set(self.history)
        events = decode_history(response.body, name)
        self.history += [event for event in events if event not in known]
        return True

    # The end.

    async def _settle(self) -> None:
        """Wait until a new job has been served and all accepted jobs are done."""
        before = len(self.clients.jobs)
        deadline = self.clock.now() + SERVED_AGAIN
        while self.clock.now() < deadline and not self.result.is_served_again:
            if len(self.clients.jobs) < before + MAX_PROBES:
                self.clients.send_random_job()
            await sleep(self.clock, POLL)
            for job in self.clients.jobs[before:]:
                if job.is_accepted and not job.lasts:
                    state = await self.clients.read_state(job)
                    self.result.is_served_again |= state == "completed"
        deadline = self.clock.now() + SETTLE
        while self.clock.now() < deadline:
            await sleep(self.clock, POLL)
            for job in self.clients.jobs:
                if job.is_accepted and job.final_state != "completed":
                    job.final_state = await self.clients.read_state(job)
            if all(map(is_settled, self.clients.jobs)):
                break
        await sleep(self.clock, CALM)

    async def _collect(self) -> None:
        for name in self.fleet.instances:
            await self._read_history(name)


def find_running(history: t.Iterable[RunSeen], instance: str) -> list[RunSeen]:
    """Return the starts of runs of an instance that have not ended."""
    running: dict[tuple[str, int], RunSeen] = {}
    for seen in sorted(history):
        if seen.instance != instance:
            continue
        if seen.event == "started":
            running[seen.task, seen.run] = seen
        elif seen.event in checks.ENDS:
            running.pop((seen.task, seen.run), None)
    return list(running.values())


def is_settled(job: JobSeen) -> bool:
    """Whether a job has the state that it should have at the end."""
    if job.is_submitting:
        return False
    if not job.is_accepted or job.is_cancel_sent:
        return True
    return job.final_state == ("running" if job.lasts else "completed")
