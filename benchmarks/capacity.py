"""Measures the costs from which docs/CAPACITY.md calculates capacity.

    python benchmarks/capacity.py --part decisions
    python benchmarks/capacity.py --part processes

The first part times decisions in one process for several sizes. The second
starts entries with stand-ins as processes and measures the processor time, the
memory and the store calls of idle entries.
"""

import argparse
import datetime as dt
import json
import os
import pathlib
import sys
import tempfile
import time
import tracemalloc

from attrs import evolve
from pyrsistent import pmap

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT / "tests"))

from cluster import RULES_PATH, Cluster  # noqa: E402
from fighead import message as m  # noqa: E402
from fighead.codec import to_json, to_wire  # noqa: E402
from fighead.decisions import line, line_state, member, member_state, ownership  # noqa: E402
from fighead.decisions.lifecycle import EntryStage  # noqa: E402
from fighead.model import (  # noqa: E402
    Assignment,
    Caller,
    Category,
    Claim,
    Instance,
    Inventory,
    Kind,
    Member,
    Phase,
    Revision,
    StoredRecord,
    Upstream,
    WorkRecord,
)

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
KIND = Kind("plan", "u", Category.PLAN, dt.timedelta(seconds=30), weight=1.0)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def make_record(number, callers, instance=None):
    """Return a queued record, or one that is assigned to ``instance``."""
    record = WorkRecord(
        "u",
        f"team-{number % callers}",
        f"r{number}",
        "plan",
        Category.PLAN,
        False,
        '{"id": 1}',
        "0" * 32,
        NOW,
    )
    if instance is None:
        return record
    place = Assignment(instance, 1, "boot")
    return evolve(record, phase=Phase.ASSIGNED, assignment=place)


def make_line(instances, running, waiting, callers):
    """Return the state of a line of the given size, and its loads of instances."""
    names = [f"i{n}" for n in range(instances)]
    records, task_ids = [], {name: [] for name in names}
    for number in range(running + waiting):
        is_running = number < running
        name = names[number % instances] if is_running else None
        record = make_record(number, callers, name)
        if is_running:
            task_ids[name].append(record.task_id)
        records.append(StoredRecord(record, number + 1, number + 1))
    state = line_state.LineState(Upstream("u"), pmap({"plan": KIND}), pmap())
    state = line.decide(state, line_state.RecordsLoaded(tuple(records)), NOW).state
    loads = tuple(
        m.InstanceLoad(name, "u", 1, "boot", 0, 4, 0, {}, tuple(task_ids[name]))
        for name in names
    )
    state = line.decide(state, m.LoadReport("e", loads), NOW).state
    return state, loads


def time_call(call, repeats):
    """Return the mean processor time of ``repeats`` calls, in ms per call."""
    started = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started) / repeats * 1000


def measure_line(instances, running, waiting, callers):
    """Measure a tick, a placement and a submission (ms), and memory (MB)."""
    tracemalloc.start()
    state, loads = make_line(instances, running, waiting, callers)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    tick = time_call(lambda: line.decide(state, m.Tick(), NOW), 5)
    free = evolve(loads[0], batch_room=1)
    place = time_call(lambda: line.decide(state, m.LoadReport("e", (free,)), NOW), 20)
    record = make_record(10_000_000, callers)
    submit = time_call(lambda: line.decide(state, m.SubmitWork(record), NOW), 20)
    return {
        "instances": instances,
        "running": running,
        "waiting": waiting,
        "callers": callers,
        "tick_ms": round(tick, 3),
        "place_ms": round(place, 3),
        "submit_ms": round(submit, 3),
        "memory_mb": round(memory / 1e6, 2),
        "record_bytes": len(to_json(make_record(1, callers, "i0"))),
    }


def make_inventory(instances, callers):
    """Return an inventory spread over seven availability zones."""
    zones = [f"z{n}" for n in range(7)]
    return Inventory(
        tuple(zones),
        {},
        {
            f"i{n}": Instance(
                f"i{n}",
                "u",
                f"rack{n // 8}",
                zones[n % 7],
                f"http://10.0.{n // 250}.{n % 250}:8080",
                8,
                64,
                64.0,
                250 << 30,
            )
            for n in range(instances)
        },
        {"u": Upstream("u")},
        {"u/plan": KIND},
        {f"team-{n}": Caller(f"team-{n}") for n in range(callers)},
    )


def measure_member(instances, entry_count):
    """Measure the balancing of claims (ms) and the sizes of messages (bytes)."""
    inventory = make_inventory(instances, 330)
    revision = Revision(1, inventory)
    members = pmap(
        {
            f"e{n}": Member(f"e{n}", f"z{n % 7}", "tcp://10.0.0.1:1", "", 1)
            for n in range(entry_count)
        }
    )
    zones = ownership.zones_by_resource(inventory)
    assign = time_call(
        lambda: ownership.assign_owners(zones, tuple(members.values())), 3
    )
    state = member_state.MemberState(
        members["e0"],
        lease=1,
        members=members,
        revision=revision,
        stage=EntryStage.SERVING,
    )
    claim_all = time_call(lambda: member.decide(state, m.Tick(), NOW), 3)
    claims = pmap(
        {name: Claim(name, f"e{n % entry_count}", 5) for n, name in enumerate(zones)}
    )
    state = evolve(state, claims=claims, routes=claims)
    state = member.decide(state, m.Tick(), NOW).state
    tick = time_call(lambda: member.decide(state, m.Tick(), NOW), 5)
    load = m.InstanceLoad("i0", "u", 1, "boot", 1, 4, 0, {"plan": 1.1}, ("a" * 30,) * 4)
    return {
        "instances": instances,
        "entries": entry_count,
        "assign_ms": round(assign, 3),
        "claim_all_ms": round(claim_all, 3),
        "tick_ms": round(tick, 3),
        "revision_bytes": len(to_json(revision)),
        "load_bytes": len(to_wire(m.LoadReport("e0", (load,)))),
    }


def read_process(process):
    """Return processor seconds and resident memory (bytes) of a process."""
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    cpu_seconds = (int(fields[13]) + int(fields[14])) / TICKS_PER_S
    return cpu_seconds, int(fields[23]) * os.sysconf("SC_PAGESIZE")


def measure_processes(worker_count, entry_count, seconds=8):
    """Measure idle entries and instances for ``seconds`` and return their use."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            pathlib.Path(folder),
            worker_count=worker_count,
            entry_count=entry_count,
            rules=RULES_PATH.read_text(),
            lease_ttl_s=6,
        )
        try:
            cluster.start()
            time.sleep(3)
            return _measure_idle(cluster, worker_count, entry_count, seconds)
        finally:
            cluster.stop()


def _measure_idle(cluster, worker_count, entry_count, seconds):
    names = list(cluster.operator_urls)
    before = {name: read_process(cluster.processes[name]) for name in names}
    worker_before = read_process(cluster.processes["bench-0"])
    calls = cluster.store_calls()
    time.sleep(seconds)
    cpu_seconds = [
        read_process(cluster.processes[name])[0] - before[name][0] for name in names
    ]
    worker_cpu_seconds = (
        read_process(cluster.processes["bench-0"])[0] - worker_before[0]
    )
    after = cluster.store_calls()
    total = sum(after.values()) - sum(calls.values())
    return {
        "workers": worker_count,
        "entries": entry_count,
        "entry_core_percent": round(100 * max(cpu_seconds) / seconds, 2),
        "entry_core_percent_mean": round(
            100 * sum(cpu_seconds) / len(cpu_seconds) / seconds, 2
        ),
        "worker_core_percent": round(100 * worker_cpu_seconds / seconds, 2),
        "entry_mb": round(max(value[1] for value in before.values()) / 1e6, 1),
        "store_calls_per_s": round(total / seconds, 2),
    }


def main():
    """Run the measurements selected by ``--part`` and print them as JSON lines."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--part", default="decisions")
    args = parser.parse_args()
    if args.part == "decisions":
        for size in (
            (24, 500, 100, 30),
            (200, 4400, 500, 100),
            (870, 19000, 2000, 330),
        ):
            print(json.dumps(measure_line(*size)), flush=True)
        for size in ((24, 9), (200, 18), (870, 36)):
            print(json.dumps(measure_member(*size)), flush=True)
    else:
        for size in ((6, 3), (18, 3), (36, 3), (18, 6), (18, 9)):
            print(json.dumps(measure_processes(*size)), flush=True)


if __name__ == "__main__":
    main()
