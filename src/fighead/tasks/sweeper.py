"""The task that deletes records of ended jobs from the store after their retention."""

import datetime as dt

from attrs import define

from ..clock import Clock, sleep_until_multiple
from ..codec import from_json
from ..exceptions import RequestError, StoreError
from ..job import JobEnding
from ..log import Event, log_event
from ..store import JOB_ENDINGS_PREFIX, JOB_LEADER_KEY, Compare, Delete, KeyValue, Txn
from .recorder import MAX_TXN_ENTRIES
from .watch import STORE_TIMEOUT, StoreClient, read_all

#: Interval between scans of the ended jobs.
SWEEP_INTERVAL = dt.timedelta(seconds=60)
#: Ratio of the retention of an ended job to its status time. It is above 1 as a
#: client may repeat a submission late.
RETENTION_FACTOR = 3


@define(eq=False)
class SweeperTask:
    """Deletes the endings of jobs past their retention, while its entry leads.

    :param status_time: How long the outcome of an ended job must be available.
    :param fence: Revision that the leader key must have for a deletion to succeed.
    """

    store: StoreClient
    clock: Clock
    status_time: dt.timedelta
    fence: int

    async def run(self) -> None:
        """Delete expired endings periodically until cancelled; log store errors."""
        while True:
            await sleep_until_multiple(self.clock, SWEEP_INTERVAL)
            try:
                await self._sweep()
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="sweep", reason=exc.message)

    async def _sweep(self) -> None:
        found = await read_all(self.store, JOB_ENDINGS_PREFIX)
        # The earlier of both clocks: one that is ahead must not shorten the retention.
        now = min(self.clock.now(), self.clock.wall_now())
        limit = now - self.status_time * RETENTION_FACTOR
        expired = [kv for kv in found.kvs if _ended_before(kv, limit)]
        batch_size = (MAX_TXN_ENTRIES - 1) // 2
        for start in range(0, len(expired), batch_size):
            batch = expired[start : start + batch_size]
            compares = [Compare(kv.key, kv.mod_revision) for kv in batch]
            txn = Txn(
                (Compare(JOB_LEADER_KEY, self.fence), *compares),
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
