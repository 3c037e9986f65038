"""Open-loop load plans, and the random arrivals drawn from them by seed."""

import datetime as dt
import heapq
import json
import random
import typing as t

from attrs import field, frozen

from ..model import Category

#: Added to the deadline of a check before the client times out.
ANSWER_MARGIN = dt.timedelta(seconds=5)
#: Added to the wait for recorded work before the client times out.
RECORD_MARGIN = dt.timedelta(seconds=35)


@frozen
class Stream:
    """Poisson arrivals of one kind between two times after the start.

    :param rate: Mean arrivals per second; 0 for none.
    :param run_time_s: Mean actual run time in seconds; each arrival draws its own.
    :param deadline: Deadline of each check.
    :param fails_share: Share of arrivals whose task always fails.
    :param wait: How long the caller waits for the end of recorded work.
    """

    upstream: str
    kind: str
    category: Category
    rate: float
    run_time_s: float
    start: dt.timedelta = dt.timedelta()
    end: dt.timedelta = dt.timedelta(seconds=10)
    deadline: dt.timedelta = dt.timedelta(seconds=1)
    callers: tuple[str, ...] = ("load",)
    non_idempotent: bool = False
    fails_share: float = 0.0
    wait: dt.timedelta = dt.timedelta()


@frozen
class Arrival:
    """One request to send.

    :param at: Time after the start at which it is sent.
    :param body: JSON object that tells the stand-in how the task behaves.
    """

    at: dt.timedelta
    upstream: str
    kind: str
    category: Category
    caller: str
    request_id: str
    body: str
    deadline: dt.timedelta
    non_idempotent: bool = False
    wait: dt.timedelta = dt.timedelta()


@frozen
class LoadPlan:
    """Streams that are sent concurrently.

    :param seed: Seed of the random arrivals.
    :param name: Prefix of the request ids.
    """

    streams: tuple[Stream, ...]
    seed: int = 1
    name: str = "load"
    entries: tuple[str, ...] = field(default=())


def timeout_of(arrival: Arrival) -> dt.timedelta:
    """Return the time after which a client stops waiting for an answer."""
    if arrival.category is Category.CHECK:
        return arrival.deadline + ANSWER_MARGIN
    return arrival.wait + RECORD_MARGIN


def draw_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return all arrivals of a plan in order of time; equal plans give equal ones."""
    drawn = (
        _draw_stream(stream, random.Random(f"{plan.seed}/{index}"), index, plan)
        for index, stream in enumerate(plan.streams)
    )
    return list(heapq.merge(*drawn, key=lambda arrival: arrival.at))


def _draw_stream(
    stream: Stream, rng: random.Random, index: int, plan: LoadPlan
) -> t.Iterator[Arrival]:
    at, number = stream.start, 0
    while stream.rate > 0:
        at += dt.timedelta(seconds=rng.expovariate(stream.rate))
        if at >= stream.end:
            return
        number += 1
        request_id = f"{plan.name}-{plan.seed}-{index}-{number}"
        yield Arrival(
            at,
            stream.upstream,
            stream.kind,
            stream.category,
            rng.choice(stream.callers),
            request_id,
            _draw_body(stream, rng, request_id),
            stream.deadline,
            stream.non_idempotent,
            stream.wait,
        )


def _draw_body(stream: Stream, rng: random.Random, request_id: str) -> str:
    # Uniform between 75 and 125 percent of the mean.
    run_time_s = stream.run_time_s * rng.uniform(0.75, 1.25)
    body = {"id": request_id, "run_time_s": round(run_time_s, 4)}
    if rng.random() < stream.fails_share:
        body["fails"] = True
    return json.dumps(body)
