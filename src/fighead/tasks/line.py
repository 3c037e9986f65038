"""The task that holds the line of one upstream's plans and watches."""

import datetime as dt
import random
import typing as t

from attrs import define, evolve, field
from twisted.internet.defer import Deferred

from .. import message as m
from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..decisions import line as deciding
from ..decisions import line_state as states
from ..decisions.line import LineState
from ..exceptions import LeaseLostError, StoreError, StoreUnavailableError
from ..log import Event, log_event
from ..mailbox import Mailbox, receive, spawn
from ..model import StoredRecord, WorkRecord, work_id
from ..store import CLAIMS, WORK, Compare, KeyValue, LeaseGrant, Put, Range, Txn
from .call import Call
from .settle import settle
from .store import StoreCall, ask_store, read_prefix

TICK_INTERVAL = dt.timedelta(seconds=1)
#: Time within which new work must be recorded.
CREATE_TIMEOUT = dt.timedelta(seconds=5)
RETRY_PAUSE = dt.timedelta(milliseconds=500)
#: Time for which the store keeps the record of work that has ended.
RETENTION = dt.timedelta(days=3)
#: Age from which on a retention lease is not used for further records.
RETENTION_LEASE_AGE = dt.timedelta(days=1)


@define(eq=False)
class LineTask:
    """Holds one line: its state, its mailbox and those who wait for answers.

    :param epoch: Epoch of the claim on the line, a condition of every write.
    :param tell_owner: Sends a message to the owner of an instance.
    """

    state: LineState
    resource: str
    epoch: int
    clock: Clock
    random: random.Random
    store: Mailbox[StoreCall]
    tell_owner: t.Callable[[str, t.Any], None]
    mailbox: Mailbox[t.Any] = field(init=False)
    is_closing: bool = False
    _submits: dict[str, list[Deferred[t.Any]]] = field(factory=dict)
    _queries: dict[str, list[Deferred[t.Any]]] = field(factory=dict)
    _writes: int = 0
    _retention_lease: int = 0
    _retention_since: dt.datetime | None = None
    _idle: Deferred[None] | None = None
    _children: list[Deferred] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.mailbox = Mailbox(self.resource, 8192)

    async def run(self) -> None:
        """Rebuild the line, then serve the mailbox until cancelled."""
        self._children = [spawn(self._load()), spawn(self._tick())]
        try:
            await receive(self.mailbox, self._handle, self.mailbox.name)
        finally:
            for child in self._children:
                child.cancel()
            self._answer_rest()

    def _handle(self, msg: t.Any) -> None:
        if isinstance(msg, Call):
            if self._answer_query(msg):
                return
            msg = self._take_call(msg)
            if msg is None:
                return
        step = deciding.decide(self.state, msg, self.clock.now())
        self.state = step.state
        for effect in step.effects:
            self._carry_out(effect)

    def _take_call(self, call: Call) -> t.Any:
        message = call.message
        if isinstance(message, m.SubmitWork):
            if self.is_closing:
                reason = "The line moves to another entry."
                call.reply.callback(m.NotRun(reason, states.SHORT_RETRY_DELAY, True))
                return None
            key = message.record.work_id
            self._submits.setdefault(key, []).append(call.reply)
        elif isinstance(message, m.CancelWork):
            self._answer_cancel(call)
        return message

    def _answer_cancel(self, call: Call) -> None:
        message = call.message
        found = self.state.items.get(work_id(message.caller, message.request_id))
        if found is None:
            call.reply.callback(_unknown_work(message.request_id))
        else:
            call.reply.callback(m.Accepted(found.in_flight_record or found.record))

    def _answer_query(self, call: Call) -> bool:
        message = call.message
        if not isinstance(message, m.QueryWork):
            return False
        key = work_id(message.caller, message.request_id)
        found = self.state.items.get(key)
        if found is None:
            call.reply.callback(_unknown_work(message.request_id))
        elif found.stored.mod_revision == 0 and not message.wait:
            call.reply.callback(m.Unknown("The work is being recorded."))
        elif found.record.phase.is_final or not message.wait:
            call.reply.callback(m.Accepted(found.record))
        else:
            self._wait_for_end(key, message.wait, call.reply)
        return True

    def _wait_for_end(
        self, key: str, wait: dt.timedelta, reply: Deferred[t.Any]
    ) -> None:
        self._queries.setdefault(key, []).append(reply)
        self.clock.call_later(wait, lambda: self._end_wait(key, reply))

    def _end_wait(self, key: str, reply: Deferred[t.Any]) -> None:
        replies = self._queries.get(key, [])
        if reply not in replies:
            return
        replies.remove(reply)
        found = self.state.items.get(key)
        if found is None:
            reply.callback(m.Unknown("The line has moved; ask again by id."))
        else:
            reply.callback(m.Accepted(found.record))

    def _carry_out(self, effect: t.Any) -> None:
        match effect:
            case states.WriteRecord(record, mod_revision):
                self._writes += 1
                spawn(self._write(record, mod_revision))
            case states.AnswerSubmit(key, outcome):
                for reply in self._submits.pop(key, []):
                    reply.callback(outcome)
            case states.AnswerQueries(record):
                for reply in self._queries.pop(record.work_id, []):
                    reply.callback(m.Accepted(record))
            case states.SendToOwner(instance, message):
                self.tell_owner(instance, message)
            case states.LogParked(record):
                log_event(Event.WORK_PARKED, work=record.work_id, reason=record.reason)

    async def _write(self, record: WorkRecord, mod_revision: int) -> None:
        stamped = evolve(record, write_id=f"{self.random.getrandbits(64):016x}")
        msg = None
        while msg is None:
            lease = await self._take_lease() if record.phase.is_final else 0
            txn = self._make_txn(stamped, mod_revision, lease)
            try:
                msg = await self._settle(record, txn, is_new=mod_revision == 0)
            except LeaseLostError:
                self._retention_since = None
        await self.mailbox.put(msg)
        self._writes -= 1
        self._check_idle()

    def _make_txn(self, record: WorkRecord, mod_revision: int, lease: int) -> Txn:
        key = record_key(record.upstream, record.work_id)
        claim_key = CLAIMS + self.resource
        return Txn(
            compares=(Compare(key, mod_revision), Compare(claim_key, self.epoch)),
            success=(Put(key, to_json(record), lease),),
            failure=(Range(key), Range(claim_key)),
        )

    async def _take_lease(self) -> int:
        """Return the lease under which the store forgets ended work."""
        now = self.clock.now()
        is_fresh = (
            self._retention_since is not None
            and now - self._retention_since < RETENTION_LEASE_AGE
        )
        while not is_fresh:
            ttl_s = int((RETENTION + RETENTION_LEASE_AGE).total_seconds())
            try:
                granted = await ask_store(self.store, LeaseGrant(ttl_s))
            except StoreError:
                await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
                continue
            self._retention_lease, self._retention_since = granted.lease, now
            is_fresh = True
        return self._retention_lease

    async def _settle(self, record: WorkRecord, txn: Txn, is_new: bool) -> t.Any:
        give_up_at = self.clock.now() + CREATE_TIMEOUT if is_new else None
        try:
            outcome = await settle(self.store, self.clock, self.random, txn, give_up_at)
        except LeaseLostError:
            raise
        except StoreUnavailableError:
            return states.WriteAbandoned(record.work_id)
        except StoreError:
            # The record may be stored, so the write is carried to its end; only
            # those who submitted the work are answered now.
            await self.mailbox.put(states.WriteUncertain(record.work_id))
            outcome = await settle(self.store, self.clock, self.random, txn)
        if outcome.written:
            place = outcome.kv.create_revision or outcome.revision
            revision = outcome.kv.mod_revision or outcome.revision
            return states.RecordWritten(record.work_id, revision, place)
        log_event(Event.WORK_CONFLICT, work=record.work_id)
        return states.RecordConflict(record.work_id, read_record(outcome.kv))

    async def _load(self) -> None:
        prefix = f"{WORK}{self.state.upstream.name}/"
        while True:
            try:
                kvs, _ = await read_prefix(self.store, prefix)
                break
            except StoreError:
                await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
        stored = [read_record(kv) for kv in kvs]
        open_ = tuple(s for s in stored if s and not s.record.phase.is_final)
        log_event(Event.LINE_LOADED, resource=self.resource, records=len(open_))
        await self.mailbox.put(states.RecordsLoaded(open_))

    async def _tick(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            await self.mailbox.put(m.Tick())

    def wait_until_idle(self) -> Deferred[None]:
        """Refuse new work and return a deferred that fires after all writes."""
        self.is_closing = True
        self._idle = Deferred()
        idle = self._idle
        self._check_idle()
        return idle

    def _check_idle(self) -> None:
        if self._idle is not None and not self._writes:
            idle, self._idle = self._idle, None
            idle.callback(None)

    def _answer_rest(self) -> None:
        unknown = m.Unknown("The line has moved; ask again by id.")
        for replies in (*self._submits.values(), *self._queries.values()):
            for reply in replies:
                reply.callback(unknown)
        self._submits.clear()
        self._queries.clear()


def record_key(upstream: str, key: str) -> str:
    """Return the store key of a record."""
    return f"{WORK}{upstream}/{key}"


def read_record(kv: KeyValue) -> StoredRecord | None:
    """Decode a record; ``None`` if the key is absent."""
    if not kv.mod_revision:
        return None
    record = from_json(kv.value, WorkRecord)
    return StoredRecord(record, kv.create_revision, kv.mod_revision)


def _unknown_work(request_id: str) -> m.Refused:
    return m.Refused(
        "unknown_work",
        f"No open work has the request id {request_id!r}.",
        "Check the upstream, the caller's name and the id.",
        404,
    )
