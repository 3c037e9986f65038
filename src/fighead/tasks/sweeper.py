"""The task that removes what the store need not keep of ended jobs."""

import datetime as dt

from attrs import define

from ..clock import Clock, sleep
from ..codec import from_json
from ..exceptions import RequestError, StoreError
from ..job import JobEnding
from ..log import Event, log_event
from ..store import JOB_ENDINGS, JOB_LEADER, Compare, Delete, KeyValue, Txn
from .recorder import MAX_TXN_ENTRIES
from .watch import STORE_TIMEOUT, StoreClient, read_all

#: How often ended jobs are looked through.
SWEEP_INTERVAL = dt.timedelta(seconds=60)
#: An ended job is kept for this many times as long as it must be known, since a
#: client may repeat its submission late.
KEEP_FACTOR = 3


@define(eq=False)
class SweeperTask:
    """Removes endings that are old enough, while its entry leads.

    :param keep: How long an ended job must be known.
    :param fence: Revision of the leader's key under which removals are made.
    """

    store: StoreClient
    clock: Clock
    keep: dt.timedelta
    fence: int

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await sleep(self.clock, SWEEP_INTERVAL)
            try:
                await self._sweep()
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="sweep", reason=exc.message)

    async def _sweep(self) -> None:
        found = await read_all(self.store, JOB_ENDINGS)
        limit = self.clock.now() - self.keep * KEEP_FACTOR
        old = [kv for kv in found.kvs if _ended_before(kv, limit)]
        size = (MAX_TXN_ENTRIES - 1) // 2
        for start in range(0, len(old), size):
            batch = old[start : start + size]
            compares = [Compare(kv.key, kv.mod_revision) for kv in batch]
            txn = Txn(
                (Compare(JOB_LEADER, self.fence), *compares),
                tuple(Delete(kv.key) for kv in batch),
            )
            result = await self.store.call(txn, STORE_TIMEOUT)
            if not result.succeeded:
                return


def _ended_before(kv: KeyValue, limit: dt.datetime) -> bool:
    try:
        ending = from_json(kv.value, JobEnding)
    except RequestError as exc:
        log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
        return False
    return ending.ended_ms < limit.timestamp() * 1000
