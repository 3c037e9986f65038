"""Starts a store, workers and entries, and sends what clients and operators send.

The entries are started with the command of the deploy file, the store is the project's
stand-in, and the workers are those of :mod:`worker`. All addresses are loopback ones.
"""

import base64
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import typing as t

Json = dict[str, t.Any]

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
STORE = pathlib.Path(__file__).with_name("store.py")
WORKER = pathlib.Path(__file__).with_name("worker.py")
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
HOST = "mill.example"
#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

SETTINGS = """Node = "{name}"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "r"
PortRange = [{peer}, {peer}]
Seeds = []
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1500
ControlMode = "rpc"
[Zones]
za = "r"
zb = "r"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
[Limits]
CpuShare = {cpu_share}
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
StabilityMs = 3000
GraceS = 6
ConfigApplyMs = 2000
RecoveryS = 12
MaxHoldMs = 6000
StopMs = 200
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
NoticeMs = {notice_ms}
LeaseMs = 3000
PaceMs = 100
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


class CaseError(Exception):
    """The case could not run."""


class Deployment:
    """Owns the processes of one case.

    :param record: File that receives what was sent, answered and run.
    """

    def __init__(self, record: pathlib.Path, notice_ms: int = 4500) -> None:
        self.notice_ms = notice_ms
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fighead-case-"))
        self.record = record.open("w", buffering=1)
        self.started_at = time.monotonic()
        self.processes: dict[str, subprocess.Popen] = {}
        self.front: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self._reserved: list[socket.socket] = []
        # Each entry needs an address of its own, since its metrics port is fixed.
        self._network = f"127.{os.getpid() % 200 + 20}.{time.time_ns() // 1000 % 250}"
        self.store = self._reserve("127.0.0.1")

    def _reserve(self, ip: str) -> str:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, 0))
        self._reserved.append(sock)
        return f"{ip}:{sock.getsockname()[1]}"

    def write(self, text: str) -> None:
        """Write a line of the record, with the time since the start."""
        line = f"{time.monotonic() - self.started_at:8.3f} {text}"
        self.record.write(line + "\n")

    # Processes.

    def _start(self, name: str, command: list[str], env: Json) -> None:
        base = {"PATH": os.environ["PATH"], "HOME": str(self.folder), "LANG": "C.UTF-8"}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, cwd=ROOT, env=base | env, stdout=log, stderr=log
            )
        self.write(f"started {name}")

    def start_platform(self, config: Json) -> None:
        """Start the store and write the first configuration."""
        command = [sys.executable, str(STORE), self.store]
        self._start("store", command, {"PYTHONPATH": str(DEPENDENCIES)})
        self.wait_until(lambda: self.put("op/config", config), "the store", 20)

    def start_worker(self, name: str, labels: str, zone: str = "za") -> None:
        """Start a worker of 64 cores."""
        listen = self._reserve("127.0.0.1")
        arguments = ["--id", name, "--listen", listen, "--store", self.store]
        arguments += ["--zone", zone, "--labels", labels]
        arguments += ["--log", str(self.folder / "runs.jsonl")]
        self._start(name, [sys.executable, str(WORKER), *arguments], {})

    def write_settings(
        self, name: str, zone: str = "za", cpu_share: float = 0.537
    ) -> None:
        """Write the settings file of an entry, which keeps its addresses."""
        path = self.folder / f"{name}.toml"
        ip = f"{self._network}.{len(self.front) + 1}"
        addresses = [self._reserve(ip) for _ in range(3)]
        self.front[name], self.ready[name] = addresses[:2]
        front, ready, peer = (address.rpartition(":")[2] for address in addresses)
        text = SETTINGS.format(
            name=name,
            ip=ip,
            zone=zone,
            front=front,
            ready=ready,
            peer=peer,
            store=self.store,
            notice_ms=self.notice_ms,
            cpu_share=cpu_share,
        )
        path.write_text(text)

    def start_entry(self, name: str) -> None:
        """Start an entry with the command of the deploy file."""
        command = DEPLOY["roles"]["entry"]["run"].split()
        env = {
            "FIGHEAD_BOOT": str(self.folder / f"{name}.toml"),
            "PYTHONPATH": str(DEPENDENCIES),
        }
        self._start(name, command, env)

    def start_entries(self, *names: str) -> None:
        """Start entries and wait until each is ready."""
        for name in names:
            self.write_settings(name)
            self.start_entry(name)
        for name in names:
            self.wait_until(lambda name=name: self.is_ready(name), name, 30)

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a process that this case started."""
        self.processes[name].send_signal(number)
        self.write(f"{signal.Signals(number).name} sent to {name}")

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        for sock in self._reserved:
            sock.close()
        self.record.close()
        if os.environ.get("KEEP"):
            shutil.copytree(self.folder, os.environ["KEEP"])
        shutil.rmtree(self.folder, ignore_errors=True)

    # Calls.

    def wait_until(
        self, condition: t.Callable[[], bool], what: str, limit_s: float
    ) -> None:
        """Wait for a condition."""
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CaseError(f"{what} did not come up in {limit_s} s")
            time.sleep(0.05)

    def call(
        self, address: str, method: str, path: str, body: Json | None = None
    ) -> tuple[int, Json]:
        """Send a call; the status is 0 without an answer."""
        conn = http.client.HTTPConnection(address, timeout=4)
        headers = {"Host": HOST, "Content-Type": "application/json"}
        headers["Fighead-Deadline-Ms"] = "3000"
        try:
            data = None if body is None else json.dumps(body)
            conn.request(method, path, data, headers)
            response = conn.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            return 0, {}
        finally:
            conn.close()

    def put(self, key: str, value: Json) -> bool:
        """Write a key as the operator does; return whether it is acknowledged."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        body = {"Expect": [], "Writes": [{"Key": key, "Value": text}], "Deletes": []}
        status = self.call(self.store, "POST", "/fighead/kv-txn", body)[0]
        if status == 200:
            self.write(f"the operator wrote {key}")
        return status == 200

    def leader(self) -> str:
        """Return the name of the entry that holds the leader key; empty if none."""
        path = "/fighead/kv-key?Key=fighead/control/leader"
        status, item = self.call(self.store, "GET", path)
        if status != 200:
            return ""
        return json.loads(base64.b64decode(item["Value"]))["name"]

    def is_ready(self, name: str) -> bool:
        """Whether an entry reports that it is ready."""
        path = "/fighead/readiness"
        return self.call(self.ready[name], "GET", path)[0] == 200

    def submit(self, entry: str, job_id: str, spec: Json, steps: list[Json]) -> float:
        """Submit a job until it is accepted; return when that was."""
        body = {"Spec": json.dumps(spec), "Steps": steps}
        until = time.monotonic() + 10
        while time.monotonic() < until:
            path = f"/plans/{job_id}"
            status = self.call(self.front[entry], "POST", path, body)[0]
            self.write(f"POST {path} to {entry}: {status} {json.dumps(body)}")
            if status == 200:
                return time.monotonic()
            time.sleep(0.2)
        raise CaseError(f"{job_id} was not accepted")

    def state(self, entry: str, job_id: str) -> t.Any:
        """Return the state of a job, or the status of another answer."""
        path = f"/plans/{job_id}"
        status, body = self.call(self.front[entry], "GET", path)
        found = body.get("State") if status == 200 else status
        self.write(f"GET {path} at {entry}: {found}")
        return found

    def events(self) -> list[Json]:
        """Return the starts and ends that the workers have seen, in order."""
        path = self.folder / "runs.jsonl"
        if not path.exists():
            return []
        rows = [json.loads(line) for line in path.read_text().splitlines()]
        return sorted(rows, key=lambda row: row["at"])

    def read_log(self, name: str) -> list[str]:
        """Return the lines that a process has written."""
        return (self.folder / f"{name}.log").read_text().splitlines()

    def write_events(
        self, is_wanted: t.Callable[[Json], bool] = lambda _: True
    ) -> None:
        """Write the starts and ends to the record."""
        for row in filter(is_wanted, self.events()):
            at = row["at"] - self.started_at
            line = f"{row['worker']} {row['event']} {row['task']} run {row['run']}"
            self.record.write(f"{at:8.3f} {line}\n")


def make_config(max_attempts: int = 2) -> Json:
    """Return a configuration of one queue and one service."""
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "plans",
                "Host": HOST,
                "Prefix": "/plans/",
                "Service": "mill",
                "Kind": "unsafe",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 1000,
                "Priority": 2,
                "MaxAttempts": max_attempts,
                "SlackFactor": 2.0,
            }
        ],
        "Services": [{"Name": "mill", "AdmissionCheck": True}],
        "Limits": {"MaxBodyBytes": 262144},
    }


def is_troubled() -> bool:
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_gaps(
    events: t.Iterable[Json], job_id: str, since: float, until: float
) -> list[tuple[float, float]]:
    """Return the times from ``since`` to ``until`` in which nothing of a job runs."""
    running: set[tuple[str, int]] = set()
    gaps: list[tuple[float, float]] = []
    idle_since = since
    for event in events:
        if event["task"].split(".")[0] != job_id or event["at"] > until:
            continue
        identity = (event["task"], event["run"])
        if event["event"] == "taken note of":
            continue
        if event["event"] == "started":
            if not running:
                gaps.append((idle_since, event["at"]))
            running.add(identity)
        else:
            running.discard(identity)
            if not running:
                idle_since = event["at"]
    if not running:
        gaps.append((idle_since, until))
    return [(start, end) for start, end in gaps if end > start >= since]


def run_case(
    play: t.Callable[[Deployment], int], folder: pathlib.Path, **options: t.Any
) -> int:
    """Play a case; return its exit code."""
    deployment = Deployment(folder / "record.txt", **options)
    try:
        result = play(deployment)
        deployment.write(f"exit code {result}")
        return result
    except CaseError as exc:
        deployment.write(f"the case could not run: {exc}")
        return NOT_RUN
    finally:
        deployment.stop()
