"""Cluster of processes on loopback: a store stand-in, worker stand-ins and entries."""

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
from soak.ports import ReservedPorts

OPERATOR_TOKEN = "test-token-0123456789"
AVAILABILITY_ZONES = ("smolyan", "chepelare", "devin")
WAIT_TIMEOUT_S = 30
RULES_PATH = pathlib.Path(__file__).parents[1] / "examples" / "demo" / "rules.ini"


def request_json(method, url, body=None, token=OPERATOR_TOKEN, timeout=10):
    """Send ``body`` as JSON with the operator token; return the decoded answer.

    TLS certificates aren't verified. ``timeout`` is in seconds.

    :raises urllib.error.HTTPError: If the answer has an error status.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {token}"}
    request = urllib.request.Request(url, data, headers, method=method)
    context = ssl._create_unverified_context()
    with urllib.request.urlopen(request, timeout=timeout, context=context) as answer:
        return json.loads(answer.read() or b"null")


def wait_until(condition, timeout_s=WAIT_TIMEOUT_S):
    """Poll ``condition`` until it returns a true value and return that value.

    An :class:`OSError`, such as a refused connection, counts as a false value.
    """
    error = None
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        error = None
        try:
            result = condition()
        except OSError as exc:
            result, error = None, exc
        if result:
            return result
        time.sleep(0.05)
    reason = f"; last error: {error!r}" if error is not None else ""
    raise AssertionError(f"Condition not met within {timeout_s} s: {condition}{reason}")


@define(eq=False)
class Relay:
    """TCP relay on loopback that can simulate a network partition.

    :param is_cut: Whether new connections are closed at once.
    """

    target_port: int
    listen_port: int
    is_cut: bool = False
    _sockets: list = field(factory=list)

    def start(self):
        """Listen in a daemon thread; return the relay."""
        listener = socket.create_server(("127.0.0.1", self.listen_port))
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return self

    def _accept(self, listener):
        while True:
            client, _ = listener.accept()
            if self.is_cut:
                client.close()
                continue
            try:
                server = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                client.close()
                continue
            self._sockets += [client, server]
            for direction in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=direction, daemon=True
                ).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            sock.close()

    def cut(self):
        """Close all connections and every new one until :meth:`restore`."""
        self.is_cut = True
        for sock in self._sockets:
            # close() alone doesn't unblock a thread that waits in recv().
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._sockets.clear()

    def restore(self):
        """Accept new connections again; closed ones stay closed."""
        self.is_cut = False


@define(eq=False)
class Process:
    """A fighead command whose output is appended to a log file."""

    name: str
    args: list
    log_path: pathlib.Path
    env: dict = field(repr=False)
    popen: subprocess.Popen = None

    def start(self):
        with self.log_path.open("ab") as log:
            command = [sys.executable, "-m", "fighead", *self.args]
            self.popen = subprocess.Popen(command, stdout=log, stderr=log, env=self.env)
        return self

    def send_signal(self, number):
        """Send a signal, unless the process has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        """Kill the process, even if suspended by SIGSTOP, and wait for its exit."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        self.popen.wait(10)


@define(eq=False)
class Cluster:
    """A deployment whose entries reach the store through one relay each.

    :param folder: Folder of settings, declarations and logs.
    :param worker_count: Number of instances, named ``bench-0`` and so on.
    :param entry_count: Number of entries that :meth:`start` starts.
    :param interference: Argument ``--interference`` of the worker stand-ins.
    :param guard: Argument ``--guard`` of the worker stand-ins.
    :param slots: Slots of each instance.
    :param rules: Text of the declared rules; the demo's rules if empty.
    :param caller_urls: URLs of the caller fronts by name of the entry.
    :param operator_urls: URLs of the operator fronts by name of the entry.
    :param curve_keys: Public and secret CURVE key of the peer links. With keys,
        the fronts use TLS with ``cert.pem`` and ``key.pem`` of the folder.
    :param relays: Relays to the store by name of the entry.
    :param statuses: The last answers of the live entries to :meth:`has_converged`.
    """

    folder: pathlib.Path
    worker_count: int = 4
    entry_count: int = 3
    interference: str = "carving-plan:blade-check:0.1"
    guard: bool = True
    slots: int = 8
    lease_ttl_s: int = 3
    rules: str = ""
    processes: dict = field(factory=dict)
    caller_urls: dict = field(factory=dict)
    operator_urls: dict = field(factory=dict)
    worker_urls: dict = field(factory=dict)
    store_url: str = ""
    curve_keys: list = field(factory=list)
    relays: dict = field(factory=dict)
    statuses: dict = field(factory=dict)
    _ports: object = None
    _reserved: ReservedPorts = field(factory=ReservedPorts)

    def start(self):
        """Start all processes, apply the declarations and wait for convergence."""
        # The store and each worker take one port, each entry four. Tests may
        # start up to three more entries.
        count = 1 + self.worker_count + 4 * (self.entry_count + 3)
        self._ports = iter(self._reserved.reserve(count))
        self._start_store()
        declarations = self.folder / "declarations"
        declarations.mkdir()
        rules = self.rules or RULES_PATH.read_text()
        (declarations / "rules.ini").write_text(rules)
        instance_sections = [self._start_worker(n) for n in range(self.worker_count)]
        (declarations / "instances.ini").write_text("\n".join(instance_sections))
        for number in range(self.entry_count):
            self.start_entry(f"entry-{number}", AVAILABILITY_ZONES[number % 3])
        self.apply(0)
        wait_until(self.has_converged)
        return self

    def _start_process(self, name, *args):
        env = dict(os.environ, FIGHEAD_TOKEN=OPERATOR_TOKEN)
        log_path = self.folder / f"{name}.log"
        process = Process(name, list(args), log_path, env).start()
        self.processes[name] = process
        return process

    def _start_store(self):
        port = next(self._ports)
        self.store_url = f"http://127.0.0.1:{port}"
        self._start_process(
            "store", "standin", "store", "--listen", f"127.0.0.1:{port}"
        )
        wait_until(lambda: request_json("GET", f"{self.store_url}/calls") is not None)

    def _start_worker(self, number):
        """Start a worker stand-in; return the INI section that declares it."""
        name, port = f"bench-{number}", next(self._ports)
        self.worker_urls[name] = f"http://127.0.0.1:{port}"
        self._start_process(
            name,
            "standin",
            "worker",
            f"--listen=127.0.0.1:{port}",
            f"--name={name}",
            f"--slots={self.slots}",
            f"--interference={self.interference}",
            f"--guard={self.guard}",
        )
        availability_zone = AVAILABILITY_ZONES[number % 3]
        return (
            f"[instance {name}]\nupstream = carving\nrack = {availability_zone}-1\n"
            f"slots = {self.slots}\naddress = http://127.0.0.1:{port}\n"
        )

    def start_entry(self, name, availability_zone):
        """Start an entry and wait until its status lists a member."""
        caller_port, operator_port, peer_port, relay_port = itertools.islice(
            self._ports, 4
        )
        store_port = int(self.store_url.rpartition(":")[2])
        self.relays[name] = Relay(store_port, relay_port).start()
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            f"[entry]\nname = {name}\navailability_zone = {availability_zone}\n"
            f"lease_ttl_s = {self.lease_ttl_s}\nseed = 5\n"
            f"[caller_front]\nlisten = 127.0.0.1:{caller_port}\n"
            f"[operator_front]\nlisten = 127.0.0.1:{operator_port}\n"
            f"token = {OPERATOR_TOKEN}\n"
            f"[peer_link]\nlisten = tcp://127.0.0.1:{peer_port}\n"
            f"{self._peer_key_settings()}"
            f"[store]\nurl = http://127.0.0.1:{relay_port}\n"
            f"[security]\n{self._security_settings()}"
        )
        self._start_process(name, "serve", str(settings))
        scheme = "https" if self.curve_keys else "http"
        self.caller_urls[name] = f"{scheme}://127.0.0.1:{caller_port}"
        self.operator_urls[name] = f"{scheme}://127.0.0.1:{operator_port}"
        wait_until(lambda: self.status(name)["members"])

    def _peer_key_settings(self):
        if not self.curve_keys:
            return ""
        return f"public_key = {self.curve_keys[0]}\nsecret_key = {self.curve_keys[1]}\n"

    def _security_settings(self):
        if not self.curve_keys:
            return "plain = yes\n"
        paths = self.folder / "cert.pem", self.folder / "key.pem"
        return f"tls_certificate = {paths[0]}\ntls_key = {paths[1]}\n"

    def apply(self, base, change_id="", folder=None, entry=None):
        """Apply declarations as the revision after ``base``; return the answer.

        :param base: Number of the revision on which the change is based.
        :param folder: Folder of the declarations; the cluster's own by default.
        :param entry: Name of the entry to send it to; the first by default.
        """
        from fighead.codec import to_json
        from fighead.commands.apply import Change
        from fighead.declaration import load_folder

        inventory = load_folder(str(folder or self.folder / "declarations"))
        change = Change(inventory, base, "tester", change_id or f"change-{base}")
        url = self.operator_urls[entry or next(iter(self.operator_urls))]
        return request_json("PUT", f"{url}/v1/revision", json.loads(to_json(change)))

    def status(self, name):
        """Return the status of an entry; raise a time-out after 2 s."""
        return request_json("GET", f"{self.operator_urls[name]}/v1/status", timeout=2)

    def live_entries(self):
        """Return the names of entries whose process has not exited."""
        return [
            name
            for name in self.operator_urls
            if self.processes[name].popen.poll() is None
        ]

    def has_converged(self):
        """Whether all live entries have a revision in force and all lines loaded.

        A resource that no entry has claimed makes it false.
        """
        self.statuses = {}
        for name in self.live_entries():
            self.statuses[name] = self.status(name)
        return all(
            status["in_force"]
            and status["revision"] > 0
            and not status["unclaimed"]
            and all(line["loaded"] for line in status["lines"])
            for status in self.statuses.values()
        )

    def set_store_faults(self, **faults):
        """Replace the faults of the store; without arguments, clear them."""
        request_json("PUT", f"{self.store_url}/faults", faults)

    def set_platform_instances(self, **lists):
        """Replace the platform's lists of leaving and gone instances."""
        request_json("PUT", f"{self.store_url}/platform/instances", lists)

    def set_worker_faults(self, name, **faults):
        """Replace the faults of an instance; without arguments, clear them."""
        request_json("PUT", f"{self.worker_urls[name]}/faults", faults)

    def store_calls(self):
        """Return the number of calls that the store has served, by kind."""
        return request_json("GET", f"{self.store_url}/calls")

    def journals(self):
        """Return the journals of all instances."""
        from fighead.codec import from_json
        from fighead.worker import Journal

        journals = []
        for url in self.worker_urls.values():
            with urllib.request.urlopen(f"{url}/journal", timeout=10) as answer:
                journals.append(from_json(answer.read(), Journal))
        return tuple(journals)

    def stop(self):
        """Kill all processes, and give their ports back."""
        for process in self.processes.values():
            process.kill()
        self._reserved.close()
