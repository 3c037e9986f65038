"""Open-loop arrivals: what is sent, when, and by whom, from a seed."""

import datetime as dt
import heapq
import json
import random
import typing as t

from attrs import field, frozen

from ..model import Category

#: Added to deadlines and waits before a client gives up on an answer.
CLIENT_GRACE = dt.timedelta(seconds=5)
RECORD_TIMEOUT = dt.timedelta(seconds=35)


@frozen
class Stream:
    """Arrivals of one kind at a mean rate between two points in time.

    :param rate: Mean arrivals a second.
    :param run_time_s: Mean real run time; drawn for each arrival.
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
    """One request to be sent at ``at`` after the start."""

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
    """Streams that are sent together.

    :param seed: Decides every arrival.
    """

    streams: tuple[Stream, ...]
    seed: int = 1
    name: str = "load"
    entries: tuple[str, ...] = field(default=())


def timeout_of(arrival: Arrival) -> dt.timedelta:
    """Return how long a client waits for an answer."""
    if arrival.category is Category.CHECK:
        return arrival.deadline + CLIENT_GRACE
    return arrival.wait + RECORD_TIMEOUT


def draw_arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return all arrivals of a plan in the order of their times."""
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
    # Run times vary by a quarter around their mean.
    run_time_s = stream.run_time_s * rng.uniform(0.75, 1.25)
    body = {"id": request_id, "run_time_s": round(run_time_s, 4)}
    if rng.random() < stream.fails_share:
        body["fails"] = True
    return json.dumps(body)
