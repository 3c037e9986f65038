"""The task that records in the store which instances may have runs."""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..clock import Clock, sleep
from ..codec import to_json
from ..decisions.handover import LeaseBounds, encode_bounds
from ..exceptions import StoreError
from ..log import Event, log_event
from ..mailbox import Mailbox
from ..run import RegisteredInstance
from ..store import (
    FLEET_KEY,
    JOB_LEADER_KEY,
    JOB_LEASES_KEY,
    Compare,
    KeyValue,
    Put,
    Txn,
    TxnResult,
)
from .watch import STORE_TIMEOUT, StoreClient

#: Pause before a failed write is repeated.
RETRY_PAUSE = dt.timedelta(milliseconds=200)


@frozen
class Fleet:
    """All instances on which a run may have been started.

    :param instances: Their IDs.
    :param registrations: Their last registrations, as far as they are known. One may be
        gone by the time of the next scheduler.
    :param unregistered: Those that have none now, in a record of an earlier version.
    """

    instances: tuple[str, ...]
    registrations: tuple[RegisteredInstance, ...] = ()
    unregistered: tuple[RegisteredInstance, ...] = ()


@frozen
class RecordFleet:
    """Orders that ``fleet`` replace the stored one, if ``fence`` is still in force.

    :param read_revision: Revision of the record that was read at the start of the
        term; 0 if there was none.
    :param term: Term of the leader.
    :param bounds: When the leases end that the leader doesn't extend, by instance ID.
    """

    fence: int
    fleet: Fleet
    read_revision: int = 0
    term: int = 0
    bounds: t.Mapping[str, dt.datetime] = field(factory=dict)


@frozen
class FleetRecorded:
    """Reports that ``fleet`` is stored, with ends of leases."""

    fleet: Fleet
    bounds: t.Mapping[str, dt.datetime] = field(factory=dict)


@define(eq=False)
class FleetTask:
    """Owns the stored fleet while its entry is the leader.

    From it, the next scheduler knows the instances whose runs it has to list before it
    places tasks, and the addresses of those that it can't find among the
    registrations: an instance that is cut off from the store may still run tasks.

    :param report: Called after each successful write.
    """

    store: StoreClient
    clock: Clock
    report: t.Callable[[FleetRecorded], None]
    mailbox: Mailbox[RecordFleet] = field(factory=lambda: Mailbox("fleet"))

    _revision: int = 0
    # Ends of leases that the store may hold under the present term.
    _stored_bounds: LeaseBounds | None = None

    async def run(self) -> None:
        """Serve the mailbox until cancelled."""
        while True:
            msg = await self.mailbox.get()
            self._revision = max(self._revision, msg.read_revision)
            if await self._write(msg):
                self.report(FleetRecorded(msg.fleet, msg.bounds))

    async def _write(self, msg: RecordFleet) -> bool:
        """Retry the write until the store answers; return whether it took effect.

        It does not if the fence is no longer in force. The entry has then either
        stopped scheduling, or orders the write again under its new fence. Each write
        expects the record before it, so that one that is made late replaces none.
        """
        put = Put(FLEET_KEY, to_json(msg.fleet))
        puts = (put, *self._put_bounds(msg))
        while True:
            compares = (
                Compare(JOB_LEADER_KEY, msg.fence),
                Compare(FLEET_KEY, self._revision),
            )
            try:
                result: TxnResult = await self.store.call(
                    Txn(compares, puts), STORE_TIMEOUT
                )
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="fleet", reason=exc.message)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if result.succeeded:
                self._revision = result.revision
                return True
            found = {kv.key: kv for kv in result.kvs}
            leader = found.get(JOB_LEADER_KEY)
            if leader is None or leader.mod_revision != msg.fence:
                return False
            # An earlier attempt without an answer may have been made.
            stored = found.get(FLEET_KEY, KeyValue(FLEET_KEY))
            self._revision = stored.mod_revision
            if stored.value == put.value:
                return True

    def _put_bounds(self, msg: RecordFleet) -> tuple[Put, ...]:
        """Return the write of the ends of leases, unless those in the store hold.

        The record of another term counts as none.
        """
        stored = self._stored_bounds
        is_stored = stored is not None and stored.term == msg.term
        if not (msg.bounds or (is_stored and stored and stored.leases_ms)):
            return ()
        leases_ms = encode_bounds(msg.bounds, self.clock.now())
        self._stored_bounds = LeaseBounds(msg.term, leases_ms)
        return (Put(JOB_LEASES_KEY, to_json(self._stored_bounds)),)
