"""Stand-in for one worker, as the page on running tasks describes it.

The ``Spec`` of a submission is a JSON object that tells how its tasks behave:
``run_ms`` is the run time of a task, ``end`` how it ends (``done`` or ``failed``),
``lasts`` that it runs until it is stopped, ``cpu`` what it takes of the capacity, and
``saved`` the length of its checkpoints. ``steps`` may hold such an object for each
step. Every start and end, and when an end is taken note of, is written to a log of JSON
lines, stamped with the machine's monotonic clock.
"""

import argparse
import asyncio
import base64
import http.client
import json
import time
import typing as t

Json = dict[str, t.Any]

#: Interval of the pings, and how many of them may be missing.
HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
#: Time that a stop takes; at most ``StopMs``.
STOP_S = 0.05
#: Time until a task that lasts is at work.
STARTUP_S = 0.3
POLL_S = 0.01


class Run:
    """One run of a task."""

    def __init__(self, body: Json) -> None:
        self.task: str = body["Task"]
        self.number: int = body["Run"]
        spec: Json = json.loads(body["Spec"])
        step = int(self.task.split(".")[2])
        self.spec: Json = spec["steps"][step] if "steps" in spec else spec
        self.demand: int = self.spec.get("cpu", 1000)
        self.started_at = time.monotonic()
        self.stops_at: float | None = None

    def checkpoint(self) -> str:
        """Return the latest checkpoint; empty if there is none."""
        length = self.spec.get("saved", 0)
        age_s = int(time.monotonic() - self.started_at)
        if not length or not age_s:
            return ""
        return f"{self.task}/{self.number}/{age_s}/".ljust(length, "0")

    def percent(self) -> int:
        """Return the whole percents that are done."""
        age_s = time.monotonic() - self.started_at
        if self.spec.get("lasts"):
            return min(100, int(100 * age_s / STARTUP_S))
        return min(100, int(100 * age_s / (self.spec["run_ms"] / 1000)))

    def find_end(self, now: float) -> str:
        """Return how the run has ended; empty while it goes on."""
        if self.stops_at is not None and now >= self.stops_at:
            return "stopped"
        if self.spec.get("lasts"):
            return ""
        is_over = now - self.started_at >= self.spec["run_ms"] / 1000
        return self.spec.get("end", "done") if is_over else ""


class Worker:
    """The state of the worker: its runs, its ends, its lease and its fence."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.runs: dict[tuple[str, int], Run] = {}
        self.ends: list[list[t.Any]] = []
        self.last_end = 0
        self.highest: dict[str, int] = {}
        self.lease_until_ms = 0
        self.log = open(args.log, "a", buffering=1)  # noqa: SIM115

    def clock_ms(self) -> int:
        """Return the worker's clock."""
        return int((time.monotonic() - self.started_at) * 1000)

    def note(self, event: str, task: str, number: int) -> None:
        """Write a line of the log."""
        row = {"at": time.monotonic(), "worker": self.args.id, "event": event}
        self.log.write(json.dumps({**row, "task": task, "run": number}) + "\n")

    def update(self) -> None:
        """End the runs whose time has come."""
        now = time.monotonic()
        has_lapsed = self.clock_ms() >= self.lease_until_ms
        for identity, run in list(self.runs.items()):
            how = "lapsed" if has_lapsed else run.find_end(now)
            if how:
                del self.runs[identity]
                self.last_end += 1
                self.forbid(run.task, run.number)
                saved = run.checkpoint()
                self.ends.append([self.last_end, run.task, run.number, how, saved])
                self.note(how, run.task, run.number)

    def forbid(self, task: str, number: int) -> None:
        """Refuse this run of the task and all earlier ones from now on."""
        self.highest[task] = max(self.highest.get(task, 0), number)

    def extend_lease(self, deadline_ms: int) -> None:
        """Take over the end of a lease, which never shortens."""
        latest = self.clock_ms() + self.args.max_hold_ms
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, latest))

    def answer(self, path: str, body: Json) -> tuple[int, Json]:
        """Carry out a call; return the status and the fields of the answer."""
        self.update()
        if body.get("Fence", 0) < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = max(self.fence, body.get("Fence", 0))
        if path == "/fighead/run-start":
            return self.start(body)
        if path == "/fighead/run-stop":
            self.forbid(body["Task"], body["Run"])
            run = self.runs.get((body["Task"], body["Run"]))
            if run is not None and run.stops_at is None:
                run.stops_at = time.monotonic() + STOP_S
            return 200, {}
        if path == "/fighead/hold":
            self.extend_lease(body.get("DeadlineMs", 0))
            for end in self.ends:
                if end[0] <= body["Acked"]:
                    self.note("taken note of", end[1], end[2])
            self.ends = [end for end in self.ends if end[0] > body["Acked"]]
            return 200, {}
        return (200, {}) if path == "/fighead/pace" else (400, {})

    def start(self, body: Json) -> tuple[int, Json]:
        """Start a run, or refuse it."""
        identity = (body["Task"], body["Run"])
        if body["DeadlineMs"] <= self.clock_ms():
            return 409, {"Reason": "late"}
        self.extend_lease(body["DeadlineMs"])
        if identity in self.runs:
            return 200, {}
        if body["Run"] <= self.highest.get(body["Task"], 0):
            return 409, {"Reason": "old"}
        run = Run(body)
        if sum(r.demand for r in self.runs.values()) + run.demand > self.args.cpu:
            return 409, {"Reason": "room"}
        self.runs[identity] = run
        self.note("started", run.task, run.number)
        return 200, {}

    def lists(self) -> Json:
        """Return the lists of what runs and of what has ended."""
        self.update()
        rows = [
            [run.task, run.number, run.checkpoint(), run.percent(), run.demand]
            for run in self.runs.values()
        ]
        return {"Running": rows, "Finished": self.ends[:500]}

    async def wait_for_end(self, acked: int, wait_ms: int) -> None:
        """Wait until an end is to be listed, but not for longer than asked."""
        until = time.monotonic() + min(wait_ms, 2000) / 1000
        while time.monotonic() < until:
            self.update()
            if self.ends and self.ends[-1][0] > acked:
                return
            await asyncio.sleep(POLL_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one channel in turn."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                await self.serve_call(head.decode(), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_call(
        self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the rest of a call and answer it."""
        lines = head.split("\r\n")
        path = lines[0].split(" ")[1]
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        data = await reader.readexactly(int(headers.get("content-length", 0)))
        status, fields = 421, {}
        if headers.get("fighead-target-instance", self.args.id) == self.args.id:
            body = json.loads(data or b"{}")
            status, fields = self.answer(path, body)
            if path == "/fighead/hold" and status == 200:
                await self.wait_for_end(body["Acked"], body.get("WaitMs", 0))
                fields = self.lists()
        answer = json.dumps({"ClockMs": self.clock_ms(), "born": self.born, **fields})
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(answer)}\r\n\r\n{answer}".encode()
        )
        await writer.drain()

    def register(self, lease: int, sequence: int) -> int:
        """Write the registration; return the lease that it is under."""
        if lease and self.call_store(f"kv-keep/{lease}", {})[0] != 200:
            lease = 0
        if not lease:
            ttl_ms = int(HEARTBEAT_S * MISSED_HEARTBEATS * 1000)
            lease = self.call_store("kv-lease", {"TtlMs": ttl_ms})[1]["Lease"]
        value = {
            "Service": self.args.service,
            "Address": self.args.listen,
            "Zone": self.args.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": sequence,
            "Capacity": {"Cpu": self.args.cpu, "MemMb": 256000, "Gpu": 0},
            "Labels": self.args.labels.split(","),
            "ClockMs": self.clock_ms(),
            "born": self.born,
        }
        text = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"Key": f"servers/{self.args.id}", "Value": text, "Lease": lease}
        self.call_store("kv-txn", {"Expect": [], "Writes": [row], "Deletes": []})
        return lease

    def call_store(self, call: str, body: Json) -> tuple[int, Json]:
        """Send a call to the platform's store."""
        conn = http.client.HTTPConnection(self.args.store, timeout=2)
        try:
            conn.request("POST", f"/fighead/{call}", json.dumps(body))
            response = conn.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        finally:
            conn.close()

    async def ping(self) -> None:
        """Keep the registration."""
        lease, sequence = 0, 0
        while True:
            sequence += 1
            try:
                lease = await asyncio.to_thread(self.register, lease, sequence)
            except (OSError, http.client.HTTPException, KeyError):
                lease = 0
            await asyncio.sleep(HEARTBEAT_S)

    async def run(self) -> None:
        """Serve until the process is ended."""
        host, port = self.args.listen.split(":")
        await asyncio.start_server(self.serve, host, int(port))
        ping = asyncio.create_task(self.ping())
        while not ping.done():
            self.update()
            await asyncio.sleep(POLL_S)


def main() -> None:
    """Run the worker that the arguments describe."""
    parser = argparse.ArgumentParser()
    for name in ("--id", "--listen", "--store", "--zone", "--labels", "--log"):
        parser.add_argument(name, required=True)
    parser.add_argument("--service", default="mill")
    parser.add_argument("--cpu", type=int, default=64000)
    parser.add_argument("--max-hold-ms", type=int, default=6000)
    asyncio.run(Worker(parser.parse_args()).run())


if __name__ == "__main__":
    main()
