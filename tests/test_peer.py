"""The task that owns the connections to the other entries."""

import datetime as dt

import pytest
from attrs import define, field
from structlog.testing import capture_logs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.codec import from_wire, to_wire
from fighead.exceptions import PeerUnreachableError
from fighead.job import JobPhase
from fighead.job_message import JOB_MESSAGES, FindPhase, PhaseIs
from fighead.mailbox import spawn
from fighead.message import WIRE_MESSAGES, Envelope, View
from fighead.model import JobMember
from fighead.tasks.call import call
from fighead.tasks.peer import CurveKeys, FinishAnswers, PeerTask
from odd_answers import ADDRESSES, NESTED

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
ODD_ADDRESSES = (
    *ADDRESSES,
    *("tcp://" + address for address in ADDRESSES),
    *("tcp://", "udp://10.0.0.1:80", "ipc://", "inproc://x", "tcp://*:80", NESTED),
)


@define(eq=False)
class Reactor(Clock):
    """A simulated clock that knows which sockets are read."""

    readers: set = field(factory=set)

    def __attrs_pre_init__(self):
        super().__init__()

    def addReader(self, reader):  # noqa: N802
        self.readers.add(reader)

    def removeReader(self, reader):  # noqa: N802
        self.readers.discard(reader)


@pytest.fixture
def task():
    reactor = Reactor()
    clock = ReactorClock(reactor, START)
    task = PeerTask(
        "e1", "tcp://127.0.0.1:*", CurveKeys(), clock, reactor, lambda *_: None
    )
    deferred = spawn(task.run())
    yield task
    deferred.cancel()
    task.stop()


#: The socket that peers connect to, and the one that admits them.
LISTENING_READERS = 3


def make_members(**addresses):
    return {name: JobMember(name, "z", address) for name, address in addresses.items()}


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_a_member_with_an_odd_address_keeps_no_other_from_a_connection(
    task, failures, address
):
    members = make_members(a=address, b="tcp://127.0.0.1:9", c=address)
    with capture_logs() as lines:
        for _ in range(3):
            task.mailbox.offer(View("e1", members=members))
    assert "b" in task.peers() and not failures
    # One line for each odd member, and no socket left of a failed attempt.
    assert len(lines) == 3 - len(task.peers())
    assert len(task.reactor.readers) == LISTENING_READERS + len(task.peers())
    repaired = make_members(a="tcp://127.0.0.1:9", b="tcp://127.0.0.1:9")
    task.mailbox.offer(View("e1", members=repaired))
    assert set(task.peers()) == {"a", "b"} and not failures
    task.mailbox.offer(View("e1", members={}))
    assert not task.peers() and len(task.reactor.readers) == LISTENING_READERS


def collect_errors(fut):
    errors = []
    fut.addErrback(lambda failure: errors.append(failure.value))
    return errors


def test_a_question_to_a_peer_without_a_connection_fails_at_once(task):
    errors = collect_errors(task.ask("b", FindPhase("f2")))
    assert [type(exc) for exc in errors] == [PeerUnreachableError]
    assert errors[0].is_certain
    assert not task.reactor.getDelayedCalls()


def test_a_question_to_a_peer_that_leaves_fails_at_once(task):
    members = make_members(b="tcp://127.0.0.1:9", c="tcp://127.0.0.1:9")
    task.mailbox.offer(View("e1", members=members))
    errors = collect_errors(task.ask("b", FindPhase("f2")))
    others_errors = collect_errors(task.ask("c", FindPhase("f2")))
    assert not errors
    task.mailbox.offer(View("e1", members=make_members(c="tcp://127.0.0.1:9")))
    assert [type(exc) for exc in errors] == [PeerUnreachableError]
    assert not errors[0].is_certain and not others_errors


def test_an_entry_that_ends_finishes_its_answers_to_peers(task):
    answer_to_peer, finished = Deferred(), []
    task.handle = lambda *_: answer_to_peer
    task.registry = JOB_MESSAGES
    task._connections["b"] = SentFrames()
    frame = to_wire(Envelope("b", "call-1", False, to_wire(FindPhase("f2"))))
    task._handle_frame(frame)
    call(task.mailbox, FinishAnswers()).addCallback(finished.append)
    assert not finished
    answer_to_peer.callback(PhaseIs(JobPhase.RUNNING))
    assert finished and len(task._connections["b"]) == 1
    call(task.mailbox, FinishAnswers()).addCallback(finished.append)
    assert len(finished) == 2


class SentFrames(list):
    """A connection that records what is sent on it."""

    send = list.append

    def shutdown(self):
        pass


def make_task(reactor):
    """Return a process of the entry ``e1`` that has connections to ``b`` and ``c``."""
    clock = ReactorClock(reactor, START)
    task = PeerTask(
        "e1",
        "tcp://127.0.0.1:*",
        CurveKeys(),
        clock,
        reactor,
        lambda *_: None,
        JOB_MESSAGES,
    )
    task._connections |= {"b": SentFrames(), "c": SentFrames()}
    return task


def ask(task, peer):
    """Ask a peer for a phase; return the call's ID and the list of its answers."""
    answers = []
    fut = task.ask(peer, FindPhase("f2"))
    fut.addCallbacks(answers.append, lambda _: None)
    request = from_wire(task._connections[peer][-1], WIRE_MESSAGES)
    return request.call_id, answers


def answer(task, sender, call_id, phase):
    payload = to_wire(PhaseIs(phase))
    task._handle_frame(to_wire(Envelope(sender, call_id, True, payload)))


# Failure: an entry that restarts takes the leader's answers to its earlier process, and
# shows a job in the phase of another.
def test_an_answer_to_an_earlier_process_of_the_entry_is_dropped():
    reactor = Reactor()
    earlier_id, _ = ask(make_task(reactor), "b")
    task = make_task(reactor)
    call_id, answers = ask(task, "b")
    answer(task, "b", earlier_id, JobPhase.COMPLETED)
    assert not answers
    answer(task, "b", call_id, JobPhase.RUNNING)
    assert answers == [PhaseIs(JobPhase.RUNNING)]


def test_only_the_peer_that_was_asked_answers_a_call():
    task = make_task(Reactor())
    call_id, answers = ask(task, "b")
    answer(task, "c", call_id, JobPhase.COMPLETED)
    assert not answers
    answer(task, "b", call_id, JobPhase.RUNNING)
    answer(task, "b", call_id, JobPhase.COMPLETED)
    assert answers == [PhaseIs(JobPhase.RUNNING)]


def test_an_answer_after_the_timeout_is_dropped():
    reactor = Reactor()
    task = make_task(reactor)
    call_id, answers = ask(task, "b")
    reactor.advance(3)
    with capture_logs() as lines:
        answer(task, "b", call_id, JobPhase.RUNNING)
    assert not answers
    assert [line["event_name"] for line in lines] == ["peer_answer_dropped"]
