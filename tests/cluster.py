"""Processes on loopback for the tests of failures: a store, instances, entries."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import ssl
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

from attrs import define, field

TOKEN = "test-token-0123456789"
ZONES = ("smolyan", "chepelare", "devin")
READY_TIMEOUT_S = 30
RULES = pathlib.Path(__file__).parents[1] / "examples" / "demo" / "rules.ini"


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for held in sockets:
        held.bind(("127.0.0.1", 0))
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


def call(method, url, body=None, token=TOKEN, timeout=10):
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {token}"}
    request = urllib.request.Request(url, data, headers, method=method)
    context = ssl._create_unverified_context()
    with urllib.request.urlopen(request, timeout=timeout, context=context) as answer:
        return json.loads(answer.read() or b"null")


def wait_until(condition, timeout_s=READY_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            found = condition()
        except OSError:
            found = None
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"Not within {timeout_s} s: {condition}")


@define(eq=False)
class Relay:
    """Passes TCP traffic on to a port until it is cut."""

    target: int
    port: int
    is_cut: bool = False
    _pairs: list = field(factory=list)

    def start(self):
        listener = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return self

    def _accept(self, listener):
        while True:
            near, _ = listener.accept()
            if self.is_cut:
                near.close()
                continue
            try:
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                near.close()
                continue
            self._pairs += [near, far]
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def _pump(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            end.close()

    def cut(self):
        self.is_cut = True
        for end in self._pairs:
            # Closing alone would not wake the thread that reads from it.
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
        self._pairs.clear()

    def mend(self):
        self.is_cut = False


@define(eq=False)
class Process:
    name: str
    args: list
    log: pathlib.Path
    env: dict
    popen: subprocess.Popen = None

    def start(self):
        with self.log.open("ab") as log:
            command = [sys.executable, "-m", "fighead", *self.args]
            self.popen = subprocess.Popen(command, stdout=log, stderr=log, env=self.env)
        return self

    def send(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.popen.wait(10)


@define(eq=False)
class Cluster:
    folder: pathlib.Path
    workers: int = 4
    entries: int = 3
    interference: str = "carving-plan:blade-check:0.1"
    guard: bool = True
    slots: int = 8
    lease_ttl_s: int = 3
    rules: str = ""
    processes: dict = field(factory=dict)
    urls: dict = field(factory=dict)
    operators: dict = field(factory=dict)
    worker_urls: dict = field(factory=dict)
    store_url: str = ""
    keys: list = field(factory=list)
    relays: dict = field(factory=dict)
    _ports: object = None

    def start(self):
        count = 1 + self.workers + 4 * (self.entries + 3)
        self._ports = iter(free_ports(count))
        self._start_store()
        declarations = self.folder / "declarations"
        declarations.mkdir()
        rules = self.rules or RULES.read_text()
        (declarations / "rules.ini").write_text(rules)
        parts = [self._start_worker(n) for n in range(self.workers)]
        (declarations / "instances.ini").write_text("\n".join(parts))
        for number in range(self.entries):
            self.start_entry(f"entry-{number}", ZONES[number % 3])
        self.apply(0)
        wait_until(self.is_settled)
        return self

    def _run(self, name, *args):
        env = dict(os.environ, FIGHEAD_TOKEN=TOKEN)
        log = self.folder / f"{name}.log"
        process = Process(name, list(args), log, env).start()
        self.processes[name] = process
        return process

    def _start_store(self):
        port = next(self._ports)
        self.store_url = f"http://127.0.0.1:{port}"
        self._run("store", "standin", "store", "--listen", f"127.0.0.1:{port}")
        wait_until(lambda: call("GET", f"{self.store_url}/calls") is not None)

    def _start_worker(self, number):
        name, port = f"bench-{number}", next(self._ports)
        self.worker_urls[name] = f"http://127.0.0.1:{port}"
        self._run(
            name,
            "standin",
            "worker",
            f"--listen=127.0.0.1:{port}",
            f"--name={name}",
            f"--slots={self.slots}",
            f"--interference={self.interference}",
            f"--guard={self.guard}",
        )
        zone = ZONES[number % 3]
        return (
            f"[instance {name}]\nupstream = carving\nrack = {zone}-1\n"
            f"slots = {self.slots}\naddress = http://127.0.0.1:{port}\n"
        )

    def start_entry(self, name, zone):
        caller, operator, peer, relay = itertools.islice(self._ports, 4)
        store_port = int(self.store_url.rpartition(":")[2])
        self.relays[name] = Relay(store_port, relay).start()
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            f"[entry]\nname = {name}\navailability_zone = {zone}\n"
            f"lease_ttl_s = {self.lease_ttl_s}\nseed = 5\n"
            f"[caller_front]\nlisten = 127.0.0.1:{caller}\n"
            f"[operator_front]\nlisten = 127.0.0.1:{operator}\ntoken = {TOKEN}\n"
            f"[peer_link]\nlisten = tcp://127.0.0.1:{peer}\n{self._peer_keys()}"
            f"[store]\nurl = http://127.0.0.1:{relay}\n[security]\n{self._security()}"
        )
        self._run(name, "serve", str(settings))
        scheme = "https" if self.keys else "http"
        self.urls[name] = f"{scheme}://127.0.0.1:{caller}"
        self.operators[name] = f"{scheme}://127.0.0.1:{operator}"
        wait_until(lambda: self.status(name)["members"])

    def _peer_keys(self):
        if not self.keys:
            return ""
        return f"public_key = {self.keys[0]}\nsecret_key = {self.keys[1]}\n"

    def _security(self):
        if not self.keys:
            return "plain = yes\n"
        paths = self.folder / "cert.pem", self.folder / "key.pem"
        return f"tls_certificate = {paths[0]}\ntls_key = {paths[1]}\n"

    def apply(self, base, change_id="", folder=None, entry=None):
        from fighead.codec import to_json
        from fighead.commands.apply import Change
        from fighead.declaration import load_folder

        inventory = load_folder(str(folder or self.folder / "declarations"))
        change = Change(inventory, base, "tester", change_id or f"change-{base}")
        url = self.operators[entry or next(iter(self.operators))]
        return call("PUT", f"{url}/v1/revision", json.loads(to_json(change)))

    def status(self, name):
        return call("GET", f"{self.operators[name]}/v1/status", timeout=2)

    def alive(self):
        return [
            name for name in self.operators if self.processes[name].popen.poll() is None
        ]

    def is_settled(self):
        statuses = [self.status(name) for name in self.alive()]
        return all(
            status["in_force"]
            and status["revision"] > 0
            and not status["unclaimed"]
            and all(line["loaded"] for line in status["lines"])
            for status in statuses
        )

    def set_store(self, **faults):
        call("PUT", f"{self.store_url}/faults", faults)

    def set_platform(self, **lists):
        call("PUT", f"{self.store_url}/platform/instances", lists)

    def set_worker(self, name, **faults):
        call("PUT", f"{self.worker_urls[name]}/faults", faults)

    def store_calls(self):
        return call("GET", f"{self.store_url}/calls")

    def journals(self):
        from fighead.codec import from_json
        from fighead.worker import Journal

        journals = []
        for url in self.worker_urls.values():
            with urllib.request.urlopen(f"{url}/journal", timeout=10) as answer:
                journals.append(from_json(answer.read(), Journal))
        return tuple(journals)

    def stop(self):
        for process in self.processes.values():
            process.kill()
