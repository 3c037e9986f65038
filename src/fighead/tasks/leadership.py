"""The task that finds out who schedules, and stands for it when nobody does."""

import datetime as dt
import random
import typing as t
import uuid

from attrs import define, evolve, field, frozen

from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..decisions import election
from ..decisions.election import Leader
from ..exceptions import RequestError, StoreError, StoreOutcomeUnknownError
from ..log import Event, log_event
from ..mailbox import Mailbox, receive, spawn
from ..model import Member
from ..store import (
    JOB_CONTROL,
    JOB_LEADER,
    JOB_MEMBERS,
    JOB_TERM,
    Compare,
    Delete,
    KeyValue,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseResult,
    Put,
    Range,
    Txn,
    TxnResult,
)
from .watch import (
    STORE_TIMEOUT,
    Changes,
    Snapshot,
    StoreClient,
    StoreContact,
    WatchTask,
)

#: Time after which a renewal counts as failed, so that the next one is in time.
RENEWAL_TIMEOUT = dt.timedelta(milliseconds=700)
#: Pause before a member's key is written again after a failure.
RETRY_PAUSE = dt.timedelta(milliseconds=300)


@frozen
class ControlView:
    """Who schedules and which entries there are."""

    leader: Leader | None = None
    members: dict[str, Member] = field(factory=dict)


@frozen
class HeardLeader:
    """A peer told of a leader."""

    leader: Leader


@frozen
class HeardPeer:
    """A peer knows of no later leader than this entry."""


@frozen
class Fenced:
    """Another entry has given orders under a higher fence.

    :param fence: The fence of this entry that was refused.
    """

    fence: int


@frozen
class Resign:
    """The entry stops; another one may schedule at once."""


@frozen
class Stand:
    """It is this entry's turn to stand, if nobody schedules."""

    key_revision: int


@frozen
class Renewed:
    """A renewal of the leader's key was answered.

    :param is_alive: Whether the lease still exists.
    """

    is_alive: bool
    sent_at: dt.datetime


@frozen
class Won:
    """The leader's key was written for this entry."""

    leader: Leader
    lease: int
    sent_at: dt.datetime


@define(eq=False)
class LeadershipTask:
    """Owns the entry's keys under the control prefix.

    :param publish: Takes each new view.
    :param lead: Called with the leader when this entry was elected; the flag
        tells whether no other entry has led since it led before.
    :param follow: Called when this entry no longer schedules.
    """

    me: Member
    store: StoreClient
    clock: Clock
    random: random.Random
    publish: t.Callable[[ControlView], None]
    lead: t.Callable[[Leader, bool], None]
    follow: t.Callable[[], None]
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("leadership"))
    view: ControlView = ControlView()
    confirmed_at: dt.datetime | None = None
    _nonce: str = field(factory=lambda: uuid.uuid4().hex)
    _key: KeyValue = KeyValue(JOB_LEADER)
    _term: KeyValue = KeyValue(JOB_TERM)
    _led: Leader | None = None
    _is_leading: bool = False
    _is_standing: bool = False
    _is_resigned: bool = False
    _is_informed: bool = False
    _lease: int = 0

    @property
    def is_leading(self) -> bool:
        """Whether this entry schedules."""
        return self._is_leading

    async def run(self) -> None:
        """Follow the control keys until cancelled."""
        watch = WatchTask(
            self.store, JOB_CONTROL, self.clock, self.random, self.mailbox.offer
        )
        spawn(self._register())
        spawn(watch.run())
        spawn(self._keep_renewing())
        await receive(self.mailbox, self._handle, "leadership")

    async def _register(self) -> None:
        key = JOB_MEMBERS + self.me.name
        while True:
            try:
                await self.store.call(
                    Txn(success=(Put(key, to_json(self.me)),)), STORE_TIMEOUT
                )
                return
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="register", reason=exc.message)
                await sleep(self.clock, RETRY_PAUSE)

    def _handle(self, msg: t.Any) -> None:
        match msg:
            case Snapshot(kvs=kvs):
                self._take_snapshot(kvs)
            case Changes(events=events):
                for event in events:
                    kv = KeyValue(event.kv.key) if event.deleted else event.kv
                    self._take_key(kv)
            case HeardLeader(leader):
                self._take_leader(leader)
            case HeardPeer():
                self.confirmed_at = self.clock.now()
            case Fenced(fence):
                if self._led is not None and fence == self._led.fence:
                    self._step_down("its fence was refused")
            case Stand(key_revision):
                self._stand(key_revision)
            case Won():
                self._take_victory(msg)
            case Renewed():
                self._take_renewal(msg)
            case Resign():
                self._resign()
            case StoreContact():
                return
        self._consider_standing()

    # What the store and the peers say.

    def _take_snapshot(self, kvs: tuple[KeyValue, ...]) -> None:
        self._is_informed = True
        listed = {kv.key: kv for kv in kvs}
        members = {
            name: member
            for name, member in self.view.members.items()
            if JOB_MEMBERS + name in listed
        }
        self.view = evolve(self.view, members=members)
        for kv in kvs:
            self._take_key(kv)
        if JOB_LEADER not in listed:
            self._take_key(KeyValue(JOB_LEADER))

    def _take_key(self, kv: KeyValue) -> None:
        if kv.key == JOB_TERM:
            self._term = kv
        elif kv.key == JOB_LEADER:
            self._take_leader_key(kv)
        elif kv.key.startswith(JOB_MEMBERS):
            self._take_member(kv)

    def _take_member(self, kv: KeyValue) -> None:
        name = kv.key.removeprefix(JOB_MEMBERS)
        members = dict(self.view.members)
        members.pop(name, None)
        if kv.mod_revision:
            try:
                members[name] = from_json(kv.value, Member)
            except RequestError as exc:
                log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
        self._publish(evolve(self.view, members=members))

    def _take_leader_key(self, kv: KeyValue) -> None:
        self._key = kv
        if not kv.mod_revision:
            return
        try:
            leader = evolve(from_json(kv.value, Leader), fence=kv.mod_revision)
        except RequestError as exc:
            log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
            return
        self._take_leader(leader)

    def _take_leader(self, leader: Leader) -> None:
        if not election.is_newer(self.view.leader, leader):
            return
        if leader.nonce != self._nonce and self._is_leading:
            self._step_down(f"entry {leader.name} was elected for term {leader.term}")
        if leader.nonce != self._nonce:
            log_event(Event.LEADER_FOLLOWED, leader=leader.name, term=leader.term)
        self._publish(evolve(self.view, leader=leader))

    def _publish(self, view: ControlView) -> None:
        self.view = view
        self.publish(view)

    # Standing, renewing and stepping down.

    def _consider_standing(self) -> None:
        if not self._may_stand() or self._is_standing:
            return
        self._is_standing = True
        delay = election.candidacy_delay(
            self._next_term(), self.me.name, tuple(self.view.members)
        )
        if self._is_leading or self._is_own_key():
            delay = dt.timedelta()
        stand = Stand(self._key.mod_revision)
        self.clock.call_later(delay, lambda: self.mailbox.offer(stand))

    def _may_stand(self) -> bool:
        if not self._is_informed or self._is_resigned:
            return False
        return self._key.mod_revision == 0 or (
            self._is_own_key() and not self._is_leading
        )

    def _is_own_key(self) -> bool:
        """Whether an earlier process of this entry holds the key."""
        leader = self.view.leader
        return (
            self._key.mod_revision > 0
            and leader is not None
            and leader.fence == self._key.mod_revision
            and leader.name == self.me.name
        )

    def _next_term(self) -> int:
        known = self.view.leader.term if self.view.leader else 0
        stored = int(self._term.value) if self._term.value.isdigit() else 0
        return max(known, stored) + 1

    def _stand(self, key_revision: int) -> None:
        if not self._may_stand() or key_revision != self._key.mod_revision:
            self._is_standing = False
            return
        spawn(self._try_to_win())

    async def _try_to_win(self) -> None:
        try:
            await self._write_key()
        except StoreError as exc:
            log_event(Event.STORE_CALL_FAILED, what="stand", reason=exc.message)
            await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
        finally:
            self._is_standing = False
        self._consider_standing()

    async def _write_key(self) -> None:
        sent_at = self.clock.now()
        # What the write expects is what this entry stands on now: another may
        # be elected while the lease is granted.
        expected = (
            Compare(JOB_LEADER, self._key.mod_revision),
            Compare(JOB_TERM, self._term.mod_revision),
        )
        leader = Leader(self.me.name, self._next_term(), nonce=self._nonce)
        lease: LeaseResult = await self.store.call(
            LeaseGrant(election.LEADER_TTL_S), STORE_TIMEOUT
        )
        txn = Txn(
            expected,
            (
                Put(JOB_LEADER, to_json(leader), lease.lease),
                Put(JOB_TERM, str(leader.term)),
            ),
        )
        try:
            result: TxnResult = await self.store.call(txn, STORE_TIMEOUT)
        except StoreOutcomeUnknownError:
            await self._read_key()
            return
        if result.succeeded:
            won = evolve(leader, fence=result.revision)
            self.mailbox.offer(Won(won, lease.lease, sent_at))
            return
        found = {kv.key: kv for kv in result.kvs}
        for key in (JOB_TERM, JOB_LEADER):
            self._take_key(found.get(key, KeyValue(key)))

    async def _read_key(self) -> None:
        """Look whether a write without an answer has taken effect."""
        for key in (JOB_TERM, JOB_LEADER):
            result = await self.store.call(Range(key), STORE_TIMEOUT)
            self._take_key(next(iter(result.kvs), KeyValue(key)))

    def _take_victory(self, won: Won) -> None:
        leader = won.leader
        if self._is_resigned or not election.is_newer(self.view.leader, leader):
            return
        is_same_reign = (
            self._is_leading
            and self._led is not None
            and self.view.leader is not None
            and self.view.leader.nonce == self._nonce
        )
        self._lease, self.confirmed_at = won.lease, won.sent_at
        self._is_leading, self._led = True, leader
        self._key = KeyValue(JOB_LEADER, "", leader.fence, leader.fence)
        log_event(Event.LEADER_ELECTED, term=leader.term, fence=leader.fence)
        self._publish(evolve(self.view, leader=leader))
        self.lead(leader, is_same_reign)

    async def _keep_renewing(self) -> None:
        while True:
            await sleep(self.clock, election.RENEWAL_INTERVAL)
            if self._is_leading:
                spawn(self._renew(self._lease))

    async def _renew(self, lease: int) -> None:
        sent_at = self.clock.now()
        try:
            result = await self.store.call(LeaseKeepAlive(lease), RENEWAL_TIMEOUT)
        except StoreError:
            return
        if lease == self._lease:
            self.mailbox.offer(Renewed(result.ttl_s > 0, sent_at))

    def _take_renewal(self, renewed: Renewed) -> None:
        if not self._is_leading:
            return
        if renewed.is_alive:
            self.confirmed_at = renewed.sent_at
        else:
            # The lease has run out; the key may already belong to another.
            spawn(self._refresh_key())

    async def _refresh_key(self) -> None:
        try:
            await self._read_key()
        except StoreError as exc:
            log_event(Event.STORE_CALL_FAILED, what="leader", reason=exc.message)
        self._consider_standing()

    def _step_down(self, reason: str) -> None:
        if not self._is_leading:
            return
        self._is_leading = False
        log_event(Event.LEADER_DEPOSED, reason=reason)
        self.follow()
        spawn(self._refresh_key())

    def _resign(self) -> None:
        self._is_resigned = True
        if self._is_leading:
            fence = self.view.leader.fence if self.view.leader else 0
            self._step_down("the entry stops")
            spawn(self._give_key_back(fence))

    async def _give_key_back(self, fence: int) -> None:
        txn = Txn((Compare(JOB_LEADER, fence),), (Delete(JOB_LEADER),))
        try:
            await self.store.call(txn, STORE_TIMEOUT)
        except StoreError as exc:
            # The key runs out by itself within its lease.
            log_event(Event.STORE_CALL_FAILED, what="resign", reason=exc.message)
