"""The task that records in the store which instances may have runs."""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..clock import Clock, sleep
from ..codec import to_json
from ..exceptions import StoreError
from ..log import Event, log_event
from ..mailbox import Mailbox
from ..run import RegisteredInstance
from ..store import FLEET_KEY, JOB_LEADER_KEY, Compare, KeyValue, Put, Txn, TxnResult
from .watch import STORE_TIMEOUT, StoreClient

#: Pause before a failed write is repeated.
RETRY_PAUSE = dt.timedelta(milliseconds=200)


@frozen
class Fleet:
    """All instances on which a run may have been started.

    :param instances: Their IDs.
    :param unregistered: Those without a registration, as they last registered.
    """

    instances: tuple[str, ...]
    unregistered: tuple[RegisteredInstance, ...] = ()


@frozen
class RecordFleet:
    """Orders that ``fleet`` replace the stored one, if ``fence`` is still in force.

    :param read_revision: Revision of the record that was read at the start of the
        term; 0 if there was none.
    """

    fence: int
    fleet: Fleet
    read_revision: int = 0


@frozen
class FleetRecorded:
    """Reports that ``fleet`` is stored."""

    fleet: Fleet


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

    async def run(self) -> None:
        """Serve the mailbox until cancelled."""
        while True:
            msg = await self.mailbox.get()
            self._revision = max(self._revision, msg.read_revision)
            if await self._write(msg):
                self.report(FleetRecorded(msg.fleet))

    async def _write(self, msg: RecordFleet) -> bool:
        """Retry the write until the store answers; return whether it took effect.

        It does not if the fence is no longer in force. The entry has then either
        stopped scheduling, or orders the write again under its new fence. Each write
        expects the record before it, so that one that is made late replaces none.
        """
        put = Put(FLEET_KEY, to_json(msg.fleet))
        while True:
            compares = (
                Compare(JOB_LEADER_KEY, msg.fence),
                Compare(FLEET_KEY, self._revision),
            )
            try:
                result: TxnResult = await self.store.call(
                    Txn(compares, (put,)), STORE_TIMEOUT
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
