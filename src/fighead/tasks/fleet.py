"""The task that writes which instances may run anything."""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..clock import Clock, sleep
from ..codec import to_json
from ..exceptions import StoreError
from ..log import Event, log_event
from ..mailbox import Mailbox
from ..store import FLEET, JOB_LEADER, Compare, Put, Txn, TxnResult
from .watch import STORE_TIMEOUT, StoreClient

RETRY_PAUSE = dt.timedelta(milliseconds=200)


@frozen
class Fleet:
    """Ids of all instances that may have been given a run."""

    instances: tuple[str, ...] = ()


@frozen
class RecordFleet:
    """Write the fleet under a fence, in place of what was written before."""

    fence: int
    fleet: Fleet


@frozen
class FleetRecorded:
    """The fleet is written."""

    fleet: Fleet


@define(eq=False)
class FleetTask:
    """Owns the record of the fleet while its entry leads.

    A later scheduler knows by it whether registrations are missing that have
    lapsed, so it need not wait for them when none is.
    """

    store: StoreClient
    clock: Clock
    report: t.Callable[[FleetRecorded], None]
    mailbox: Mailbox[RecordFleet] = field(factory=lambda: Mailbox("fleet"))

    async def run(self) -> None:
        """Serve the mailbox until cancelled."""
        while True:
            msg = await self.mailbox.get()
            if await self._write(msg):
                self.report(FleetRecorded(msg.fleet))

    async def _write(self, msg: RecordFleet) -> bool:
        """Write until answered; whether the record is there.

        It is not if the entry leads no more under that fence: it then stops, or
        orders the write anew under the next one.
        """
        txn = Txn((Compare(JOB_LEADER, msg.fence),), (Put(FLEET, to_json(msg.fleet)),))
        while True:
            try:
                result: TxnResult = await self.store.call(txn, STORE_TIMEOUT)
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="fleet", reason=exc.message)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            return result.succeeded
