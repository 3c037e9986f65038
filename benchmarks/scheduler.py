"""Measures the processor time of scheduling decisions and of HTTP calls.

python benchmarks/scheduler.py decisions
python benchmarks/scheduler.py calls --store 127.0.0.1:2380
"""

import datetime as dt
import math
import time
import typing as t

import fire
import structlog
import treq
from twisted.internet import defer, task
from twisted.internet.defer import ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool

from fighead.decisions import instance_tracking, job_lifecycle, placement, run_updates
from fighead.decisions.schedule_state import Order, Schedule
from fighead.decisions.start_window import StartWindow
from fighead.http_client import HttpPool, HttpRequest
from fighead.job import Demand, JobConfig, JobRecord, JobSpec, Queue, Stage
from fighead.run import ListedRun, Listing, RegisteredInstance
from fighead.runtime import make_clock

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
QUEUE = Queue("q", "h", "/q/", "u", 0, 2, 2.0, 1000)
INSTANCE_COUNTS = (24, 200, 870)
CALL_COUNT = 2000
TIMEOUT = dt.timedelta(seconds=2)


def make_schedule(instance_count: int) -> Schedule:
    """Return a settled schedule with four serving tasks per instance."""
    config, window = JobConfig(1, (QUEUE,), ("u",)), StartWindow(limit=math.inf)
    schedule = Schedule(1, 1, START, config=config, start_window=window)
    for number in range(instance_count):
        instance = RegisteredInstance(
            f"i{number}", "1", "a", "u", "z", Demand(64000, 256000, 0), ("a", "r")
        )
        instance_tracking.add_instance(schedule, instance, START)
        state = schedule.instances[instance.instance_id]
        state.is_reachable = state.is_listed = state.is_in_stored_fleet = True
    schedule.is_settled = True
    serving = Stage(
        4 * instance_count, 10000, 10, image="s", target_ms=100, is_lasting=True
    )
    add_job(schedule, "0" * 16, serving)
    placement.place_waiting_tasks(schedule, START)
    return schedule


def add_job(schedule: Schedule, job_id: str, stage: Stage) -> None:
    """Add a job with a single stage to the schedule."""
    record = JobRecord(job_id, "q", "u", JobSpec("x", (stage,)))
    job_lifecycle.add_job(schedule, record, 1, START)


def time_placing(schedule: Schedule, stage: Stage, jobs: int) -> float:
    """Add jobs one by one and return the processor time in ms per placed task."""
    placed, started = 0, time.process_time()
    for number in range(jobs):
        add_job(schedule, f"{stage.image}{number:015x}", stage)
        placed += sum(
            isinstance(e, Order) for e in placement.place_waiting_tasks(schedule, START)
        )
    return (time.process_time() - started) * 1000 / max(placed, 1)


def time_listing(schedule: Schedule) -> float:
    """Process one listing per instance; return the processor time in ms per listing."""
    started = time.process_time()
    for state in schedule.instances.values():
        rows = tuple(
            ListedRun(run.key, run.number, "", 100, 30) for run in state.runs.values()
        )
        now = START + dt.timedelta(seconds=1)
        run_updates.apply_listing(schedule, state, Listing(1, rows), START, now)
    return (time.process_time() - started) * 1000 / len(schedule.instances)


def decisions() -> None:
    """Print the processor time of decisions for several numbers of instances."""
    for count in INSTANCE_COUNTS:
        schedule = make_schedule(count)
        quick = time_placing(schedule, Stage(6, 1000, 10, image="q"), 10)
        filler = Stage(8, 7000, 10, image="f", is_filler=True)
        fill = time_placing(schedule, filler, 10)
        listing = time_listing(schedule)
        print(
            f"{count} instances: quick task {quick:.2f} ms, filler {fill:.2f} ms, "
            f"listing {listing:.2f} ms"
        )


def calls(store: str) -> None:
    """Print the processor time per call of HttpPool and of treq, twice each.

    :param store: Host and port of the key-value service.
    """

    async def main(reactor: t.Any) -> None:
        pool = HttpPool(reactor, make_clock())
        http_pool = HTTPConnectionPool(reactor)
        client = treq.client.HTTPClient(Agent(reactor, pool=http_pool))
        path = "/fighead/kv-key?Key=none"

        async def call_with_pool() -> None:
            await pool.request(store, HttpRequest("GET", path), TIMEOUT)

        async def call_with_treq() -> None:
            response = await client.get(f"http://{store}{path}")
            await response.content()

        for name, call in (("pool", call_with_pool), ("treq", call_with_treq)) * 2:
            started = time.process_time()
            for _ in range(CALL_COUNT):
                await call()
            took_ms = (time.process_time() - started) * 1000 / CALL_COUNT
            print(f"{name}: {took_ms:.3f} ms a call")
        await defer.succeed(None)

    task.react(lambda reactor: ensureDeferred(main(reactor)))


if __name__ == "__main__":
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    fire.Fire({"decisions": decisions, "calls": calls})
