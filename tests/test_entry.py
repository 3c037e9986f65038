"""Tests of the assembled entry, with a driven clock and an in-memory store."""

import datetime as dt

import pytest
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from fighead.clock import ReactorClock
from fighead.codec import to_json
from fighead.decisions import ownership
from fighead.entry import Entry
from fighead.ledger import BUCKET_LENGTH, Verdict
from fighead.model import Category, Inventory, Kind, Member, Revision, Upstream
from fighead.settings import EntrySettings, ListenAddress
from fighead.store import (
    BURN_PREFIX,
    CLAIMS_PREFIX,
    CONTROL_PREFIX,
    CURRENT_REVISION_KEY,
    MEMBERS_PREFIX,
    LeaseRevoke,
    Txn,
)
from fighead.tasks.ledger import LEDGER_WRITE_INTERVAL
from fighead.tasks.member import ClaimValue, MemberTask
from fighead.tasks.peer import PeerTask
from fighead.tasks.store import StoreTask
from memory_store import MemoryStore

#: The bucket that is open at the start ends before the first periodic write.
START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC) + BUCKET_LENGTH - dt.timedelta(seconds=9)
SETTINGS = EntrySettings(
    "e1",
    "a",
    ListenAddress("127.0.0.1", 1),
    ListenAddress("127.0.0.1", 2),
    "tcp://127.0.0.1:3",
    "http://127.0.0.1:4",
    "token",
    drain_timeout=dt.timedelta(seconds=10),
    plain=True,
    seed=1,
)


class FailingStore(MemoryStore):
    """Fails with an unforeseen error when a bucket is written."""

    async def call(self, req, timeout):
        if isinstance(req, Txn) and is_bucket_write(req):
            raise ValueError("The answer can't be decoded.")
        return await super().call(req, timeout)


class SilentStore(MemoryStore):
    """Never answers the write of a bucket."""

    async def call(self, req, timeout):
        if isinstance(req, Txn) and is_bucket_write(req):
            await Deferred()
        return await super().call(req, timeout)


def is_bucket_write(txn):
    return any(change.key.startswith(BURN_PREFIX) for change in txn.success)


@pytest.fixture
def reactor():
    return MemoryReactorClock()


@pytest.fixture
def start_entry(reactor, monkeypatch):
    clock = ReactorClock(reactor, START)

    def start(store_class):
        store = store_class(clock, delay=dt.timedelta(seconds=0.5))

        async def serve(task):
            while True:
                call = await task.mailbox.get()
                answer = ensureDeferred(store.call(call.request, None))
                answer.addCallbacks(call.reply.callback, call.reply.errback)

        async def stream(task, start_revision):
            after = start_revision - 1
            while True:
                wait = dt.timedelta(seconds=10)
                batch = await store.watch(CONTROL_PREFIX, after, wait)
                if batch.events:
                    task._handle_batch(batch)
                after = batch.revision

        async def idle(task):
            pass

        monkeypatch.setattr(StoreTask, "run", serve)
        monkeypatch.setattr(MemberTask, "_stream_changes", stream)
        monkeypatch.setattr(PeerTask, "run", idle)
        monkeypatch.setattr(PeerTask, "stop", lambda task: None)
        ends = []
        entry = Entry(SETTINGS, clock, reactor, lambda: ends.append(clock.now()))
        entry.start()
        return entry, store, ends

    return start


def advance(reactor, seconds):
    for _ in range(round(seconds * 100)):
        reactor.advance(0.01)


def advance_until(reactor, condition):
    for _ in range(300):
        if condition():
            return
        advance(reactor, 0.1)
    raise AssertionError("The condition was not met in 30 s.")


def stop_during_periodic_write(reactor, entry):
    entry.ledger.count("u", "k", Verdict.GOOD)
    before_write = LEDGER_WRITE_INTERVAL.total_seconds() - 0.8
    advance(reactor, before_write)
    entry.ledger.count("u", "k", Verdict.BAD)
    entry.stop()
    advance(reactor, 30)


def test_an_entry_stops_although_its_final_ledger_write_meets_the_periodic_one(
    reactor, start_entry
):
    entry, store, ends = start_entry(MemoryStore)
    stop_during_periodic_write(reactor, entry)
    buckets = [key for key in store.items if key.startswith(BURN_PREFIX)]
    assert len(buckets) == 2
    assert len(ends) == 1


@pytest.mark.parametrize("store_class", [FailingStore, SilentStore])
def test_an_entry_stops_although_its_final_ledger_write_fails(
    reactor, start_entry, store_class
):
    entry, store, ends = start_entry(store_class)
    stop_during_periodic_write(reactor, entry)
    assert len(ends) == 1


def find_preferred_member(inventory, me):
    zones = ownership.zones_by_resource(inventory)
    for number in range(100):
        other = Member(f"other{number}", "a", "tcp://127.0.0.1:5", applied_revision=1)
        if ownership.assign_owners(zones, (me, other))["line/u"] == other.name:
            return other
    raise AssertionError("No name is preferred.")


def test_the_claim_of_a_new_holder_stays_when_the_answer_to_the_own_drop_is_late(
    reactor, start_entry
):
    entry, store, ends = start_entry(MemoryStore)
    inventory = Inventory(("a",), {}, {}, {"u": Upstream("u")})
    store.put(CURRENT_REVISION_KEY, to_json(Revision(1, inventory)))
    key = CLAIMS_PREFIX + "line/u"
    advance(reactor, 10)
    assert key in store.items
    other = find_preferred_member(inventory, entry.member.state.me)
    store.put(MEMBERS_PREFIX + other.name, to_json(other))
    store.answer_delay = dt.timedelta(seconds=5)
    advance_until(reactor, lambda: key not in store.items)
    store.put(key, to_json(ClaimValue(other.name, "1")))
    advance(reactor, 3)
    claim = entry.front_context.view.claims["line/u"]
    assert claim.owner == other.name
    advance(reactor, 5)
    assert entry.front_context.view.claims.get("line/u") == claim


class SlowStore(MemoryStore):
    """Takes 0.5 s for each answer, and never answers the end of a lease."""

    async def call(self, req, timeout):
        if isinstance(req, LeaseRevoke):
            await Deferred()
        return await super().call(req, timeout)


def send_until_closed(reactor, port_number, request, ends):
    """Send a request every 50 ms, each on its own connection, until the entry ends.

    :return: The transports of the connections that were open at the end.
    """
    factory = next(site for port, site, *_ in reactor.tcpServers if port == port_number)
    factory.reactor = reactor
    idle = []
    for _ in range(400):
        protocol, transport = factory.buildProtocol(None), ListeningTransport()
        protocol.makeConnection(transport)
        transport.protocol = protocol
        idle.append((protocol, transport))
    sent = []
    while not ends and idle:
        protocol, transport = idle.pop()
        if not transport.is_closed:
            protocol.dataReceived(request)
            sent.append(transport)
        advance(reactor, 0.05)
    assert ends
    return sent


class ListeningTransport(StringTransport):
    """A connection in memory whose client reads everything."""

    is_closed = False

    def loseConnection(self):  # noqa: N802
        super().loseConnection()
        self.abortConnection()

    def abortConnection(self):  # noqa: N802
        if not self.is_closed:
            self.is_closed = True
            self.protocol.connected = 0
            self.protocol.connectionLost(Failure(ConnectionDone()))

    def setTcpNoDelay(self, _):  # noqa: N802
        pass


NO_BODY = "Caller: c\r\nContent-Length: 0\r\n"
STATUSES = {b"200", b"202", b"404", b"503", b"504"}


def encode_request(method, path, headers=""):
    return f"{method} {path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode()


@pytest.mark.parametrize("store_class", [MemoryStore, SlowStore])
@pytest.mark.parametrize(
    ("port_number", "request_bytes"),
    [
        (1, encode_request("PUT", "/v1/u/work/x?kind=k", NO_BODY)),
        (1, encode_request("GET", "/v1/u/work/x", "Caller: c\r\n")),
        (2, encode_request("GET", "/v1/revision", "Authorization: Bearer token\r\n")),
    ],
    ids=["submit", "query", "operator"],
)
def test_every_request_that_was_read_is_answered_before_an_entry_ends(
    reactor, start_entry, store_class, port_number, request_bytes
):
    entry, store, ends = start_entry(store_class)
    kind = Kind("k", "u", Category.PLAN, deadline=dt.timedelta(seconds=5))
    inventory = Inventory(("a",), {}, {}, {"u": Upstream("u")}, {"u/k": kind})
    store.put(CURRENT_REVISION_KEY, to_json(Revision(1, inventory)))
    advance(reactor, 10)
    stopped_at = entry.clock.now()
    entry.stop()
    sent = send_until_closed(reactor, port_number, request_bytes, ends)
    assert ends[0] - stopped_at <= SETTINGS.drain_timeout
    assert len(sent) > 10
    answers = [transport.value() for transport in sent]
    assert {answer.split(b" ")[1] for answer in answers if answer} <= STATUSES
    assert [number for number, answer in enumerate(answers) if not answer] == []
