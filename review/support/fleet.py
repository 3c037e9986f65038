"""A small deployment on loopback: entries as processes, and the platform around them.

Each entry reaches the store, the workers and its peers by links of its own. Addresses
in the store are translated for each reader, so that a case can hold back the data of
one link.
"""

import asyncio
import base64
import collections
import contextlib
import http.client
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t

from .link import Link, forward_tcp, serve_http
from .store import Store
from .worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "mill.example"
PREFIX = "/plans/"
#: Longest time that a case may take, in seconds.
MAX_CASE_S = 110
#: Bounds of a small deployment, as the pages show them.
SETTINGS = """
Node = "{name}"
Role = "entry"
MachineClass = "front"
Zone = "z1"
Ip = "{ip}"
PortRange = [{peer_port}, {peer_port}]
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
ControlMode = "rpc"
[Listen]
Front = "{ip}:{front_port}"
Ready = "{ip}:{ready_port}"
[Limits]
CpuShare = 1.07
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
StabilityMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
MaxHoldMs = 6000
StopMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
ImpactMs = 4000
[platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""
_ADDRESS = re.compile(r"127\.\d+\.\d+\.\d+:\d+")


def make_route(name: str, prefix: str, **fields: t.Any) -> dict[str, t.Any]:
    """Return a route of the configuration."""
    route = {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Service": "mill",
        "Kind": "unsafe",
        "TimeoutMs": 3000,
        "TargetLatencyMs": 1000,
        "Priority": 2,
        "MaxAttempts": 3,
        "SlackFactor": 2.0,
    }
    return route | fields


def make_config(version: int, *routes: dict[str, t.Any]) -> dict[str, t.Any]:
    """Return a configuration with one service."""
    return {
        "Version": version,
        "Routes": list(routes),
        "Services": [{"Name": "mill", "AdmissionCheck": True}],
        "Limits": {"MaxBodyBytes": 262144},
    }


class Fleet:
    """The store, the workers and the entries, and the record of what they do."""

    def __init__(self, case: pathlib.Path, entries: int, workers: int) -> None:
        self.entries = [f"e{n + 1}" for n in range(entries)]
        self.store = Store()
        attempts: dict[str, int] = {}
        names = [f"w{n + 1}" for n in range(workers)]
        self.workers = {n: Worker(n, 64000, self.record, attempts) for n in names}
        self.events: list[dict[str, t.Any]] = []
        self._started_at = time.monotonic()
        self._file = open(case / "record.txt", "w")  # noqa: SIM115
        self._folder = tempfile.TemporaryDirectory()
        self._processes: dict[str, subprocess.Popen] = {}
        self._links: dict[tuple[str, str], Link] = {}
        #: By reader, then by address as stored: the address that the reader is given.
        self._views: dict[str, dict[str, str]] = {name: {} for name in self.entries}
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task] = []
        self._ports: dict[str, dict[str, int]] = {}
        #: Number of lease renewals, by entry.
        self.renewals: collections.Counter[str] = collections.Counter()

    # The record.

    def now(self) -> float:
        """Return the seconds since the fleet was made."""
        return round(time.monotonic() - self._started_at, 3)

    def record(self, event: str, **fields: t.Any) -> None:
        """Add an event to the record, with the time at which it happened."""
        row = {"at": self.now(), "event": event, **fields}
        self.events.append(row)
        self._file.write(json.dumps(row) + "\n")

    def find(self, event: str, **fields: t.Any) -> list[dict[str, t.Any]]:
        """Return the events with the given fields."""
        return [
            row
            for row in self.events
            if row["event"] == event and all(row.get(k) == v for k, v in fields.items())
        ]

    # Links.

    def link(self, one: str, other: str) -> Link:
        """Return the link between two of: entries, workers, the store."""
        return self._links.setdefault(tuple(sorted((one, other))), Link())

    def part(self, side: t.Collection[str]) -> list[Link]:
        """Cut the given machines off from all others; return the cut links."""
        parted = [
            link
            for (one, other), link in self._links.items()
            if (one in side) != (other in side)
        ]
        for link in parted:
            link.cut()
        return parted

    # Start and end.

    def ip(self, entry: str) -> str:
        """Return the address of an entry's machine."""
        # The port of metrics is fixed, so cases that run side by side need addresses of
        # their own.
        pid = os.getpid()
        return f"127.{20 + pid % 200}.{pid // 200 % 200}.{int(entry[1:])}"

    async def start(self, config: dict[str, t.Any]) -> None:
        """Start everything, and wait until all entries are ready."""
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        self.put_config(config)
        for worker in self.workers.values():
            await self._start_worker(worker)
        for entry in self.entries:
            self._ports[entry] = {
                name: _find_free_port(self.ip(entry))
                for name in ("peer", "front", "ready")
            }
        for entry in self.entries:
            await self._connect_entry(entry)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            await self.wait_until_ready(entry)
        await self.wait_for(lambda: self.leader() is not None, 10)

    async def _start_worker(self, worker: Worker) -> None:
        link = self.link(worker.name, "store")

        async def call_store(*call: t.Any) -> tuple[int, t.Any]:
            await link.wait_until_open()
            return await self.store.handle(*call)

        server, port = await serve_http(Link(), worker.handle, "127.0.0.1")
        self._servers.append(server)
        worker.address = f"127.0.0.1:{port}"
        self._tasks += [
            asyncio.create_task(worker.work()),
            asyncio.create_task(worker.register_periodically(call_store)),
        ]

    async def _connect_entry(self, entry: str) -> None:
        """Make the links of an entry to the store, the workers and its peers."""
        view = self._views[entry]
        server, port = await serve_http(
            self.link(entry, "store"), self._make_store_view(entry), "127.0.0.1"
        )
        self._servers.append(server)
        self._ports[entry]["store"] = port
        for worker in self.workers.values():
            link = self.link(entry, worker.name)
            server, port = await serve_http(link, worker.handle, "127.0.0.1")
            self._servers.append(server)
            view[worker.address] = f"127.0.0.1:{port}"
        for peer in self.entries:
            if peer == entry:
                continue
            target = (self.ip(peer), self._ports[peer]["peer"])
            server, port = await forward_tcp(
                self.link(entry, peer), "127.0.0.1", target
            )
            self._servers.append(server)
            view[f"{target[0]}:{target[1]}"] = f"127.0.0.1:{port}"

    def _make_store_view(self, entry: str) -> t.Callable:
        """Return the store's handler, with addresses translated for an entry."""
        view = self._views[entry]

        async def handle(
            method: str, path: str, query: dict[str, str], body: t.Any
        ) -> tuple[int, t.Any]:
            stored = {shown: kept for kept, shown in view.items()}
            writes = [_translate(row, stored) for row in body.get("Writes", [])]
            call = (method, path, query, {**body, "Writes": writes})
            if "/kv-keep/" in path:
                self.renewals[entry] += 1
            status, answer = await self.store.handle(*call)
            for name in ("items", "events"):
                if name in answer:
                    answer = {
                        **answer,
                        name: [_translate(i, view) for i in answer[name]],
                    }
            return status, _translate(answer, view)

        return handle

    def start_entry(self, entry: str) -> None:
        """Start the process of an entry with the command of the deploy file."""
        ports = self._ports[entry]
        path = pathlib.Path(self._folder.name) / f"{entry}.toml"
        path.write_text(
            SETTINGS.format(
                name=entry,
                ip=self.ip(entry),
                peer_port=ports["peer"],
                front_port=ports["front"],
                ready_port=ports["ready"],
                store=f"127.0.0.1:{ports['store']}",
            )
        )
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {"FIGHEAD_BOOT": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        log = os.environ.get("ENTRY_LOGS")
        with open(f"{log}/{entry}.log" if log else os.devnull, "ab") as output:
            self._processes[entry] = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self.record("entry started", entry=entry)

    def freeze_entry(self, entry: str) -> None:
        """Suspend the process of an entry."""
        self.record("entry frozen", entry=entry)
        self._processes[entry].send_signal(signal.SIGSTOP)

    def thaw_entry(self, entry: str) -> None:
        """Let a suspended process go on."""
        self.record("entry goes on", entry=entry)
        self._processes[entry].send_signal(signal.SIGCONT)

    def kill_entry(self, entry: str) -> None:
        """Kill the process of an entry."""
        self.record("entry killed", entry=entry)
        process = self._processes.pop(entry)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def living(self) -> list[str]:
        """Return the names of the entries whose processes run."""
        return sorted(self._processes)

    async def drain_worker(self, name: str) -> float:
        """Let a worker report that it drains; return when the store accepted that."""
        worker = self.workers[name]
        worker.state = "draining"
        await worker.register(self.store.handle, 0)
        self.record("draining", worker=name)
        return self.now()

    async def stop(self) -> None:
        """End all processes and servers, and close the record."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._file.close()
        self._folder.cleanup()

    # The operator.

    def put_config(self, config: dict[str, t.Any]) -> None:
        """Write a configuration; the store's answer is its acknowledgement."""
        self.store.put("op/config", json.dumps(config))
        names = [route["Name"] for route in config["Routes"]]
        self.record("config acknowledged", version=config["Version"], routes=names)

    def leader(self) -> str | None:
        """Return the name of the entry that holds the leader key."""
        text = self.store.read("fighead/control/leader")
        return json.loads(text)["name"] if text else None

    # Clients.

    async def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: t.Any = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, t.Any]:
        """Send one request of a client; status 0 stands for no answer."""
        sent_at = self.now()
        try:
            status, answer = await asyncio.to_thread(
                self._exchange, entry, method, path, body, timeout_s
            )
        except (OSError, ValueError, http.client.HTTPException):
            status, answer = 0, {}
        self.record(
            "call",
            entry=entry,
            method=method,
            path=path,
            sent_at=sent_at,
            status=status,
            answer=answer,
        )
        return status, answer

    def _exchange(
        self, entry: str, method: str, path: str, body: t.Any, timeout_s: float
    ) -> tuple[int, t.Any]:
        headers = {
            "Host": HOST,
            "Content-Type": "application/json",
            "Fighead-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        conn = http.client.HTTPConnection(
            self.ip(entry), self._ports[entry]["front"], timeout=timeout_s
        )
        try:
            data = None if body is None else json.dumps(body)
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        finally:
            conn.close()

    async def wait_until_ready(self, entry: str) -> None:
        """Wait until an entry reports that it is ready."""

        async def is_ready() -> bool:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    self.ip(entry), self._ports[entry]["ready"]
                )
                writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                response = await reader.read()
                writer.close()
                return b" 200 " in response[:20]
            return False

        deadline = time.monotonic() + 20
        while not await is_ready():
            if time.monotonic() > deadline:
                raise CouldNotRunError(f"{entry} is not ready")
            await asyncio.sleep(0.02)

    async def wait_for(self, condition: t.Callable[[], t.Any], limit_s: float) -> None:
        """Wait until a condition holds.

        :raises CouldNotRunError: If it does not hold within ``limit_s``.
        """
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise CouldNotRunError("a condition was not met in time")
            await asyncio.sleep(0.02)


class CouldNotRunError(Exception):
    """The case could not be run."""


def _find_free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def _translate(item: t.Any, addresses: dict[str, str]) -> t.Any:
    """Return an item with the addresses in its value replaced."""
    if not isinstance(item, dict) or not item.get("Value"):
        return item
    text = base64.b64decode(item["Value"]).decode()
    text = _ADDRESS.sub(lambda m: addresses.get(m[0], m[0]), text)
    return {**item, "Value": base64.b64encode(text.encode()).decode()}


def job(spec: dict[str, t.Any], count: int = 1, **step: t.Any) -> dict[str, t.Any]:
    """Return the body of a submission with one step."""
    fields = {"Count": count, "Cpu": spec.get("cpu", 0), "MemMb": 10, **step}
    fields["EstRuntimeMs"] = spec.get("ms", 0)
    return {"Spec": json.dumps(spec), "Steps": [fields]}


def run_case(
    file: str,
    entries: int,
    workers: int,
    play: t.Callable[[Fleet, bool], t.Awaitable[list[str]]],
) -> None:
    """Play a case and exit with its verdict.

    :param play: Called with the fleet and whether to disturb it; starts the fleet and
        returns how the rule was broken.
    """
    with_disruption = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        fleet = Fleet(pathlib.Path(file).resolve().parent, entries, workers)
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, lambda: task and task.cancel())
        try:
            async with asyncio.timeout(MAX_CASE_S):
                breaches = await play(fleet, with_disruption)
        except (Exception, asyncio.CancelledError) as exc:
            fleet.record("could not run", why=repr(exc))
            print("could not run:", repr(exc))
            return 2
        else:
            for breach in breaches:
                fleet.record("rule broken", what=breach)
                print("rule broken:", breach)
            fleet.record("verdict", is_broken=bool(breaches), trouble=with_disruption)
            return 1 if breaches else 0
        finally:
            await fleet.stop()

    status = asyncio.run(run())
    print({0: "held", 1: "broken", 2: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
