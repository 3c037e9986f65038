"""Sends the load of a plan to entries and fetches the journals of stand-ins."""

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

#: Requests in flight above which sending waits for the oldest to end.
MAX_IN_FLIGHT = 5000


async def drive(client: LoadClient, clock: Clock, plan: LoadPlan) -> None:
    """Send all arrivals of a plan at their times and wait for their outcomes.

    The load is open-loop: arrivals don't wait for earlier ones to end, unless
    :data:`MAX_IN_FLIGHT` is reached. Outcomes are in ``client.operations``.
    """
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
    """Return the journal of each stand-in; fails if one does not answer.

    :param workers: Base URLs of the stand-ins.
    """
    journals = []
    for base_url in workers:
        response = await treq.get(f"{base_url}/journal", timeout=10)
        journals.append(from_json(await response.content(), Journal))
    return tuple(journals)
