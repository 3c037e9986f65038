"""The processes of one seed, and the proxies on their links."""

import base64
import json
import pathlib
import signal
import subprocess
import sys
import typing as t

from attrs import define, field

from .ports import ReservedPorts
from .proxy import LinkProxy

CORES = 8
#: Time that a process may take to end after SIGTERM, in seconds.
GRACE_S = 8
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "plans",
            "Host": "127.0.0.1",
            "Prefix": "/plans/",
            "Service": "mill",
            "Kind": "unsafe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 1000,
            "Priority": 2,
            "MaxAttempts": 2,
            "SlackFactor": 2.0,
        }
    ],
    "Services": [{"Name": "mill", "AdmissionCheck": True}],
    "Limits": {"MaxBodyBytes": 262144},
}
SETTINGS = """
Node = "{name}"
Zone = "demo"
Ip = "127.0.0.1"
PortRange = [{peer}, {peer}]
[Listen]
Front = "127.0.0.1:{front}"
Ready = "127.0.0.1:{ready}"
[Bounds]
MaxHoldMs = 6000
GraceS = 6
StopMs = 200
ImpactMs = 4000
early_ms = 250
status_s = 120
[platform]
Address = "127.0.0.1:{store}"
"""


@define(eq=False)
class Fleet:
    """Owns the processes and the proxies.

    :param folder: Receives settings and logs.
    :param ports: Ports by process name; ``NAME/ready`` and ``NAME/peer`` of entries.
    :param store_links: Links to the store, by the entry or instance that uses them.
    :param instance_links: Links of the entries to an instance, by its name.
    """

    reactor: t.Any
    folder: pathlib.Path
    entry_count: int
    instance_count: int
    ports: dict[str, int] = field(factory=dict)
    store_links: dict[str, LinkProxy] = field(factory=dict)
    instance_links: dict[str, LinkProxy] = field(factory=dict)
    _processes: dict[str, subprocess.Popen] = field(factory=dict)
    _reserved: ReservedPorts = field(factory=ReservedPorts)

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [f"e{number}" for number in range(self.entry_count)]

    @property
    def instances(self) -> list[str]:
        """Names of the instances."""
        return [f"i{number}" for number in range(self.instance_count)]

    def start(self) -> None:
        """Start the store, and proxies for all that will be started."""
        names = ["store", *self.instances]
        for name in self.entries:
            names += [name, f"{name}/ready", f"{name}/peer"]
        self.ports = dict(zip(names, self._reserved.reserve(len(names)), strict=True))
        for name in self.instances:
            self.instance_links[name] = LinkProxy(
                self.reactor, self.ports[name]
            ).start()
        for name in (*self.entries, *self.instances):
            self.store_links[name] = LinkProxy(
                self.reactor, self.ports["store"]
            ).start()
        self._run("store", "store", "--listen", self.address("store"))

    def address(self, name: str) -> str:
        """Return where a process listens, as IP:port."""
        return f"127.0.0.1:{self.ports[name]}"

    def start_instance(self, name: str) -> None:
        """Start an instance, which registers the address of its proxy.

        It reaches the store by a proxy of its own.
        """
        proxy = f"127.0.0.1:{self.instance_links[name].port}"
        arguments = ("--listen", self.address(name), "--name", name, "--address", proxy)
        options = ("--upstream", "mill", "--cores", str(CORES))
        store = ("--store", f"127.0.0.1:{self.store_links[name].port}")
        self._run(name, "instance", *arguments, *options, *store)

    def start_entry(self, name: str) -> None:
        """Start an entry, which reaches the store by its proxy."""
        text = SETTINGS.format(
            name=name,
            front=self.ports[name],
            ready=self.ports[f"{name}/ready"],
            peer=self.ports[f"{name}/peer"],
            store=self.store_links[name].port,
        )
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        self._run(name, "serve", str(path))

    def _run(self, name: str, *arguments: str) -> None:
        """Start a process, unless an overlapping fault has started it already."""
        if self.is_running(name):
            return
        command = [sys.executable, "-m", "fighead", "platform", *arguments]
        with open(self.folder / f"{name}.log", "ab") as log:
            self._processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def is_running(self, name: str) -> bool:
        """Whether the process lives; a paused one does."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def pause(self, name: str) -> None:
        """Suspend a process."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a suspended process go on."""
        if self.is_running(name):
            self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to end."""
        self.resume(name)
        self._processes[name].terminate()

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._processes[name].kill()
        self._processes[name].wait(GRACE_S)

    def stop(self) -> None:
        """End all processes that this fleet has started, and the proxies.

        Further calls have no effect.
        """
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
        for process in self._processes.values():
            process.wait(GRACE_S)
        for link in (*self.store_links.values(), *self.instance_links.values()):
            link.stop()
        self._reserved.close()
        self.store_links.clear()
        self.instance_links.clear()


def encode_config() -> bytes:
    """Return the transaction that writes the configuration."""
    value = base64.b64encode(json.dumps(CONFIG).encode()).decode()
    body = {"Expect": [], "Writes": [{"Key": "op/config", "Value": value}]}
    return json.dumps(body).encode()
