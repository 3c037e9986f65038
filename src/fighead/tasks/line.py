"""The task that runs a line: the queue of one upstream's plans and watches."""

import datetime as dt
import random
import typing as t

from attrs import define, evolve, field
from twisted.internet.defer import Deferred

from .. import message as m
from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..decisions import line as line_decisions
from ..decisions import line_state
from ..decisions.line import LineState
from ..exceptions import LeaseLostError, StoreError, StoreUnavailableError
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..model import StoredRecord, WorkRecord, work_id
from ..store import (
    CLAIMS_PREFIX,
    WORK_PREFIX,
    Compare,
    KeyValue,
    LeaseGrant,
    Put,
    Range,
    Txn,
)
from .call import Call
from .store import StoreCall, ask_store, read_prefix
from .write_retry import write_with_retries

TICK_INTERVAL = dt.timedelta(seconds=1)
#: Time after which the first write of new work counts as failed or uncertain.
CREATE_TIMEOUT = dt.timedelta(seconds=5)
RETRY_PAUSE = dt.timedelta(milliseconds=500)
#: Minimum time for which the store keeps the record of work that has ended.
ENDED_WORK_RETENTION = dt.timedelta(days=3)
#: Age at which a retention lease is replaced by a new one for further records.
MAX_RETENTION_LEASE_AGE = dt.timedelta(days=1)


@define(eq=False)
class LineTask:
    """Owns one line: its state, its mailbox and the calls that await an answer.

    :param resource: Resource name of the line.
    :param epoch: Epoch of the claim on the line. Every write is conditional on it.
    :param send_to_owner: Sends a message to the owner of an instance.
    :param is_closing: Whether submissions are refused because the line is moving
        to another entry; set by :meth:`drain`.
    """

    state: LineState
    resource: str
    epoch: int
    clock: Clock
    random: random.Random
    store: Mailbox[StoreCall]
    send_to_owner: t.Callable[[str, t.Any], None]
    mailbox: Mailbox[t.Any] = field(init=False)
    is_closing: bool = False
    _submit_replies: dict[str, list[Deferred[t.Any]]] = field(factory=dict)
    _query_replies: dict[str, list[Deferred[t.Any]]] = field(factory=dict)
    _writes_in_flight: int = 0
    _retention_lease: int = 0
    _retention_lease_granted_at: dt.datetime | None = None
    _idle_deferred: Deferred[None] | None = None
    _children: list[Deferred] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.mailbox = Mailbox(self.resource, 8192)

    async def run(self) -> None:
        """Load the line's open records and handle messages until cancelled."""
        self._children = [spawn(self._load_records()), spawn(self._send_ticks())]
        try:
            await process_messages(self.mailbox, self._handle, self.mailbox.name)
        finally:
            for child in self._children:
                child.cancel()
            self._answer_all_pending()

    def _handle(self, msg: t.Any) -> None:
        if isinstance(msg, Call):
            if self._answer_query(msg):
                return
            msg = self._accept_call(msg)
            if msg is None:
                return
        step = line_decisions.decide(self.state, msg, self.clock.now())
        self.state = step.state
        for effect in step.effects:
            self._execute_effect(effect)

    def _accept_call(self, call: Call) -> t.Any:
        """Return the message to decide on, or ``None`` if nothing is left to do."""
        message = call.message
        if isinstance(message, m.SubmitWork):
            if self.is_closing:
                reason = "The line moves to another entry."
                call.reply.callback(
                    m.NotRun(reason, line_state.SHORT_RETRY_DELAY, True)
                )
                return None
            key = message.record.work_id
            self._submit_replies.setdefault(key, []).append(call.reply)
        elif isinstance(message, m.CancelWork):
            self._answer_cancel(call)
        return message

    def _answer_cancel(self, call: Call) -> None:
        message = call.message
        item = self.state.items.get(work_id(message.caller, message.request_id))
        if item is None:
            call.reply.callback(_unknown_work(message.request_id))
        else:
            call.reply.callback(m.Accepted(item.in_flight_record or item.record))

    def _answer_query(self, call: Call) -> bool:
        message = call.message
        if not isinstance(message, m.QueryWork):
            return False
        key = work_id(message.caller, message.request_id)
        item = self.state.items.get(key)
        if item is None:
            call.reply.callback(_unknown_work(message.request_id))
        elif item.stored.mod_revision == 0 and not message.wait:
            call.reply.callback(m.Unknown("The work is being recorded."))
        elif item.record.phase.is_final or not message.wait:
            call.reply.callback(m.Accepted(item.record))
        else:
            self._answer_at_end(key, message.wait, call.reply)
        return True

    def _answer_at_end(
        self, key: str, wait: dt.timedelta, reply: Deferred[t.Any]
    ) -> None:
        self._query_replies.setdefault(key, []).append(reply)
        self.clock.call_later(wait, lambda: self._answer_after_wait(key, reply))

    def _answer_after_wait(self, key: str, reply: Deferred[t.Any]) -> None:
        replies = self._query_replies.get(key, [])
        if reply not in replies:
            return
        replies.remove(reply)
        item = self.state.items.get(key)
        if item is None:
            reply.callback(m.Unknown("The line has moved; ask again by id."))
        else:
            reply.callback(m.Accepted(item.record))

    def _execute_effect(self, effect: t.Any) -> None:
        match effect:
            case line_state.WriteRecord(record, mod_revision):
                self._writes_in_flight += 1
                spawn(self._write(record, mod_revision))
            case line_state.AnswerSubmit(key, outcome):
                for reply in self._submit_replies.pop(key, []):
                    reply.callback(outcome)
            case line_state.AnswerQueries(record):
                for reply in self._query_replies.pop(record.work_id, []):
                    reply.callback(m.Accepted(record))
            case line_state.SendToOwner(instance, message):
                self.send_to_owner(instance, message)
            case line_state.LogParked(record):
                log_event(Event.WORK_PARKED, work=record.work_id, reason=record.reason)

    async def _write(self, record: WorkRecord, mod_revision: int) -> None:
        stamped = evolve(record, write_id=f"{self.random.getrandbits(64):016x}")
        msg = None
        while msg is None:
            lease = await self._get_retention_lease() if record.phase.is_final else 0
            txn = self._make_write_txn(stamped, mod_revision, lease)
            try:
                msg = await self._commit(record, txn, is_new=mod_revision == 0)
            except LeaseLostError:
                self._retention_lease_granted_at = None
        await self.mailbox.put(msg)
        self._writes_in_flight -= 1
        self._check_idle()

    def _make_write_txn(self, record: WorkRecord, mod_revision: int, lease: int) -> Txn:
        key = record_key(record.upstream, record.work_id)
        claim_key = CLAIMS_PREFIX + self.resource
        return Txn(
            compares=(Compare(key, mod_revision), Compare(claim_key, self.epoch)),
            success=(Put(key, to_json(record), lease),),
            failure=(Range(key), Range(claim_key)),
        )

    async def _get_retention_lease(self) -> int:
        """Return the lease with which records of ended work expire.

        It is granted, with retries until the store answers, if there is none or
        the current one is too old.
        """
        now = self.clock.now()
        is_fresh = (
            self._retention_lease_granted_at is not None
            and now - self._retention_lease_granted_at < MAX_RETENTION_LEASE_AGE
        )
        while not is_fresh:
            ttl_s = int(
                (ENDED_WORK_RETENTION + MAX_RETENTION_LEASE_AGE).total_seconds()
            )
            try:
                granted = await ask_store(self.store, LeaseGrant(ttl_s))
            except StoreError:
                await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
                continue
            self._retention_lease, self._retention_lease_granted_at = granted.lease, now
            is_fresh = True
        return self._retention_lease

    async def _commit(self, record: WorkRecord, txn: Txn, is_new: bool) -> t.Any:
        give_up_at = self.clock.now() + CREATE_TIMEOUT if is_new else None
        try:
            outcome = await write_with_retries(
                self.store, self.clock, self.random, txn, give_up_at
            )
        except LeaseLostError:
            raise
        except StoreUnavailableError:
            return line_state.WriteAbandoned(record.work_id)
        except StoreError:
            # The record may have been stored, so the write is retried until its
            # outcome is known. Only the submitters are answered now.
            await self.mailbox.put(line_state.WriteUncertain(record.work_id))
            outcome = await write_with_retries(self.store, self.clock, self.random, txn)
        if outcome.written:
            place = outcome.kv.create_revision or outcome.revision
            revision = outcome.kv.mod_revision or outcome.revision
            return line_state.RecordWritten(record.work_id, revision, place)
        log_event(Event.WORK_CONFLICT, work=record.work_id)
        return line_state.RecordConflict(record.work_id, decode_record(outcome.kv))

    async def _load_records(self) -> None:
        prefix = f"{WORK_PREFIX}{self.state.upstream.name}/"
        while True:
            try:
                kvs, _ = await read_prefix(self.store, prefix)
                break
            except StoreError:
                await sleep(self.clock, RETRY_PAUSE * (0.5 + self.random.random()))
        records = [decode_record(kv) for kv in kvs]
        open_records = tuple(r for r in records if r and not r.record.phase.is_final)
        log_event(Event.LINE_LOADED, resource=self.resource, records=len(open_records))
        await self.mailbox.put(line_state.RecordsLoaded(open_records))

    async def _send_ticks(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            await self.mailbox.put(m.Tick())

    def drain(self) -> Deferred[None]:
        """Refuse new work from now on.

        :return: Deferred that fires once no write is in flight.
        """
        self.is_closing = True
        self._idle_deferred = Deferred()
        deferred = self._idle_deferred
        self._check_idle()
        return deferred

    def _check_idle(self) -> None:
        if self._idle_deferred is not None and not self._writes_in_flight:
            deferred, self._idle_deferred = self._idle_deferred, None
            deferred.callback(None)

    def _answer_all_pending(self) -> None:
        unknown = m.Unknown("The line has moved; ask again by id.")
        for replies in (
            *self._submit_replies.values(),
            *self._query_replies.values(),
        ):
            for reply in replies:
                reply.callback(unknown)
        self._submit_replies.clear()
        self._query_replies.clear()


def record_key(upstream: str, key: str) -> str:
    """Return the store key of the record of the work with id ``key``."""
    return f"{WORK_PREFIX}{upstream}/{key}"


def decode_record(kv: KeyValue) -> StoredRecord | None:
    """Decode a stored record; ``None`` if its key does not exist."""
    if not kv.mod_revision:
        return None
    record = from_json(kv.value, WorkRecord)
    return StoredRecord(record, kv.create_revision, kv.mod_revision)


def _unknown_work(request_id: str) -> m.Refused:
    return m.Refused(
        "unknown_work",
        f"No open work has the request id {request_id!r}.",
        "Check the upstream, the caller name and the request id.",
        404,
    )
