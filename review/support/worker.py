"""Stand-in for a worker, as the page on running tasks has it.

The ``Spec`` of a job is a JSON object that tells the stand-in what its tasks do:
``ms`` is their run time, ``until`` the Unix time in seconds at which all of them end,
``lasts`` makes them run until they are stopped, ``cpu`` is what they need, and
``fails`` names the numbers of the starts, counted from 1 for each task on all workers,
that end as failed.
"""

import asyncio
import base64
import json
import time
import typing as t

#: Interval at which a worker writes its entry, and how long the entry lives, in
#: seconds.
HEARTBEAT_S = 1.5
ENTRY_TTL_S = 3 * HEARTBEAT_S
#: Longest lease of what runs, in ms.
MAX_HOLD_MS = 6000
#: How long a stop takes, and how long a task that lasts takes to be at work.
STOP_S = 0.15
STARTUP_S = 0.3
TICK_S = 0.01
#: How long a worker has been up when a case begins.
UPTIME_S = 480

Answer = tuple[int, t.Any]
Record = t.Callable[..., None]


class Run:
    """One start of a task."""

    def __init__(self, spec: dict[str, t.Any], attempt: int) -> None:
        self.spec = spec
        self.started_at = time.monotonic()
        if "until" in spec:
            self._takes_s = max(0.1, spec["until"] - time.time())
        else:
            self._takes_s = STARTUP_S if spec.get("lasts") else spec["ms"] / 1000
        self.stops_at: float | None = None
        self.fails = attempt in spec.get("fails", ())

    @property
    def percent(self) -> int:
        """Completed share of the work."""
        return min(100, int(100 * (time.monotonic() - self.started_at) / self._takes_s))


class Worker:
    """One life of a worker."""

    def __init__(
        self, name: str, cpu: int, record: Record, attempts: dict[str, int]
    ) -> None:
        self.name, self.cpu, self.service = name, cpu, "mill"
        self.address = ""
        self.state = "ready"
        self.is_refusing = False
        self.born = int(time.time() * 1000)
        self.runs: dict[tuple[str, int], Run] = {}
        self._record = record
        self._started_at = time.monotonic() - UPTIME_S
        self._tasks: list[asyncio.Task] = []
        self.late_start_s: float | None = None
        self._fence = 0
        self._lease_until_ms = 0
        self._lapsed_at = 0.0
        self._ended_at: dict[int, float] = {}
        self._ends: list[list[t.Any]] = []
        self._sequence = 0
        self._entry_count = 0
        self._highest_ended: dict[str, int] = {}
        self._attempts = attempts

    def restart(self) -> None:
        """Crash, and start again under the same id; nothing of before is known."""
        for task, number in self.runs:
            self._record("end", worker=self.name, task=task, run=number, how="crash")
        self.born = int(time.time() * 1000)
        self._started_at = time.monotonic()
        self._fence = self._lease_until_ms = self._sequence = self._entry_count = 0
        self.runs, self._ends, self._highest_ended = {}, [], {}
        self._record("restarted", worker=self.name, born=self.born)

    def clock_ms(self) -> int:
        """Return the time on the worker's clock."""
        return int((time.monotonic() - self._started_at) * 1000)

    def entry(self) -> str:
        """Return the worker's report about itself."""
        self._entry_count += 1
        body = {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": 8,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._entry_count,
            "Capacity": {"Cpu": self.cpu, "MemMb": 256000, "Gpu": 0},
            "Labels": ["a", "r1"],
            "born": self.born,
        }
        if self.state == "draining":
            body["RemainingMs"] = 8000
        return json.dumps(body)

    async def register_periodically(self, call_store: t.Callable) -> None:
        """Keep the entry in the store until cancelled."""
        lease = 0
        while True:
            lease = await self.register(call_store, lease)
            await asyncio.sleep(HEARTBEAT_S)

    async def register(self, call_store: t.Callable, lease: int) -> int:
        """Write the entry once; return its lease."""
        status, _ = await call_store("POST", f"/fighead/kv-keep/{lease}", {}, {})
        if status != 200:
            ttl = {"TtlMs": int(ENTRY_TTL_S * 1000)}
            _, body = await call_store("POST", "/fighead/kv-lease", {}, ttl)
            lease = body["Lease"]
        value = base64.b64encode(self.entry().encode()).decode()
        row = {"Key": f"servers/{self.name}", "Value": value, "Lease": lease}
        await call_store("POST", "/fighead/kv-txn", {}, {"Writes": [row]})
        return lease

    async def work(self) -> None:
        """End runs that are due until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self._end_due_runs()

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        has_lapsed = self.clock_ms() >= self._lease_until_ms
        if has_lapsed:
            self._lapsed_at = now
        for identity, run in list(self.runs.items()):
            if has_lapsed:
                self._end(identity, "lapsed")
            elif run.stops_at is not None and now >= run.stops_at:
                self._end(identity, "stopped")
            elif not run.spec.get("lasts") and run.percent >= 100:
                self._end(identity, "failed" if run.fails else "done")

    def _end(self, identity: tuple[str, int], how: str) -> None:
        del self.runs[identity]
        task, number = identity
        self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))
        self._sequence += 1
        self._ends.append([self._sequence, task, number, how, ""])
        self._ended_at[self._sequence] = time.monotonic()
        self._record("end", worker=self.name, task=task, run=number, how=how)

    async def handle(
        self, method: str, path: str, query: dict[str, str], body: t.Any
    ) -> Answer | None:
        """Carry out one call, or leave it unanswered."""
        if body["_target"] not in ("", self.name):
            return 421, self._answer()
        call = path.removeprefix("/fighead/")
        if call == "run-start" and self.is_refusing:
            self._record("refused", worker=self.name, task=body["Task"])
            return 503, self._answer()
        if call == "run-start" and self.late_start_s is not None:
            self._carry_out_late(body, self.late_start_s)
            return None
        return await self._carry_out(call, body)

    def _carry_out_late(self, body: t.Any, delay_s: float) -> None:
        """Leave a start unanswered, and carry it out after a delay."""

        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            status, answer = await self._carry_out("run-start", body)
            self._record(
                "late start carried out",
                worker=self.name,
                task=body["Task"],
                status=status,
                answer=answer,
            )

        self._record("start left unanswered", worker=self.name, task=body["Task"])
        self._tasks.append(asyncio.create_task(carry_out()))

    async def _carry_out(self, call: str, body: t.Any) -> Answer:
        if body["Fence"] < self._fence:
            return 409, self._answer(Reason="fence")
        self._fence = body["Fence"]
        if call == "run-start":
            return self._start(body)
        if call == "run-stop":
            return self._stop(body)
        if call == "hold":
            return await self._hold(body)
        return 200, self._answer()

    def _answer(self, **fields: t.Any) -> dict[str, t.Any]:
        return {"ClockMs": self.clock_ms(), "born": self.born, **fields}

    def _extend_lease(self, until_ms: int) -> None:
        latest = min(until_ms, self.clock_ms() + MAX_HOLD_MS)
        self._lease_until_ms = max(self._lease_until_ms, latest)

    def _start(self, body: t.Any) -> Answer:
        if body["DeadlineMs"] <= self.clock_ms():
            return 409, self._answer(Reason="late")
        task, number = body["Task"], body["Run"]
        self._extend_lease(body["DeadlineMs"])
        if (task, number) in self.runs:
            return 200, self._answer()
        if number <= self._highest_ended.get(task, 0):
            return 409, self._answer(Reason="old")
        spec = json.loads(body["Spec"])
        used = sum(run.spec.get("cpu", 0) for run in self.runs.values())
        if used + spec.get("cpu", 0) > self.cpu:
            return 409, self._answer(Reason="room")
        self._attempts[task] = self._attempts.get(task, 0) + 1
        self.runs[task, number] = Run(spec, self._attempts[task])
        self._record(
            "start", worker=self.name, task=task, run=number, fence=body["Fence"]
        )
        return 200, self._answer()

    def _stop(self, body: t.Any) -> Answer:
        task, number = body["Task"], body["Run"]
        self._highest_ended[task] = max(number, self._highest_ended.get(task, 0))
        run = self.runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return 200, self._answer()

    async def _hold(self, body: t.Any) -> Answer:
        self._extend_lease(body.get("DeadlineMs", 0))
        acked = body["Acked"]
        for sequence, task, number, how, _ in self._ends:
            if sequence <= acked:
                self._record(
                    "acked",
                    worker=self.name,
                    task=task,
                    run=number,
                    how=how,
                    has_lapsed=self._lapsed_at >= self._ended_at[sequence],
                )
        self._ends = [row for row in self._ends if row[0] > acked]
        deadline = time.monotonic() + body.get("WaitMs", 0) / 1000
        while time.monotonic() < deadline and not self._ends:
            await asyncio.sleep(TICK_S)
        running = [
            [task, number, "", run.percent, 0]
            for (task, number), run in self.runs.items()
        ]
        return 200, self._answer(Running=running, Finished=self._ends[:500])
