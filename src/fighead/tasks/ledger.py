"""The task that writes closed buckets of the burn ledger to the store."""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from .. import message as m
from ..clock import Clock, sleep
from ..exceptions import StoreError
from ..ledger import BurnLedger, make_bucket_write
from ..mailbox import Mailbox, process_messages, spawn
from ..store import LeaseGrant, Txn
from .call import Call
from .store import StoreCall, ask_store

#: Interval at which closed buckets of the burn ledger are written to the store.
LEDGER_WRITE_INTERVAL = dt.timedelta(seconds=20)
#: TTL of the lease with which stored buckets of the burn ledger expire.
LEDGER_LEASE_TTL_S = 4 * 24 * 3600


@frozen
class CloseLedger:
    """Request: close the current bucket and write it; answered with ``None``.

    Buckets that the store did not accept stay in the ledger.
    """


@define(eq=False)
class LedgerTask:
    """Writes the closed buckets of a ledger, one at a time, and removes them.

    It alone removes buckets, so a periodic write and the one of a planned stop follow
    each other.
    """

    ledger: BurnLedger
    clock: Clock
    store: Mailbox[StoreCall]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("ledger"))
    _lease: int = 0

    async def run(self) -> None:
        """Write periodically and on request until cancelled."""
        ticks = spawn(self._send_ticks())
        try:
            await process_messages(self.mailbox, self._handle, self.mailbox.name)
        finally:
            ticks.cancel()

    async def _send_ticks(self) -> None:
        while True:
            await sleep(self.clock, LEDGER_WRITE_INTERVAL)
            await self.mailbox.put(m.Tick())

    async def _handle(self, msg: t.Any) -> None:
        match msg:
            case m.Tick():
                self.ledger.current_bucket()
                await self._write_closed()
            case Call(CloseLedger(), reply):
                self.ledger.close_bucket()
                try:
                    await self._write_closed()
                except Exception as exc:
                    reply.errback(exc)
                else:
                    reply.callback(None)

    async def _write_closed(self) -> None:
        while self.ledger.closed:
            bucket = self.ledger.closed[0]
            try:
                if not self._lease:
                    granted = await ask_store(
                        self.store, LeaseGrant(LEDGER_LEASE_TTL_S)
                    )
                    self._lease = granted.lease
                put = make_bucket_write(bucket, self._lease)
                await ask_store(self.store, Txn(success=(put,)))
            except StoreError:
                # The bucket stays in the ledger and is retried at the next write,
                # with a new lease in case the lease was the cause.
                self._lease = 0
                return
            self.ledger.closed.remove(bucket)
