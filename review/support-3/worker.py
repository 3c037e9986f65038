# ruff: noqa: ANN001, ANN003, ANN201, ANN204, D102, D103, SIM115
"""A small worker of the platform, as PROTOCOL.md describes it, on loopback.

It guards its capacity, keeps the highest fence, runs tasks under one lease on its
steady clock, and lists runs and ends. What a task does stands in the job's ``Spec``: a
JSON object with a list ``steps``, whose last entry is that of all further steps, too:

- ``cpu`` (thousandths of a core), ``ms`` (work), ``lasts`` (it has no end of its own),
  ``fills``.
- ``tails``, for a task that serves: rows of the ms since its start until which the row
  holds, and the tail in ms alone and beside a task that fills and works.
- ``late_percent``, ``late_from``, ``late_ms``: the first order of that pace or more
  gets no answer, once the run has lasted ``late_from`` ms, and is carried out
  ``late_ms`` later.
- ``start_late_ms``: the same for the first start of the first run of a task.
- ``cut_ms``, ``reborn_ms``, ``back_ms``: how long after that start the worker is cut
  off from all machines, starts again behind the cut, and is reached again.

Each event goes to a file.
"""

import argparse
import asyncio
import base64
import json
import time

MAX_ENDS = 500
CHECKPOINT_INTERVAL_MS = 2000
#: Pause between two looks at the runs.
UPDATE_S = 0.01
#: Work after which a task that serves is at work.
STARTUP_MS = 500
#: Pace from which a task that fills disturbs tasks that serve.
DISTURBING_PERCENT = 20
HEARTBEAT_S = 1.5
#: The entry of a worker is removed after three ping intervals of silence.
REGISTRATION_TTL_MS = 4500
PHRASES = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


async def read_message(reader):
    """Read one HTTP message; return its first line, headers and body, or ``None``."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (row := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = row.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().strip(), headers, body


async def read_chunks(reader):
    """Read a body that is sent in chunks."""
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def saved_text(run, work):
    """Return a checkpoint: work in ms as hexadecimal digits; empty if there is none."""
    chars = run["step"].get("saved_chars", 0)
    return f"{int(work):0{chars}x}" if chars and work >= 1 else ""


def lasts(step):
    """Whether a task has no end of its own."""
    return "tails" in step or step.get("lasts", False)


def counted_cpu(step):
    """Return what a task takes of the capacity; one that fills takes no processors."""
    return 0 if step.get("fills") else step["cpu"]


def whole_intervals(work):
    return work - work % CHECKPOINT_INTERVAL_MS


class Worker:
    """One life of a worker."""

    def __init__(self, args):
        self.args = args
        self.left_unanswered = set()
        self.is_cut = False
        self.begin_life()
        self.changed = asyncio.Event()
        self.events = open(args.events, "a", buffering=1)

    def begin_life(self):
        """Know nothing of before."""
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.ends = []
        self.highest_over = {}
        self.sequence = 0

    def cut_off(self):
        self.is_cut = True
        self.note("is cut off", "", 0)

    def start_again(self):
        """Crash and start again under the same id."""
        self.begin_life()
        self.note("has started again", "", 0)

    def come_back(self):
        self.is_cut = False
        self.note("is reached again", "", 0)

    def now(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, event, task, run, **fields):
        row = {
            "at": round(time.time(), 3),
            "worker": self.args.id,
            "event": event,
            "task": task,
            "run": run,
            **fields,
        }
        self.events.write(json.dumps(row) + "\n")

    # Runs.

    def update(self):
        """End the runs whose work is done, or all if the lease has expired."""
        now = self.now()
        if self.runs and now >= self.lease_until:
            for key in list(self.runs):
                self.end(key, "lapsed")
        for key, run in list(self.runs.items()):
            run["work"] += (now - run["seen"]) * run["pace"] / 100
            run["seen"] = now
            if run["work"] >= run["ms"] and not lasts(run["step"]):
                self.end(key, "failed" if run["step"].get("fails") else "done")

    def end(self, key, how):
        run = self.runs.pop(key)
        task, number = key
        self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        self.sequence += 1
        saved = "" if how in ("done", "lapsed") else saved_text(run, run["work"])
        self.ends.append([self.sequence, task, number, how, saved])
        percent = min(100, int(100 * run["work"] / run["ms"]))
        self.note(how, task, number, percent=percent)
        self.changed.set()

    def extend(self, until):
        limit = self.now() + self.args.max_hold_ms
        self.lease_until = max(self.lease_until, min(until, limit))

    def start(self, body):
        if body["DeadlineMs"] <= self.now():
            return 409, {"Reason": "late"}
        self.extend(body["DeadlineMs"])
        task, number = body["Task"], body["Run"]
        if (task, number) in self.runs:
            return 200, {}
        if number <= self.highest_over.get(task, 0):
            return 409, {"Reason": "old"}
        steps = json.loads(body["Spec"])["steps"]
        step = steps[min(int(task.split(".")[2]), len(steps) - 1)]
        used = sum(counted_cpu(run["step"]) for run in self.runs.values())
        if used + counted_cpu(step) > self.args.cpu:
            return 409, {"Reason": "room"}
        ms = (
            step["ms"]
            if task.split(".")[3] != "0"
            else step.get("first_ms", step["ms"])
        )
        work = float(int(body.get("Checkpoint") or "0", 16))
        run = {"step": step, "ms": ms, "work": work, "seen": self.now(), "pace": 100}
        run |= {"started": self.now(), "is_over": False, "may_be_late": True}
        self.runs[task, number] = run
        self.note("started", task, number, cpu=counted_cpu(step))
        return 200, {}

    def is_left_unanswered(self, body):
        """Whether a start gets no answer; it is carried out ``start_late_ms`` later."""
        late_ms = json.loads(body["Spec"])["steps"][0].get("start_late_ms")
        is_first = body["Run"] == 1 and body["Task"] not in self.left_unanswered
        if late_ms is None or not is_first:
            return False
        self.left_unanswered.add(body["Task"])
        self.note("leaves a start unanswered", body["Task"], body["Run"])
        loop = asyncio.get_running_loop()
        loop.call_later(late_ms / 1000, self.start, body)
        step = json.loads(body["Spec"])["steps"][0]
        if "cut_ms" in step:
            loop.call_later(step["cut_ms"] / 1000, self.cut_off)
            loop.call_later(step["reborn_ms"] / 1000, self.start_again)
            loop.call_later(step["back_ms"] / 1000, self.come_back)
        return True

    def stop(self, body):
        task, number = body["Task"], body["Run"]
        self.highest_over[task] = max(self.highest_over.get(task, 0), number)
        if (task, number) in self.runs:
            self.end((task, number), "stopped")
        return 200, {}

    async def pace(self, body):
        run = self.runs.get((body["Task"], body["Run"]))
        if run is None:
            return 200, {}
        step = run["step"]
        is_late = (
            run["may_be_late"]
            and body["Percent"] >= step.get("late_percent", 101)
            and self.now() - run["started"] >= step["late_from"]
        )
        if not is_late:
            self.set_pace(run, body, "paced")
            return 200, {}
        run["may_be_late"] = False
        self.note("leaves a pace unanswered", body["Task"], body["Run"], **body)
        loop = asyncio.get_running_loop()
        loop.call_later(step["late_ms"] / 1000, self.set_pace, run, body, "paced late")
        await asyncio.sleep(3600)

    def set_pace(self, run, body, event):
        self.update()
        run["pace"] = body["Percent"]
        self.note(event, body["Task"], body["Run"], **body)

    def tail_of(self, run):
        """Return the tail of a task that serves now, and what it would be alone."""
        age = self.now() - run["started"]
        alone, beside = next(row[1:] for row in run["step"]["tails"] if age < row[0])
        is_disturbed = any(
            other["step"].get("fills") and other["pace"] >= DISTURBING_PERCENT
            for other in self.runs.values()
        )
        return (beside if is_disturbed else alone), alone

    def note_targets(self):
        """Note when a task that serves goes over its target, and when it is under."""
        for (task, number), run in self.runs.items():
            if "tails" not in run["step"]:
                continue
            tail, alone = self.tail_of(run)
            target = run["step"]["target_ms"]
            if (tail > target) != run["is_over"]:
                run["is_over"] = tail > target
                event = "over its target" if run["is_over"] else "under its target"
                self.note(event, task, number, tail=tail, alone=alone)

    def row_of(self, task, number, run):
        """Return the row of a run in ``Running``."""
        serves = "tails" in run["step"]
        whole = STARTUP_MS if lasts(run["step"]) else run["ms"]
        return [
            task,
            number,
            saved_text(run, whole_intervals(run["work"])),
            min(100 if lasts(run["step"]) else 99, int(100 * run["work"] / whole)),
            self.tail_of(run)[0]
            if serves
            else int(run["step"]["cpu"] * run["pace"] / 100),
        ]

    async def hold(self, body):
        acked = body["Acked"]
        if body.get("DeadlineMs"):
            self.extend(body["DeadlineMs"])
        for row in self.ends:
            if row[0] <= acked:
                self.note("taken note of", row[1], row[2])
        self.ends = [row for row in self.ends if row[0] > acked]
        until = self.now() + body.get("WaitMs", 0)
        while not self.ends and (left := until - self.now()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000)
            except TimeoutError:
                break
        self.update()
        running = [self.row_of(*key, run) for key, run in self.runs.items()]
        return 200, {"Running": running, "Finished": self.ends[:MAX_ENDS]}

    async def answer(self, line, headers, content):
        self.update()
        target = headers.get("fighead-target-instance")
        if target not in (None, self.args.id):
            return 421, {}
        call = line.split()[1].removeprefix("/fighead/")
        body = json.loads(content)
        if body.get("Fence", 0) < self.fence:
            return 409, {"Reason": "fence"}
        self.fence = max(self.fence, body.get("Fence", 0))
        if call == "hold":
            return await self.hold(body)
        if call == "pace":
            return await self.pace(body)
        if call == "run-start" and self.is_left_unanswered(body):
            await asyncio.sleep(3600)
        calls = {"run-start": self.start, "run-stop": self.stop}
        return calls[call](body) if call in calls else (404, {})

    # Transport.

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                life = self.born
                if not self.is_cut:
                    status, answer = await self.answer(*message)
                if self.is_cut or life != self.born:
                    # A cut loses what is sent in either direction.
                    await asyncio.sleep(3600)
                answer |= {"ClockMs": self.now(), "born": self.born}
                body = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} {PHRASES.get(status, 'Refused')}\r\n"
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call_store(self, path, body):
        host, port = self.args.store.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(body).encode()
        head = f"POST /fighead/{path} HTTP/1.1\r\nHost: {self.args.store}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        message = await asyncio.wait_for(read_message(reader), 2)
        writer.close()
        status = int(message[0].split()[1])
        return status, json.loads(message[2] or b"{}")

    async def register(self):
        lease, seq = 0, 0
        while True:
            if self.is_cut:
                lease = 0
                await asyncio.sleep(0.1)
                continue
            try:
                if lease:
                    status, _ = await self.call_store(f"kv-keep/{lease}", {})
                    lease = lease if status == 200 else 0
                if not lease:
                    ttl = {"TtlMs": REGISTRATION_TTL_MS}
                    lease = (await self.call_store("kv-lease", ttl))[1]["Lease"]
                seq += 1
                await self.call_store("kv-txn", self.registration(lease, seq))
            except (OSError, TypeError, KeyError, TimeoutError):
                lease = 0
            await asyncio.sleep(HEARTBEAT_S)

    def registration(self, lease, seq):
        args = self.args
        entry = {
            "Service": args.service,
            "Address": args.listen,
            "Zone": args.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": args.cpu, "MemMb": 250_000, "Gpu": 0},
            "Labels": args.labels.split(","),
            "Seq": seq,
            "born": self.born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        write = {"Key": f"servers/{args.id}", "Value": value, "Lease": lease}
        return {"Expect": [], "Writes": [write], "Deletes": []}

    async def run(self):
        host, port = self.args.listen.split(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        asyncio.get_running_loop().create_task(self.register())
        async with server:
            while True:
                self.update()
                self.note_targets()
                await asyncio.sleep(UPDATE_S)


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "listen", "store", "service", "zone", "labels", "events"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--max-hold-ms", type=int, default=6000)
    asyncio.run(Worker(parser.parse_args()).run())


if __name__ == "__main__":
    main()
