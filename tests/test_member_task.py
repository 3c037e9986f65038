import datetime as dt
import random

from attrs import define, field
from pyrsistent import pmap
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.codec import from_json
from fighead.decisions import member_state
from fighead.decisions.member_state import MemberState
from fighead.exceptions import StoreOutcomeUnknownError
from fighead.mailbox import Mailbox
from fighead.metric import Metrics
from fighead.model import Inventory, Member, Revision
from fighead.store import TxnResult
from fighead.tasks.member import MemberTask

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
LEASE = 7


@define(eq=False)
class SlowStore:
    """Mailbox of a store that executes its calls when it is told to."""

    calls: list = field(factory=list)
    record: Member = None

    def offer(self, call):
        self.calls.append(call)

    def execute(self, index):
        call = self.calls.pop(index)
        self.record = from_json(call.request.success[0].value, Member)
        call.reply.callback(TxnResult(True, 1))


def make_task(reactor, store):
    return MemberTask(
        MemberState(Member("e1", "devin", "tcp://127.0.0.1:1", "")),
        ReactorClock(reactor, START),
        reactor,
        Metrics("e1"),
        random.Random(1),
        store,
        "",
        "",
        dt.timedelta(seconds=3),
        lambda _: None,
        Mailbox("supervisor"),
        lambda: None,
    )


def apply_revision(task, number):
    revision = Revision(number, Inventory())
    task._handle(member_state.ControlLoaded(number, pmap(), pmap(), revision))


def test_an_earlier_write_of_a_member_does_not_overtake_a_later_one():
    store = SlowStore()
    task = make_task(Clock(), store)
    task._handle(member_state.LeaseGranted(LEASE))
    apply_revision(task, 1)
    while store.calls:
        store.execute(-1)
    assert store.record.applied_revision == 1


def test_a_member_that_changed_while_a_write_failed_is_written_as_it_is_now():
    store, reactor = SlowStore(), Clock()
    task = make_task(reactor, store)
    task._handle(member_state.LeaseGranted(LEASE))
    apply_revision(task, 1)
    apply_revision(task, 2)
    store.calls.pop().reply.errback(StoreOutcomeUnknownError("cut", "retry"))
    reactor.pump([0.1] * 20)
    written = []
    while store.calls:
        store.execute(0)
        written.append(store.record.applied_revision)
    assert written == [2]
