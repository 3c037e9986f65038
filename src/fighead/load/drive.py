"""Drives a load plan at entries and gathers the journals of the stand-ins."""

import datetime as dt
import typing as t

import treq
from twisted.internet.defer import Deferred, gatherResults

from ..clock import Clock, sleep
from ..codec import from_json
from ..mailbox import spawn
from ..worker import Journal
from .client import LoadClient
from .plan import LoadPlan, draw_arrivals

#: Requests that are sent before the oldest must have ended.
MAX_IN_FLIGHT = 5000


async def drive(client: LoadClient, clock: Clock, plan: LoadPlan) -> None:
    """Send every arrival at its time, whether or not earlier ones have ended."""
    started_at = clock.now()
    sent: list[Deferred] = []
    for arrival in draw_arrivals(plan):
        delay = started_at + arrival.at - clock.now()
        if delay > dt.timedelta():
            await sleep(clock, delay)
        if len(sent) >= MAX_IN_FLIGHT:
            await sent.pop(0)
        sent.append(spawn(client.send(arrival)))
    await gatherResults(sent)


async def read_journals(workers: t.Iterable[str]) -> tuple[Journal, ...]:
    """Return the journal of each stand-in that answers."""
    journals = []
    for base in workers:
        response = await treq.get(f"{base}/journal", timeout=10)
        journals.append(from_json(await response.content(), Journal))
    return tuple(journals)
