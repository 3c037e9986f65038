"""The task that tracks the leader, and takes part in its election."""

import datetime as dt
import random
import typing as t
import uuid

from attrs import asdict, define, evolve, field, frozen
from twisted.internet.defer import Deferred

from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..decisions import authority, election
from ..decisions.authority import (
    Authority,
    Confirmation,
    ConfirmationSource,
    Electorate,
    Exclusion,
    InstanceAnswers,
    PossibleLeaders,
    StoredElectorate,
    read_electorate,
)
from ..decisions.election import Availability, Leader
from ..decisions.instance_tracking import AUTHORITY_TIMEOUT
from ..exceptions import RequestError, StoreError, StoreOutcomeUnknownError
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..model import Capacity, JobMember, Member
from ..store import (
    HANDOVER_KEY,
    JOB_CONTROL_PREFIX,
    JOB_ELECTORATE_KEY,
    JOB_LEADER_KEY,
    JOB_LEADERS_KEY,
    JOB_LEASES_KEY,
    JOB_MEMBERS_PREFIX,
    JOB_TERM_KEY,
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
    delete_if_unchanged,
)
from .call import Call
from .watch import (
    STORE_TIMEOUT,
    Changes,
    Snapshot,
    StoreClient,
    StoreContact,
    WatchTask,
)

#: Timeout of a lease renewal. With the renewal interval, it leaves time for another
#: renewal before the lease expires.
RENEWAL_TIMEOUT = dt.timedelta(milliseconds=700)
#: Timeout of the deletion of the member key, at the end of a planned stop.
LEAVE_TIMEOUT = dt.timedelta(milliseconds=400)
#: Keys that decide an election. A claim expects them as the candidate knows them.
ELECTION_KEYS = (JOB_TERM_KEY, JOB_ELECTORATE_KEY, JOB_LEADERS_KEY, JOB_LEADER_KEY)
#: Minimum time between two writes of the electorate because of other instances.
ELECTORATE_INTERVAL = dt.timedelta(seconds=2)
#: How long a member that has stopped answering the leader counts as an elector.
ELECTOR_MEMORY = dt.timedelta(seconds=10)
#: Age of the store's confirmation from which the leader asks instances to answer
#: sooner. The key is read more often while the store answers.
STORE_SILENCE = dt.timedelta(milliseconds=600)
#: Pause before a failed write of the member key or the leader key is retried.
RETRY_PAUSE = dt.timedelta(milliseconds=300)


@frozen
class ControlView:
    """The current leader, if one is known, and the member entries by name."""

    leader: Leader | None = None
    members: dict[str, JobMember] = field(factory=dict)


@frozen
class LeaderAnnounced:
    """A peer announced a leader that may be newer than the known one."""

    leader: Leader


@frozen
class PeerIntroduced:
    """A peer told where it is reached, while the store does not answer this entry."""

    name: str
    address: str


@frozen
class LeadershipConfirmed:
    """A peer knows of no later leader.

    It confirms this entry if it names it and answers one of its announcements. The
    answer may be handled long after it was sent, so that only the time of the
    announcement bounds its age.

    :param can_lead: Whether the peer could lead now.
    :param fence: Fence of the leader that the peer named.
    :param announced_at: When this entry sent the announcement that the peer answered.
    :param may_confirm: Whether the answer counts as a confirmation. Otherwise it only
        tells that the peer follows this entry.
    """

    peer: str
    can_lead: bool
    fence: int = 0
    announced_at: dt.datetime | None = None
    may_confirm: bool = True


@frozen
class InstancesAnswered:
    """Instances have answered calls of this leader.

    :param fence: Fence of the leader.
    :param answers: When the last answered call to each was sent, and the incarnation
        that answered, by ID of the instance.
    :param instances: All that are known and have answered in this term.
    """

    fence: int
    answers: t.Mapping[str, tuple[str, dt.datetime]]
    instances: tuple[str, ...]


@frozen
class OwnFenceRefused:
    """An instance or the store refused orders under a fence of this entry.

    :param fence: The refused fence.
    """

    fence: int


@frozen
class LoadFailed:
    """This entry leads and can't read the jobs, though the store confirms it.

    :param fence: Its fence.
    """

    fence: int


@frozen
class PeerReachesMore:
    """A peer reaches instances that this entry, which leads, does not.

    :param fence: Fence of this entry.
    """

    fence: int
    peer: str


@frozen
class YieldCandidacy:
    """The leader hands over, and better placed entries are to stand before this one."""


@frozen
class PredecessorsStopped:
    """The leader before this entry, and all before it, have stopped as planned.

    :param fence: Fence of this entry.
    """

    fence: int


@frozen
class Resign:
    """The entry is stopping; it deletes its leader key and is no longer a candidate."""


@frozen
class Leave:
    """Request to delete the member key; peers then close their connections."""


@frozen
class CandidacyDue:
    """The candidacy delay of this entry has passed.

    :param key_revision: Revision of the leader key when the delay began. If it has
        changed since, the candidacy is dropped.
    """

    key_revision: int


@frozen
class RenewalAnswered:
    """The store answered a renewal of the lease on the leader key.

    :param is_alive: Whether the lease still exists.
    :param sent_at: When the renewal was sent.
    """

    is_alive: bool
    sent_at: dt.datetime


@frozen
class ConfirmationWanted:
    """Requests a confirmation by the store without the wait for the next renewal."""


@frozen
class LeaderKeyRead:
    """The store answered a read of the leader key.

    :param fence: Fence of this entry when the read was sent.
    :param kv: The leader key; its revision is 0 if it is absent.
    """

    fence: int
    kv: KeyValue
    sent_at: dt.datetime


@frozen
class Elected:
    """This entry has written the leader key.

    :param lease: Id of the lease with which the key expires.
    :param sent_at: When the attempt began, before the lease was granted.
    :param electorate: The stored electorate, on which the write was conditional.
    :param earlier: The entries that may act as an earlier leader; ``None`` if they are
        not known.
    """

    leader: Leader
    lease: int
    sent_at: dt.datetime
    electorate: KeyValue
    earlier: PossibleLeaders | None


@frozen
class ElectorateWritten:
    """This entry has stored the electorate, and that no earlier leader may act."""

    kv: KeyValue
    leaders: KeyValue


@define(eq=False)
class LeadershipTask:
    """Owns the entry's keys under the control prefix.

    :param publish: Called with each new view.
    :param on_elected: Called after this entry is elected, with the leader and
        whether this process already led and no other has led since.
    :param on_deposed: Called when this entry stops being the leader.
    :param describe_handover: Called when this entry steps down as planned. It returns
        the record for the next leader; ``None`` if there is none.
    :param capacity: What this entry's machine provides.
    :param confirmation: What last confirmed this entry as the leader.
    """

    me: Member
    store: StoreClient
    clock: Clock
    random: random.Random
    publish: t.Callable[[ControlView], None]
    on_elected: t.Callable[[Leader, bool], None]
    on_deposed: t.Callable[[], None]
    capacity: Capacity = Capacity()
    describe_handover: t.Callable[[], str | None] = lambda: None
    mailbox: Mailbox[t.Any] = field(factory=lambda: Mailbox("leadership"))
    view: ControlView = ControlView()
    confirmation: Confirmation | None = None
    _nonce: str = field(factory=lambda: uuid.uuid4().hex)
    _leader_kv: KeyValue = KeyValue(JOB_LEADER_KEY)
    _term_kv: KeyValue = KeyValue(JOB_TERM_KEY)
    _electorate_kv: KeyValue = KeyValue(JOB_ELECTORATE_KEY)
    _leaders_kv: KeyValue = KeyValue(JOB_LEADERS_KEY)
    # The entries that may act as a leader of an earlier term than this entry, if known.
    _earlier_leaders: PossibleLeaders | None = None
    # The stored electorate; ``None`` if it can't be read.
    _electorate: Electorate | None = Electorate()
    # One that an unanswered write of this entry may yet store in its place.
    _requested_electorate: Electorate | None = None
    # Revision of that electorate; an older one that arrives late is ignored.
    _electorate_revision: int = 0
    _is_writing_electorate: bool = False
    # Number of reads of the leader key under way, and when the last one failed.
    _key_reads: int = 0
    _key_read_failed_at: dt.datetime | None = None
    # Result of this entry's latest election, kept after it steps down.
    _own_leader: Leader | None = None
    _is_leading: bool = False
    _is_candidate: bool = False
    _is_resigned: bool = False
    _has_snapshot: bool = False
    # Revision of the member key that this process wrote; 0 before.
    _member_revision: int = 0
    _lease: int = 0
    # When the last renewal that succeeded was sent. Unlike the confirmation, it shows
    # that the store was reached.
    _renewed_at: dt.datetime | None = None
    # When this entry last failed to become or remain the leader.
    _failed_at: dt.datetime | None = None
    _handed_over_at: dt.datetime | None = None
    # Until when this entry stands for election only after others.
    _yields_until: dt.datetime | None = None
    # By peer, while this entry leads.
    _availability: dict[str, Availability] = field(factory=dict)
    # When the announcement was sent with which each peer last confirmed this entry,
    # while it leads.
    _peer_confirmations: dict[str, dt.datetime] = field(factory=dict)
    # When each peer was sent the announcement with which it last followed this entry,
    # while it leads.
    _followed_by_peer: dict[str, dt.datetime] = field(factory=dict)
    # Answers of instances to this leader, and those that it counts on, by ID.
    _instance_answers: dict[str, InstanceAnswers] = field(factory=dict)
    _instances: tuple[str, ...] = ()
    _electorate_requested_at: dt.datetime | None = None
    # Revision of the latest record of the ends of leases, and when it was first seen.
    _lease_record_seen: tuple[int, dt.datetime | None] = (0, None)
    # When this entry was elected after another one led.
    _elected_at: dt.datetime | None = None
    # When no earlier leader could be confirmed any more, and why.
    _followed_at: dt.datetime | None = None
    _exclusion: Exclusion | None = None
    # Whether no earlier leader acts any more because each has stopped as planned.
    _are_predecessors_stopped: bool = False
    # When the store last confirmed this leader.
    _sole_at: dt.datetime | None = None
    # What confirmed the leader when its authority was last checked; ``None`` if it had
    # none.
    _logged_source: ConfirmationSource | None = None

    @property
    def is_leading(self) -> bool:
        """Whether this entry is the leader, as far as it knows."""
        return self._is_leading

    def can_lead(self) -> bool:
        """Whether this entry would be a candidate and has not failed recently."""
        return (
            self._has_snapshot
            and not self._is_resigned
            and not self._is_within(election.FAILURE_PAUSE, self._failed_at)
        )

    def may_act(self) -> bool:
        """Whether this entry, if it leads, may send orders now."""
        return self.confirmation is not None and authority.may_act(
            self.clock.now(), self.confirmation.at, AUTHORITY_TIMEOUT
        )

    def may_regain(self) -> bool:
        """Whether peers and instances may confirm this leader after a gap."""
        return (
            self._is_leading
            and self.confirmation is not None
            and self.needs_instances()
            and self._is_within(authority.MAX_CONFIRMATION_GAP, self.confirmation.at)
        )

    def read_authority(self) -> Authority:
        """Return what this entry, if it leads, may infer from silence."""
        support = authority.measure_support(
            self.me.name,
            self._electorate,
            self._followed_by_peer,
            self.clock.now() - AUTHORITY_TIMEOUT,
            self._instance_answers,
        )
        return Authority(self._sole_at, self._followed_at, self._exclusion, support)

    def needs_instances(self) -> bool:
        """Whether instances must confirm this leader because the store does not."""
        return not self._is_within(STORE_SILENCE, self._sole_at)

    def _is_within(self, interval: dt.timedelta, since: dt.datetime | None) -> bool:
        return since is not None and self.clock.now() - since < interval

    async def run(self) -> None:
        """Register the entry and take part in elections until cancelled."""
        watch = WatchTask(
            self.store, JOB_CONTROL_PREFIX, self.clock, self.random, self.mailbox.offer
        )
        spawn(self._register())
        spawn(watch.run())
        spawn(self._renew_periodically())
        await process_messages(self.mailbox, self._handle, "leadership")

    async def _register(self) -> None:
        key = JOB_MEMBERS_PREFIX + self.me.name
        member = JobMember(**asdict(self.me), capacity=self.capacity)
        while True:
            try:
                result: TxnResult = await self.store.call(
                    Txn(success=(Put(key, to_json(member)),)), STORE_TIMEOUT
                )
                self._member_revision = result.revision
                return
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="register", reason=exc.message)
                await sleep(self.clock, RETRY_PAUSE)

    async def _leave(self, reply: Deferred[None]) -> None:
        # The condition keeps the key of a process that has started since.
        key = JOB_MEMBERS_PREFIX + self.me.name
        try:
            if self._member_revision:
                txn = delete_if_unchanged(key, self._member_revision)
                await self.store.call(txn, LEAVE_TIMEOUT)
        except StoreError as exc:
            log_event(Event.STORE_CALL_FAILED, what="leave", reason=exc.message)
        finally:
            reply.callback(None)

    def _handle(self, msg: t.Any) -> None:
        match msg:
            case Snapshot(kvs=kvs):
                self._apply_snapshot(kvs)
            case Changes(events=events):
                for event in events:
                    kv = KeyValue(event.kv.key) if event.deleted else event.kv
                    self._apply_key(kv)
            case LeaderAnnounced(leader):
                self._update_leader(leader)
            case PeerIntroduced():
                self._add_peer(msg)
            case LeadershipConfirmed(peer, can_lead):
                self._handle_confirmation(msg)
                self._handle_report(peer, can_lead)
            case InstancesAnswered():
                self._handle_answered_instances(msg)
            case OwnFenceRefused(fence):
                if self._own_leader is not None and fence == self._own_leader.fence:
                    self._fail("the fence of this entry was refused")
            case LoadFailed(fence):
                self._yield_leadership(fence)
            case PeerReachesMore(fence, peer):
                if self._own_leader is not None and fence == self._own_leader.fence:
                    self._hand_over(peer, "reaches more instances")
            case YieldCandidacy():
                self._yields_until = self.clock.now() + election.HANDOVER_YIELD
            case PredecessorsStopped(fence):
                self._note_stopped_predecessors(fence)
            case CandidacyDue(key_revision):
                self._start_candidacy(key_revision)
            case Elected():
                self._handle_elected(msg)
            case RenewalAnswered():
                self._handle_renewal(msg)
            case LeaderKeyRead():
                self._handle_read_key(msg)
            case ConfirmationWanted():
                self._request_confirmation()
            case ElectorateWritten(kv, leaders):
                self._apply_electorate(kv)
                self._leaders_kv = leaders
            case Resign():
                self._resign()
            case Call(Leave(), reply):
                spawn(self._leave(reply))
            case StoreContact():
                return
        self._note_followers()
        self._log_authority()
        self._schedule_candidacy()

    # State reported by the store and by peers.

    def _apply_snapshot(self, kvs: tuple[KeyValue, ...]) -> None:
        self._has_snapshot = True
        listed = {kv.key: kv for kv in kvs}
        members = {
            name: member
            for name, member in self.view.members.items()
            if JOB_MEMBERS_PREFIX + name in listed
        }
        self.view = evolve(self.view, members=members)
        for kv in kvs:
            self._apply_key(kv)
        for key in (JOB_ELECTORATE_KEY, JOB_LEADERS_KEY, JOB_LEADER_KEY):
            if key not in listed:
                self._apply_key(KeyValue(key))

    def _apply_key(self, kv: KeyValue) -> None:
        if kv.key == JOB_TERM_KEY:
            self._term_kv = kv
        elif kv.key == JOB_ELECTORATE_KEY:
            self._apply_electorate(kv)
        elif kv.key == JOB_LEADERS_KEY:
            self._leaders_kv = kv
        elif kv.key == JOB_LEADER_KEY:
            self._apply_leader_key(kv)
        elif kv.key == JOB_LEASES_KEY:
            self._note_lease_record(kv)
        elif kv.key.startswith(JOB_MEMBERS_PREFIX):
            self._apply_member(kv)

    def _apply_electorate(self, kv: KeyValue) -> None:
        self._electorate_kv = kv
        if kv.mod_revision > self._electorate_revision:
            self._set_electorate(kv)

    def _set_electorate(self, kv: KeyValue) -> None:
        self._electorate_kv, self._electorate_revision = kv, kv.mod_revision
        # A write that expects an earlier revision can't take effect any more.
        self._requested_electorate = None
        if not kv.mod_revision:
            self._electorate = Electorate()
            return
        try:
            stored = from_json(kv.value, StoredElectorate)
            self._electorate = read_electorate(stored)
        except RequestError as exc:
            self._electorate = None
            log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)

    def _read_possible_leaders(self, term: int) -> PossibleLeaders | None:
        """Return the entries that may act as a leader; ``None`` if they are not known.

        Entries of earlier versions don't record their elections.

        :param term: The latest term.
        """
        kv = self._leaders_kv
        if not kv.mod_revision:
            return None
        try:
            leaders = from_json(kv.value, PossibleLeaders)
        except RequestError as exc:
            log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
            return None
        return leaders if leaders.term == term else None

    def _note_lease_record(self, kv: KeyValue) -> None:
        """Note when a record was seen, which is later than when it was written."""
        if kv.mod_revision != self._lease_record_seen[0]:
            self._lease_record_seen = (kv.mod_revision, self.clock.now())

    def find_lease_record_date(self, revision: int) -> dt.datetime | None:
        """Return when this entry first saw a revision of the stored ends of leases."""
        seen, at = self._lease_record_seen
        return at if seen == revision else None

    def _apply_member(self, kv: KeyValue) -> None:
        name = kv.key.removeprefix(JOB_MEMBERS_PREFIX)
        members = dict(self.view.members)
        members.pop(name, None)
        if kv.mod_revision:
            try:
                members[name] = from_json(kv.value, JobMember)
            except RequestError as exc:
                log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
        self._publish(evolve(self.view, members=members))

    def _add_peer(self, peer: PeerIntroduced) -> None:
        """Add a peer to the members until the store tells who they are."""
        if peer.name not in self.view.members:
            member = JobMember(peer.name, "", peer.address)
            members = {**self.view.members, peer.name: member}
            self._publish(evolve(self.view, members=members))

    def _apply_leader_key(self, kv: KeyValue) -> None:
        self._leader_kv = kv
        if not kv.mod_revision:
            return
        try:
            leader = evolve(from_json(kv.value, Leader), fence=kv.mod_revision)
        except RequestError as exc:
            log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
            return
        self._update_leader(leader)

    def _update_leader(self, leader: Leader) -> None:
        if not election.is_newer(self.view.leader, leader):
            return
        if leader.nonce != self._nonce and self._is_leading:
            self._fail(f"entry {leader.name} was elected for term {leader.term}")
        if leader.nonce != self._nonce:
            log_event(
                Event.LEADER_FOLLOWED,
                leader=leader.name,
                term=leader.term,
                fence=leader.fence,
                previous=self._leader_name(),
            )
        self._publish(evolve(self.view, leader=leader))

    def _leader_name(self) -> str:
        return self.view.leader.name if self.view.leader else ""

    def _publish(self, view: ControlView) -> None:
        self.view = view
        self.publish(view)

    # Candidacy, renewal, stepping down and handing over.

    def _schedule_candidacy(self) -> None:
        if not self._is_eligible() or self._is_candidate:
            return
        self._is_candidate = True
        delay = election.candidacy_delay(
            self._next_term(), self.me.name, self._find_capacities()
        )
        if self._is_leading or self._holds_leader_key():
            delay = dt.timedelta()
        if self._yields_until is not None:
            delay = max(delay, self._yields_until - self.clock.now())
        due = CandidacyDue(self._leader_kv.mod_revision)
        self.clock.call_later(delay, lambda: self.mailbox.offer(due))

    def _find_capacities(self) -> dict[str, Capacity]:
        members = self.view.members.items()
        return {name: member.capacity for name, member in members} | {
            self.me.name: self.capacity
        }

    def _is_eligible(self) -> bool:
        if not self._has_snapshot or self._is_resigned:
            return False
        return self._leader_kv.mod_revision == 0 or (
            self._holds_leader_key() and not self._is_leading
        )

    def _holds_leader_key(self) -> bool:
        """Whether the leader key names this entry, maybe from an earlier process."""
        leader = self.view.leader
        return (
            self._leader_kv.mod_revision > 0
            and leader is not None
            and leader.fence == self._leader_kv.mod_revision
            and leader.name == self.me.name
        )

    def _next_term(self) -> int:
        known = self.view.leader.term if self.view.leader else 0
        return max(known, election.decode_term(self._term_kv.value)) + 1

    def _start_candidacy(self, key_revision: int) -> None:
        if not self._is_eligible() or key_revision != self._leader_kv.mod_revision:
            self._is_candidate = False
            return
        spawn(self._claim_leadership())

    async def _claim_leadership(self) -> None:
        try:
            await self._write_leader_key()
        except StoreError as exc:
            log_event(Event.STORE_CALL_FAILED, what="stand", reason=exc.message)
            self._failed_at = self.clock.now()
            await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
        finally:
            self._is_candidate = False
        self._schedule_candidacy()

    async def _write_leader_key(self) -> None:
        sent_at = self.clock.now()
        # The revisions are taken before the lease is granted, so that the write fails
        # if another entry is elected in the meantime.
        electorate, term = self._electorate_kv, self._next_term()
        earlier = self._read_possible_leaders(term - 1)
        expected = (
            Compare(JOB_LEADER_KEY, self._leader_kv.mod_revision),
            Compare(JOB_TERM_KEY, self._term_kv.mod_revision),
            Compare(JOB_ELECTORATE_KEY, electorate.mod_revision),
            Compare(JOB_LEADERS_KEY, self._leaders_kv.mod_revision),
        )
        leader = Leader(self.me.name, term, nonce=self._nonce)
        lease: LeaseResult = await self.store.call(
            LeaseGrant(election.LEADER_TTL_S), STORE_TIMEOUT
        )
        puts = [
            Put(JOB_LEADER_KEY, to_json(leader), lease.lease),
            Put(JOB_TERM_KEY, str(leader.term)),
        ]
        if earlier is not None:
            puts.append(Put(JOB_LEADERS_KEY, to_json(earlier.add(leader.name))))
        txn = Txn(expected, tuple(puts))
        try:
            result: TxnResult = await self.store.call(txn, STORE_TIMEOUT)
        except StoreOutcomeUnknownError:
            await self._read_election_keys()
            return
        if result.succeeded:
            elected = evolve(leader, fence=result.revision)
            self.mailbox.offer(
                Elected(elected, lease.lease, sent_at, electorate, earlier)
            )
            return
        found = {kv.key: kv for kv in result.kvs}
        for key in ELECTION_KEYS:
            self._apply_key(found.get(key, KeyValue(key)))

    async def _read_election_keys(self) -> None:
        """Read the keys, to learn whether an unanswered write took effect."""
        for key in ELECTION_KEYS:
            result = await self.store.call(Range(key), STORE_TIMEOUT)
            self._apply_key(next(iter(result.kvs), KeyValue(key)))

    def _handle_elected(self, elected: Elected) -> None:
        leader = elected.leader
        known = self.view.leader
        # The watch may report this election before its answer arrives.
        is_outdated = known is not None and election.is_newer(leader, known)
        if self._is_resigned or is_outdated:
            return
        # Every election raises the term by one, also one that this entry missed.
        is_uninterrupted = (
            self._is_leading
            and self._own_leader is not None
            and leader.term == self._own_leader.term + 1
        )
        self._lease, self._renewed_at = elected.lease, elected.sent_at
        self.confirmation = Confirmation(elected.sent_at, ConfirmationSource.ELECTION)
        self._sole_at = elected.sent_at
        # A write of the electorate under an earlier fence can't take effect any more.
        self._set_electorate(elected.electorate)
        self._earlier_leaders = elected.earlier
        self._peer_confirmations.clear()
        self._followed_by_peer.clear()
        if not is_uninterrupted:
            self._instance_answers.clear()
            self._elected_at = self.clock.now()
            self._followed_at = self._exclusion = None
            self._are_predecessors_stopped = False
        if not self._is_leading:
            self._logged_source = ConfirmationSource.STORE
        self._is_leading, self._own_leader = True, leader
        self._leader_kv = KeyValue(JOB_LEADER_KEY, "", leader.fence, leader.fence)
        took = self.clock.now() - elected.sent_at
        log_event(
            Event.LEADER_ELECTED,
            term=leader.term,
            fence=leader.fence,
            previous=self._leader_name(),
            took_ms=int(took.total_seconds() * 1000),
            is_uninterrupted=is_uninterrupted,
        )
        self._publish(evolve(self.view, leader=leader))
        self.on_elected(leader, is_uninterrupted)

    async def _renew_periodically(self) -> None:
        while True:
            await sleep(self.clock, election.RENEWAL_INTERVAL)
            self._log_authority()
            if self._is_leading and self._own_leader is not None:
                # A leader that reaches the store and hears nothing must be replaced.
                if self._is_within(AUTHORITY_TIMEOUT, self._sole_at):
                    spawn(self._renew(self._lease))
                spawn(self._read_leader_key(self._own_leader.fence))
                self._update_electorate(self._own_leader.fence)

    async def _renew(self, lease: int) -> None:
        sent_at = self.clock.now()
        try:
            result = await self.store.call(LeaseKeepAlive(lease), RENEWAL_TIMEOUT)
        except StoreError as exc:
            # The next renewal follows before the lease expires.
            log_event(Event.STORE_CALL_FAILED, what="renew", reason=exc.message)
            return
        if lease == self._lease:
            self.mailbox.offer(RenewalAnswered(result.ttl_s > 0, sent_at))

    def _handle_renewal(self, renewed: RenewalAnswered) -> None:
        if not self._is_leading:
            return
        if renewed.is_alive:
            self._renewed_at = renewed.sent_at
        else:
            # The lease has expired; another entry may already hold the leader key.
            spawn(self._refresh_election_keys())

    def _request_confirmation(self) -> None:
        """Read the leader key, unless a read is under way or has just failed."""
        has_failed = self._is_within(RETRY_PAUSE, self._key_read_failed_at)
        if self._own_leader is None or not self._is_leading:
            return
        if not (self._key_reads or has_failed):
            spawn(self._read_leader_key(self._own_leader.fence))

    async def _read_leader_key(self, fence: int) -> None:
        """Read the leader key, which may be gone although its lease lives."""
        sent_at = self.clock.now()
        self._key_reads += 1
        try:
            result = await self.store.call(Range(JOB_LEADER_KEY), RENEWAL_TIMEOUT)
        except StoreError as exc:
            self._key_read_failed_at = self.clock.now()
            log_event(Event.STORE_CALL_FAILED, what="confirm", reason=exc.message)
            return
        finally:
            self._key_reads -= 1
        kv = next(iter(result.kvs), KeyValue(JOB_LEADER_KEY))
        self.mailbox.offer(LeaderKeyRead(fence, kv, sent_at))

    def _handle_read_key(self, read: LeaderKeyRead) -> None:
        own = self._own_leader
        if not self._is_leading or own is None or read.fence != own.fence:
            return
        if read.kv.mod_revision == own.fence:
            self._sole_at = max(self._sole_at or read.sent_at, read.sent_at)
            self._confirm(read.sent_at, ConfirmationSource.STORE)
            if not self._is_within(AUTHORITY_TIMEOUT, self._renewed_at):
                spawn(self._renew(self._lease))
        elif not self._is_candidate:
            spawn(self._refresh_election_keys())

    async def _refresh_election_keys(self) -> None:
        try:
            await self._read_election_keys()
        except StoreError as exc:
            log_event(Event.STORE_CALL_FAILED, what="leader", reason=exc.message)
        self._schedule_candidacy()

    def _fail(self, reason: str) -> None:
        """Step down because this entry could not remain the leader."""
        if self._is_leading:
            self._failed_at = self.clock.now()
            self._step_down(reason)

    def _step_down(self, reason: str) -> None:
        if not self._is_leading:
            return
        self._is_leading = False
        term = self._own_leader.term if self._own_leader else 0
        log_event(
            Event.LEADER_DEPOSED,
            reason=reason,
            term=term,
            **self._describe_confirmation(),
        )
        self._availability.clear()
        self._peer_confirmations.clear()
        self._followed_by_peer.clear()
        self._instance_answers.clear()
        self._followed_at = self._exclusion = self._sole_at = None
        self.on_deposed()
        spawn(self._refresh_election_keys())

    def _resign(self) -> None:
        self._is_resigned = True
        if self._is_leading:
            fence = self.view.leader.fence if self.view.leader else 0
            left = self.describe_handover()
            self._step_down("the entry is stopping")
            spawn(self._delete_leader_key(fence, left))

    # Confirmation by the store, or by peers and instances.

    def _handle_confirmation(self, msg: LeadershipConfirmed) -> None:
        own = self._own_leader
        is_confirmed = self._is_leading and own is not None and msg.fence == own.fence
        if not is_confirmed or msg.announced_at is None:
            return
        at = min(msg.announced_at, self.clock.now())
        known = self._followed_by_peer.get(msg.peer, at)
        self._followed_by_peer[msg.peer] = max(known, at)
        if not msg.may_confirm:
            return
        known = self._peer_confirmations.get(msg.peer, at)
        self._peer_confirmations[msg.peer] = max(known, at)
        self._confirm_without_store()

    def _handle_answered_instances(self, msg: InstancesAnswered) -> None:
        own = self._own_leader
        if not self._is_leading or own is None or msg.fence != own.fence:
            return
        self._instances = msg.instances
        for instance_id, (incarnation, sent_at) in msg.answers.items():
            self._instance_answers[instance_id] = authority.add_answer(
                self._instance_answers.get(instance_id), incarnation, sent_at
            )
        if self._must_store_confirm_first():
            self._request_confirmation()
        self._confirm_without_store()

    def _must_store_confirm_first(self) -> bool:
        """Whether too many instances have first answered since the store confirmed.

        They can't confirm this leader until the store has confirmed it once more.
        """
        stored = (self._electorate.instances if self._electorate else None) or ()
        confirming = authority.find_confirming_instances(
            self._instance_answers, self._sole_at
        )
        answered = self._instance_answers.keys() & set(stored)
        needed = authority.count_needed(stored)
        return len(confirming.keys() & answered) < needed <= len(answered)

    def _confirm_without_store(self) -> None:
        """Take over what peers and instances confirm while the store is silent.

        After a long gap they don't restore an authority: peers that have restarted may
        have followed a later leader in between.
        """
        if self._is_within(election.RENEWAL_INTERVAL, self._sole_at):
            return
        date = self._find_majority_date()
        if (
            date is not None
            and self.confirmation is not None
            and date - self.confirmation.at < authority.MAX_CONFIRMATION_GAP
        ):
            self._confirm(date, ConfirmationSource.PEERS)

    def _find_majority_date(self) -> dt.datetime | None:
        """Return the latest time at which enough of the electorate confirmed it.

        Before the electorate includes this entry, an earlier leader may count others.
        """
        if self._electorate is None or self._sole_at is None:
            return None
        possible = [self._electorate]
        if self._requested_electorate is not None:
            possible.append(self._requested_electorate)
        instances = authority.find_confirming_instances(
            self._instance_answers, self._sole_at
        )
        dates = [
            authority.find_confirmation_date(
                self.me.name,
                electorate,
                self._peer_confirmations,
                instances,
                self._sole_at,
            )
            for electorate in possible
        ]
        known = [date for date in dates if date is not None]
        return min(known) if len(known) == len(possible) else None

    def _confirm(self, at: dt.datetime, source: ConfirmationSource) -> None:
        """Record a confirmation, unless a later one is known."""
        if self.confirmation is None or at > self.confirmation.at:
            self.confirmation = Confirmation(at, source)

    def _note_followers(self) -> None:
        """Note when no earlier leader can be confirmed any more."""
        elected_at = self._elected_at
        if not self._is_leading or elected_at is None or self._followed_at is not None:
            return
        now = self.clock.now()
        earlier = self._earlier_leaders
        self._exclusion = authority.find_exclusion(
            self.me.name,
            self._electorate,
            self._followed_by_peer,
            now - AUTHORITY_TIMEOUT,
            self._instance_answers,
            now - elected_at,
            earlier.names if earlier is not None else None,
        )
        if self._exclusion is not None:
            self._followed_at = now

    def _note_stopped_predecessors(self, fence: int) -> None:
        own = self._own_leader
        if not self._is_leading or own is None or fence != own.fence:
            return
        self._are_predecessors_stopped = True
        if self._followed_at is None:
            self._followed_at = self.clock.now()
            self._exclusion = Exclusion.HANDOVER

    # The electorate.

    def _update_electorate(self, fence: int) -> None:
        """Store the members and instances as the electorate, if they have changed.

        No earlier leader may count on the stored one any more. The same write records
        this entry as the only one that may act as the leader.
        """
        names = self._find_electors()
        known = self._electorate
        if self._is_writing_electorate or not self._is_sole_leader():
            return
        is_answered = self._requested_electorate is None
        if is_answered and known is not None and known.names == names:
            is_current = (
                known.instances == self._instances and self._is_recorded_as_sole()
            )
            requested_at = self._electorate_requested_at
            if is_current or self._is_within(ELECTORATE_INTERVAL, requested_at):
                return
        self._electorate_requested_at = self.clock.now()
        spawn(self._write_electorate(fence, names))

    def _is_recorded_as_sole(self) -> bool:
        """Whether the store tells that no other entry may act as the leader."""
        own = self._own_leader
        leaders = self._read_possible_leaders(own.term) if own is not None else None
        return leaders is not None and leaders.names == (self.me.name,)

    def _find_electors(self) -> tuple[str, ...]:
        """Return the members that have followed this leader lately.

        One that is gone for good would keep the others from being all of them. A new
        leader adds those that followed the one before.
        """
        is_new = self._is_within(ELECTOR_MEMORY, self._elected_at)
        electorate = self._electorate or Electorate()
        earlier = electorate.names or self.view.members
        return tuple(
            sorted(
                name
                for name in self.view.members
                if (is_new and name in earlier)
                or name == self.me.name
                or self._is_within(ELECTOR_MEMORY, self._followed_by_peer.get(name))
            )
        )

    def _is_sole_leader(self) -> bool:
        since = self._followed_at
        is_sole = self._are_predecessors_stopped or (
            since is not None and not self._is_within(AUTHORITY_TIMEOUT, since)
        )
        return is_sole and self._is_within(AUTHORITY_TIMEOUT, self._sole_at)

    async def _write_electorate(self, fence: int, names: tuple[str, ...]) -> None:
        known = self._electorate_kv
        # An unanswered write is repeated, so that there is one other at the most.
        requested = self._requested_electorate or Electorate(names, self._instances)
        value = to_json(StoredElectorate(electorate=requested))
        term = self._own_leader.term if self._own_leader else 0
        leaders = to_json(PossibleLeaders(term, (self.me.name,)))
        self._is_writing_electorate, self._requested_electorate = True, requested
        txn = Txn(
            (
                Compare(JOB_LEADER_KEY, fence),
                Compare(JOB_ELECTORATE_KEY, known.mod_revision),
            ),
            (Put(JOB_ELECTORATE_KEY, value), Put(JOB_LEADERS_KEY, leaders)),
        )
        try:
            result: TxnResult = await self.store.call(txn, STORE_TIMEOUT)
            if result.succeeded:
                kvs = (
                    KeyValue(key, written, 0, result.revision)
                    for key, written in (
                        (JOB_ELECTORATE_KEY, value),
                        (JOB_LEADERS_KEY, leaders),
                    )
                )
                self.mailbox.offer(ElectorateWritten(*kvs))
            else:
                await self._read_election_keys()
        except StoreError as exc:
            # It is written again, which prevents that this write takes effect later.
            log_event(Event.STORE_CALL_FAILED, what="electorate", reason=exc.message)
        finally:
            self._is_writing_electorate = False

    # The log of the authority.

    def _log_authority(self) -> None:
        """Log when the leader loses or regains its authority, or a part of it."""
        source = self._find_source()
        known, self._logged_source = self._logged_source, source
        if not self._is_leading or source is known:
            return
        if source is None:
            event = Event.AUTHORITY_ENDED
        elif source is ConfirmationSource.PEERS:
            event = Event.AUTHORITY_LIMITED
        elif known is None:
            event = Event.AUTHORITY_REGAINED
        else:
            event = Event.AUTHORITY_RESTORED
        log_event(
            event,
            term=self._own_leader.term if self._own_leader else 0,
            **self._describe_confirmation(),
        )

    def _find_source(self) -> ConfirmationSource | None:
        """Return what this leader's authority rests on; ``None`` if it has none."""
        if not self.may_act():
            return None
        is_sole = self._is_within(AUTHORITY_TIMEOUT, self._sole_at)
        return ConfirmationSource.STORE if is_sole else ConfirmationSource.PEERS

    def _describe_confirmation(self) -> dict[str, t.Any]:
        """Return the fields of the log that tell what last confirmed this entry."""
        if self.confirmation is None:
            return {}
        dates = self._peer_confirmations.values()
        age = self.clock.now() - self.confirmation.at
        return {
            "confirmed_by": self.confirmation.source.value,
            "age_ms": int(age.total_seconds() * 1000),
            "peers": sum(self._is_within(AUTHORITY_TIMEOUT, date) for date in dates),
            "members": len(self.view.members.keys() | {self.me.name}),
        }

    # Hand-over to a better placed peer.

    def _handle_report(self, peer: str, can_lead: bool) -> None:
        if not self._is_leading:
            return
        known = self._availability.pop(peer, None)
        availability = election.add_report(known, can_lead, self.clock.now())
        if availability is None:
            return
        self._availability[peer] = availability
        if election.is_successor(
            self.me.name, peer, self._find_capacities(), availability
        ):
            self._hand_over(peer, "can carry more")

    def _may_hand_over(self) -> bool:
        """Whether the leader key is certainly held and the store was reached."""
        return (
            self._own_leader is not None
            and self._leader_kv.mod_revision == self._own_leader.fence
            and not self._is_candidate
            and self._is_within(
                dt.timedelta(seconds=election.LEADER_TTL_S), self._renewed_at
            )
            and not self._is_within(election.HANDOVER_INTERVAL, self._handed_over_at)
        )

    def _hand_over(self, peer: str, reason: str) -> None:
        """Step down for a peer if that is possible now.

        :param reason: Why the peer is better placed.
        """
        if not self._is_leading or not self._may_hand_over():
            return
        self._note_handover()
        capacities = self._find_capacities()
        log_event(
            Event.LEADER_HANDED_OVER,
            peer=peer,
            reason=reason,
            peer_capacity=asdict(capacities.get(peer, Capacity())),
            capacity=asdict(self.capacity),
        )
        fence, left = self._leader_kv.mod_revision, self.describe_handover()
        self._step_down(f"entry {peer} {reason}")
        spawn(self._delete_leader_key(fence, left))

    def _note_handover(self) -> None:
        self._handed_over_at = self.clock.now()
        self._yields_until = self._handed_over_at + election.HANDOVER_YIELD

    def _yield_leadership(self, fence: int) -> None:
        """Let any other entry lead, and stand for election after it."""
        if self._own_leader is None or fence != self._own_leader.fence:
            return
        if self._is_leading:
            self._note_handover()
            left = self.describe_handover()
            self._fail("the jobs can't be read")
            spawn(self._delete_leader_key(fence, left))

    async def _delete_leader_key(self, fence: int, left: str | None) -> None:
        """Delete the leader key, and store what this leader leaves to the next one."""
        puts = (Put(HANDOVER_KEY, left),) if left is not None else ()
        txn = Txn((Compare(JOB_LEADER_KEY, fence),), (*puts, Delete(JOB_LEADER_KEY)))
        try:
            await self.store.call(txn, STORE_TIMEOUT)
        except StoreError as exc:
            # The key expires with its lease.
            log_event(Event.STORE_CALL_FAILED, what="resign", reason=exc.message)
