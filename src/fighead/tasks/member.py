"""The task that maintains an entry's lease, its claims and its applied revision."""

import datetime as dt
import json
import random
import typing as t

import treq
from attrs import define, field, frozen
from pyrsistent import PMap, pmap
from twisted.internet.defer import Deferred, DeferredLock, ensureDeferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, ResponseDone

from .. import gateway
from .. import message as m
from ..clock import Clock, sleep, with_timeout
from ..codec import from_json, to_json
from ..decisions import member as member_decisions
from ..decisions import member_state
from ..decisions.member import MemberState
from ..exceptions import FigheadError, LeaseLostError, RequestError, StoreError
from ..instance_list import PlatformList
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..metric import Metrics
from ..model import Claim, Member, Revision
from ..store import (
    CLAIMS_PREFIX,
    CONTROL_PREFIX,
    CURRENT_REVISION_KEY,
    MEMBERS_PREFIX,
    KeyValue,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Put,
    Txn,
    WatchBatch,
    delete_if_unchanged,
    put_if_unchanged,
)
from .store import StoreCall, ask_store, read_prefix
from .write_retry import write_with_retries

T = t.TypeVar("T")

TICK_INTERVAL = dt.timedelta(milliseconds=500)
PLATFORM_POLL_INTERVAL = dt.timedelta(seconds=1)
#: Timeout of reading the platform's list, and of the response headers of a watch.
PLATFORM_TIMEOUT = dt.timedelta(seconds=2)
RETRY_PAUSE = dt.timedelta(milliseconds=500)
#: Age at which a watch is reopened, since a dead connection may go unnoticed.
MAX_WATCH_AGE = dt.timedelta(seconds=60)
#: Time after which the write of a claim is given up.
CLAIM_TIMEOUT = dt.timedelta(seconds=5)


@frozen
class ClaimValue:
    """Stored value of a claim's key.

    :param write_id: Random id of the write. If the answer to a write is lost, it
        shows whether the write took effect.
    """

    owner: str
    write_id: str


@define(eq=False)
class MemberTask:
    """Maintains this entry's member record, lease and claims in the store.

    :param platform_url: URL of the platform's list of leaving and gone instances.
    :param publish: Sends a new view to the entry's other tasks.
    :param supervisor: Mailbox of the task that opens and closes resources.
    :param on_end: Called after the last claim has been released and the lease
        revoked, or left to expire if the store can't be reached.
    """

    state: MemberState
    clock: Clock
    reactor: t.Any
    metrics: Metrics
    random: random.Random
    store: Mailbox[StoreCall]
    store_url: str
    platform_url: str
    lease_ttl: dt.timedelta
    publish: t.Callable[[m.View], None]
    supervisor: Mailbox[t.Any]
    on_end: t.Callable[[], None]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("member", 4096))
    _children: list[Deferred] = field(factory=list)
    _was_ready: bool = False
    #: Held while the member record is written: the store may reorder calls.
    _record_lock: DeferredLock = field(factory=DeferredLock)

    async def run(self) -> None:
        """Hold a lease, watch the control data and handle messages until cancelled."""
        loops = (
            self._maintain_lease(),
            self._watch_control(),
            self._poll_platform(),
            self._send_ticks(),
        )
        self._children = [spawn(loop) for loop in loops]
        try:
            await process_messages(self.mailbox, self._handle, self.mailbox.name)
        finally:
            for child in self._children:
                child.cancel()

    def is_ready(self) -> bool:
        """Whether the balancer should send requests to this entry now."""
        return member_decisions.is_ready(self.state, self.clock.now())

    def _handle(self, msg: t.Any) -> None:
        step = member_decisions.decide(self.state, msg, self.clock.now())
        self.state = step.state
        for effect in step.effects:
            self._execute_effect(effect)
        is_ready = self.is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(Event.ENTRY_READY if is_ready else Event.ENTRY_NOT_READY)

    def _execute_effect(self, effect: t.Any) -> None:
        match effect:
            case member_state.WriteMember(member, lease):
                spawn(self._write_member(member, lease))
            case member_state.WriteClaim():
                spawn(self._write_claim(effect))
            case member_state.DropClaim():
                spawn(self._drop_claim(effect))
            case member_state.PublishView(view):
                self.publish(view)
            case member_state.RevisionApplied(number):
                self.metrics.set_revision(number)
                log_event(Event.REVISION_APPLIED, revision=number)
            case member_state.RevisionIgnored(number):
                log_event(Event.REVISION_STALE, revision=number)
            case member_state.EndEntry(lease):
                spawn(self._revoke_lease_and_end(lease))
            case _:
                self.supervisor.offer(effect)

    async def _maintain_lease(self) -> None:
        while True:
            try:
                await self._grant_or_renew_lease()
            except StoreError:
                self._record_store_contact(False)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if not self.state.lease:
                continue
            await sleep(self.clock, self.lease_ttl / 3)

    async def _grant_or_renew_lease(self) -> None:
        lease = self.state.lease
        if not lease:
            ttl_s = max(1, int(self.lease_ttl.total_seconds()))
            granted = await ask_store(self.store, LeaseGrant(ttl_s))
            log_event(Event.LEASE_GRANTED, lease=granted.lease)
            await self.mailbox.put(member_state.LeaseGranted(granted.lease))
        else:
            renewed = await ask_store(self.store, LeaseKeepAlive(lease))
            if renewed.ttl_s <= 0:
                self._handle_lease_lost()
                return
        self._record_store_contact(True)

    def _handle_lease_lost(self) -> None:
        if self.state.lease:
            log_event(Event.LEASE_LOST, lease=self.state.lease)
            self._handle(member_state.LeaseExpired())

    def _record_store_contact(self, reachable: bool) -> None:
        if reachable != self.state.store_reachable:
            log_event(Event.STORE_BACK if reachable else Event.STORE_AWAY)
        self._handle(member_state.StoreReachability(reachable))

    async def _write_member(self, member: Member, lease: int) -> None:
        """Write the member record, unless it has changed until its turn has come."""
        await self._record_lock.acquire()
        try:
            await self._write_member_with_retries(member, lease)
        finally:
            self._record_lock.release()

    async def _write_member_with_retries(self, member: Member, lease: int) -> None:
        put = Put(MEMBERS_PREFIX + member.name, to_json(member), lease)
        while self.state.me == member and self.state.lease == lease:
            try:
                await ask_store(self.store, Txn(success=(put,)))
                return
            except LeaseLostError:
                self._handle_lease_lost()
                return
            except StoreError:
                await sleep(self.clock, RETRY_PAUSE)

    async def _write_claim(self, effect: member_state.WriteClaim) -> None:
        key = CLAIMS_PREFIX + effect.resource
        value = ClaimValue(self.state.me.name, f"{self.random.getrandbits(64):016x}")
        txn = put_if_unchanged(key, to_json(value), 0, effect.lease)
        give_up_at = self.clock.now() + CLAIM_TIMEOUT
        failed = member_state.ClaimFailed(effect.resource)
        try:
            outcome = await write_with_retries(
                self.store, self.clock, self.random, txn, give_up_at
            )
        except LeaseLostError:
            self._handle_lease_lost()
            await self.mailbox.put(failed)
            return
        except StoreError:
            await self.mailbox.put(failed)
            return
        if not outcome.written:
            await self.mailbox.put(failed)
            return
        log_event(Event.CLAIM_WON, resource=effect.resource, epoch=outcome.revision)
        won = member_state.ClaimWon(effect.resource, outcome.revision)
        await self.mailbox.put(won)

    async def _drop_claim(self, effect: member_state.DropClaim) -> None:
        txn = delete_if_unchanged(CLAIMS_PREFIX + effect.resource, effect.epoch)
        await write_with_retries(self.store, self.clock, self.random, txn)
        log_event(Event.CLAIM_RELEASED, resource=effect.resource)
        dropped = member_state.ClaimDropped(effect.resource, effect.epoch)
        await self.mailbox.put(dropped)

    async def _watch_control(self) -> None:
        while True:
            try:
                revision = await self._load_control()
                await self._stream_changes(revision + 1)
            except FigheadError:
                self._record_store_contact(False)
            except Exception as exc:
                log_event(Event.STORE_AWAY, reason=type(exc).__name__)
            pause = RETRY_PAUSE * (0.5 + self.random.random())
            await sleep(self.clock, pause)

    async def _load_control(self) -> int:
        kvs, revision = await read_prefix(self.store, CONTROL_PREFIX)
        control = decode_control(kvs)
        await self.mailbox.put(
            member_state.ControlLoaded(
                revision, control.members, control.claims, control.current
            )
        )
        return revision

    async def _stream_changes(self, start_revision: int) -> None:
        client = treq.client.HTTPClient(Agent(self.reactor))
        self.metrics.count_store_call(gateway.WATCH_PATH)
        body = json.dumps(gateway.encode_watch(CONTROL_PREFIX, start_revision)).encode()
        deferred = ensureDeferred(
            client.post(self.store_url + gateway.WATCH_PATH, data=body, unbuffered=True)
        )
        response = await with_timeout(self.clock, deferred, PLATFORM_TIMEOUT)
        stream = _WatchStream(self._handle_batch)
        response.deliverBody(stream)
        await with_timeout(self.clock, stream.ended, MAX_WATCH_AGE)

    def _handle_batch(self, batch: WatchBatch) -> None:
        changes = decode_control([event.kv for event in batch.events])
        self.mailbox.offer(
            member_state.ControlChanged(
                batch.revision, changes.members, changes.claims, changes.current
            )
        )

    async def _poll_platform(self) -> None:
        while True:
            await sleep(self.clock, PLATFORM_POLL_INTERVAL)
            try:
                deferred = ensureDeferred(self._fetch_platform_list())
                instances = await with_timeout(self.clock, deferred, PLATFORM_TIMEOUT)
            except Exception:
                # The list may lag anyway, so the previous one remains in use.
                continue
            leaving, gone = frozenset(instances.leaving), frozenset(instances.gone)
            await self.mailbox.put(member_state.PlatformInstances(leaving, gone))

    async def _fetch_platform_list(self) -> PlatformList:
        response = await treq.get(self.platform_url, agent=Agent(self.reactor))
        return from_json(await response.content(), PlatformList)

    async def _send_ticks(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            await self.mailbox.put(m.Tick())

    async def _revoke_lease_and_end(self, lease: int) -> None:
        if lease:
            try:
                await ask_store(self.store, LeaseRevoke(lease))
            except StoreError:
                # The lease then expires by itself.
                log_event(Event.STORE_AWAY)
        self.on_end()


@frozen
class _ControlData:
    members: PMap
    claims: PMap
    current: Revision | None


def decode_control(kvs: t.Iterable[KeyValue]) -> _ControlData:
    """Decode the control data; what can't be read is logged and left out."""
    members: dict[str, Member | None] = {}
    claims: dict[str, Claim | None] = {}
    current = None
    for kv in kvs:
        if kv.key.startswith(MEMBERS_PREFIX):
            name = kv.key.removeprefix(MEMBERS_PREFIX)
            members[name] = _decode(kv, Member)
        elif kv.key.startswith(CLAIMS_PREFIX):
            resource = kv.key.removeprefix(CLAIMS_PREFIX)
            value = _decode(kv, ClaimValue)
            if value is not None:
                claims[resource] = Claim(resource, value.owner, kv.create_revision)
            elif not kv.value:
                claims[resource] = None
        elif kv.key == CURRENT_REVISION_KEY:
            current = _decode(kv, Revision)
    return _ControlData(pmap(members), pmap(claims), current)


def _decode(kv: KeyValue, cls: type[T]) -> T | None:
    """Decode a value; ``None`` if the key is deleted or the value can't be read."""
    if not kv.value:
        return None
    try:
        return from_json(kv.value, cls)
    except RequestError as exc:
        log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
        return None


class _WatchStream(Protocol):
    """Decodes a watch stream, which consists of one JSON message per line.

    Its ``ended`` fires at the end of the stream; cancelling it closes the
    connection.

    :param handle: Called with each batch that contains changes.
    """

    def __init__(self, handle: t.Callable[[WatchBatch], None]) -> None:
        self._handle = handle
        self._buffer = b""
        self.ended: Deferred[None] = Deferred(lambda _: self._close())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Decode the lines completed by ``data`` and buffer the rest."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in filter(None, lines):
            batch = gateway.decode_watch(json.loads(line))
            if batch.events:
                self._handle(batch)

    def connectionLost(self, reason: t.Any = ResponseDone()) -> None:  # noqa: N802, B008
        """Fire ``ended``."""
        if not self.ended.called:
            self.ended.callback(None)

    def _close(self) -> None:
        transport: t.Any = self.transport
        if transport is not None:
            transport.loseConnection()
