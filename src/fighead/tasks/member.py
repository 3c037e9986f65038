"""The task that keeps the lease, the claims and the revision of one entry."""

import datetime as dt
import json
import random
import typing as t

import treq
from attrs import define, field, frozen
from pyrsistent import PMap, pmap
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, ResponseDone

from .. import gateway
from .. import message as m
from ..clock import Clock, sleep, with_timeout
from ..codec import from_json, to_json
from ..decisions import member as deciding
from ..decisions import member_state as states
from ..decisions.member import MemberState
from ..exceptions import FigheadError, LeaseLostError, StoreError
from ..instance_list import PlatformList
from ..log import Event, log_event
from ..mailbox import Mailbox, receive, spawn
from ..metric import Metrics
from ..model import Claim, Member, Revision
from ..store import (
    CLAIMS,
    CONTROL,
    CURRENT_REVISION,
    MEMBERS,
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
from .settle import settle
from .store import StoreCall, ask_store, read_prefix

TICK_INTERVAL = dt.timedelta(milliseconds=500)
PLATFORM_INTERVAL = dt.timedelta(seconds=1)
PLATFORM_TIMEOUT = dt.timedelta(seconds=2)
RETRY_PAUSE = dt.timedelta(milliseconds=500)
#: Time after which a watch is opened anew, in case it has died unnoticed.
WATCH_RENEWAL = dt.timedelta(seconds=60)
#: Time within which a claim must be settled.
CLAIM_TIMEOUT = dt.timedelta(seconds=5)


@frozen
class ClaimValue:
    """What a claim's key holds.

    :param write_id: Identity of the write, so that a lost answer is found out.
    """

    owner: str
    write_id: str


@define(eq=False)
class MemberTask:
    """Keeps this entry's place among the others.

    :param publish: Tells the other tasks of a new view.
    :param roster: Mailbox of the task that opens and closes resources.
    :param on_end: Called once the entry has nothing left to do.
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
    roster: Mailbox[t.Any]
    on_end: t.Callable[[], None]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("member", 4096))
    _children: list[Deferred] = field(factory=list)
    _was_ready: bool = False

    async def run(self) -> None:
        """Join the others and serve the mailbox until cancelled."""
        loops = (self._renew(), self._watch(), self._follow_platform(), self._tick())
        self._children = [spawn(loop) for loop in loops]
        try:
            await receive(self.mailbox, self._handle, self.mailbox.name)
        finally:
            for child in self._children:
                child.cancel()

    def is_ready(self) -> bool:
        """Whether the balancer should send requests to this entry."""
        return deciding.is_ready(self.state, self.clock.now())

    def _handle(self, msg: t.Any) -> None:
        step = deciding.decide(self.state, msg, self.clock.now())
        self.state = step.state
        for effect in step.effects:
            self._carry_out(effect)
        is_ready = self.is_ready()
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(Event.ENTRY_READY if is_ready else Event.ENTRY_NOT_READY)

    def _carry_out(self, effect: t.Any) -> None:
        match effect:
            case states.WriteMember(member, lease):
                spawn(self._write_member(member, lease))
            case states.WriteClaim():
                spawn(self._write_claim(effect))
            case states.DropClaim():
                spawn(self._drop_claim(effect))
            case states.PublishView(view):
                self.publish(view)
            case states.RevisionApplied(number):
                self.metrics.note_revision(number)
                log_event(Event.REVISION_APPLIED, revision=number)
            case states.RevisionIgnored(number):
                log_event(Event.REVISION_STALE, revision=number)
            case states.EndEntry(lease):
                spawn(self._end(lease))
            case _:
                self.roster.offer(effect)

    async def _renew(self) -> None:
        while True:
            try:
                await self._renew_once()
            except StoreError:
                self._note_store(False)
                await sleep(self.clock, RETRY_PAUSE)
                continue
            if not self.state.lease:
                continue
            await sleep(self.clock, self.lease_ttl / 3)

    async def _renew_once(self) -> None:
        lease = self.state.lease
        if not lease:
            ttl_s = max(1, int(self.lease_ttl.total_seconds()))
            granted = await ask_store(self.store, LeaseGrant(ttl_s))
            log_event(Event.LEASE_GRANTED, lease=granted.lease)
            await self.mailbox.put(states.LeaseGranted(granted.lease))
        else:
            renewed = await ask_store(self.store, LeaseKeepAlive(lease))
            if renewed.ttl_s <= 0:
                self._note_lapse()
                return
        self._note_store(True)

    def _note_lapse(self) -> None:
        if self.state.lease:
            log_event(Event.LEASE_LOST, lease=self.state.lease)
            self._handle(states.LeaseExpired())

    def _note_store(self, reachable: bool) -> None:
        if reachable != self.state.store_reachable:
            log_event(Event.STORE_BACK if reachable else Event.STORE_AWAY)
        self._handle(states.StoreReachability(reachable))

    async def _write_member(self, member: Member, lease: int) -> None:
        put = Put(MEMBERS + member.name, to_json(member), lease)
        while self.state.me == member and self.state.lease == lease:
            try:
                await ask_store(self.store, Txn(success=(put,)))
                return
            except LeaseLostError:
                self._note_lapse()
                return
            except StoreError:
                await sleep(self.clock, RETRY_PAUSE)

    async def _write_claim(self, effect: states.WriteClaim) -> None:
        key = CLAIMS + effect.resource
        value = ClaimValue(self.state.me.name, f"{self.random.getrandbits(64):016x}")
        txn = put_if_unchanged(key, to_json(value), 0, effect.lease)
        give_up_at = self.clock.now() + CLAIM_TIMEOUT
        failed = states.ClaimFailed(effect.resource)
        try:
            outcome = await settle(self.store, self.clock, self.random, txn, give_up_at)
        except LeaseLostError:
            self._note_lapse()
            await self.mailbox.put(failed)
            return
        except StoreError:
            await self.mailbox.put(failed)
            return
        if not outcome.written:
            await self.mailbox.put(failed)
            return
        log_event(Event.CLAIM_WON, resource=effect.resource, epoch=outcome.revision)
        won = states.ClaimWon(effect.resource, outcome.revision)
        await self.mailbox.put(won)

    async def _drop_claim(self, effect: states.DropClaim) -> None:
        txn = delete_if_unchanged(CLAIMS + effect.resource, effect.epoch)
        await settle(self.store, self.clock, self.random, txn)
        log_event(Event.CLAIM_RELEASED, resource=effect.resource)
        await self.mailbox.put(states.ClaimDropped(effect.resource))

    async def _watch(self) -> None:
        while True:
            try:
                revision = await self._load_control()
                await self._stream(revision + 1)
            except FigheadError:
                self._note_store(False)
            except Exception as exc:
                log_event(Event.STORE_AWAY, reason=type(exc).__name__)
            pause = RETRY_PAUSE * (0.5 + self.random.random())
            await sleep(self.clock, pause)

    async def _load_control(self) -> int:
        kvs, revision = await read_prefix(self.store, CONTROL)
        loaded = _sort_control(kvs)
        await self.mailbox.put(
            states.ControlLoaded(
                revision, loaded.members, loaded.claims, loaded.current
            )
        )
        return revision

    async def _stream(self, start_revision: int) -> None:
        client = treq.client.HTTPClient(Agent(self.reactor))
        self.metrics.count_store_call(gateway.WATCH_PATH)
        body = json.dumps(gateway.encode_watch(CONTROL, start_revision)).encode()
        fut = ensureDeferred(
            client.post(self.store_url + gateway.WATCH_PATH, data=body, unbuffered=True)
        )
        response = await with_timeout(self.clock, fut, PLATFORM_TIMEOUT)
        lines = _Lines(self._take_batch)
        response.deliverBody(lines)
        await with_timeout(self.clock, lines.ended, WATCH_RENEWAL)

    def _take_batch(self, batch: WatchBatch) -> None:
        changes = _sort_control([event.kv for event in batch.events])
        self.mailbox.offer(
            states.ControlChanged(
                batch.revision, changes.members, changes.claims, changes.current
            )
        )

    async def _follow_platform(self) -> None:
        while True:
            await sleep(self.clock, PLATFORM_INTERVAL)
            try:
                fut = ensureDeferred(self._read_platform())
                listed = await with_timeout(self.clock, fut, PLATFORM_TIMEOUT)
            except Exception:
                # The list lags in any case; the last one stays in force.
                continue
            leaving, gone = frozenset(listed.leaving), frozenset(listed.gone)
            await self.mailbox.put(states.PlatformInstances(leaving, gone))

    async def _read_platform(self) -> PlatformList:
        response = await treq.get(self.platform_url, agent=Agent(self.reactor))
        return from_json(await response.content(), PlatformList)

    async def _tick(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            await self.mailbox.put(m.Tick())

    async def _end(self, lease: int) -> None:
        if lease:
            try:
                await ask_store(self.store, LeaseRevoke(lease))
            except StoreError:
                # The lease ends by itself if the store is away.
                log_event(Event.STORE_AWAY)
        self.on_end()


@frozen
class _Control:
    members: PMap
    claims: PMap
    current: Revision | None


def _sort_control(kvs: t.Iterable[KeyValue]) -> _Control:
    members: dict[str, Member | None] = {}
    claims: dict[str, Claim | None] = {}
    current = None
    for kv in kvs:
        if kv.key.startswith(MEMBERS):
            name = kv.key.removeprefix(MEMBERS)
            members[name] = from_json(kv.value, Member) if kv.value else None
        elif kv.key.startswith(CLAIMS):
            resource = kv.key.removeprefix(CLAIMS)
            claims[resource] = _read_claim(resource, kv)
        elif kv.key == CURRENT_REVISION and kv.value:
            current = from_json(kv.value, Revision)
    return _Control(pmap(members), pmap(claims), current)


def _read_claim(resource: str, kv: KeyValue) -> Claim | None:
    if not kv.value:
        return None
    return Claim(resource, from_json(kv.value, ClaimValue).owner, kv.create_revision)


class _Lines(Protocol):
    """Splits a watch stream into lines and decodes each.

    :param handle: Called with each batch of changes.
    """

    def __init__(self, handle: t.Callable[[WatchBatch], None]) -> None:
        self._handle = handle
        self._rest = b""
        self.ended: Deferred[None] = Deferred(lambda _: self._close())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a piece of the stream."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in filter(None, lines):
            batch = gateway.decode_watch(json.loads(line))
            if batch.events:
                self._handle(batch)

    def connectionLost(self, reason: t.Any = ResponseDone()) -> None:  # noqa: N802, B008
        """Note the end of the stream."""
        if not self.ended.called:
            self.ended.callback(None)

    def _close(self) -> None:
        transport: t.Any = self.transport
        if transport is not None:
            transport.loseConnection()
