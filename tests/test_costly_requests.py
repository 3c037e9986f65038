"""Crowds of clients whose requests cost more than their bytes.

Each test starts real processes and checks what ``CrowdCheck`` names: that the entry
lives, that what it holds stays under the limits that it is told, and that it answers
an ordinary request while the crowd is still connected. Run apart from other load.
"""

import contextlib
import functools
import itertools
import json
import os
import signal
import time

import pytest

from hostile_crowd import (
    announced,
    chunked,
    nothing,
    peer_message,
    repeated,
    tiny_chunks,
    whole,
)
from limited_cluster import JOB, LARGE, MAX_DESCRIPTORS, CrowdCheck, LimitedCluster

PATH = "/plans/00000000000000aa"
BODIES = 300
PIPELINES = 150
PIPELINED = 3000
#: Connections of each crowd where several ports are crowded.
PER_PORT = 200
#: Messages between entries may have 4 MiB.
PEER_MESSAGE_BYTES = (4 << 20) - 1
#: How long the store answers nothing.
STORE_PAUSE_S = 4


@pytest.fixture
def check(tmp_path):
    cluster = LimitedCluster(tmp_path, entry_count=1, instance_count=1)
    yield CrowdCheck(cluster.start())
    cluster.stop()


@pytest.fixture
def hanging_store(check):
    """Return a context in which the store takes calls and answers none."""

    @contextlib.contextmanager
    def pause():
        pid = check.cluster.processes["store"].pid
        os.kill(pid, signal.SIGSTOP)
        try:
            yield
            time.sleep(STORE_PAUSE_S)
        finally:
            os.kill(pid, signal.SIGCONT)

    return pause


def fill(before, part, after=b""):
    """Return a body of legal size that repeats a part."""
    count = (LARGE - len(before) - len(after)) // len(part)
    return before + (part * count).removesuffix(b",") + after


COSTLY_BODIES = {
    "nested_lists": fill(b"", b"["),
    "empty_objects": fill(b"[", b"{},", b"]"),
    "empty_lists": fill(b'{"Steps":[', b"[],", b"]}"),
    "empty_steps": fill(b'{"Spec":"x","Steps":[', b"{},", b"]}"),
    "small_objects": fill(b'{"Steps":[', b'{"":0},', b"]}"),
    "numbers": fill(b'{"Steps":[{"After":[', b"1e9,", b"]}]}"),
    "long_string": fill(b'{"Spec":"', b"x", b'"}'),
    "string_for_a_list": fill(b'{"Steps":"', b"x", b'"}'),
    "escapes": fill(b'{"Spec":"', b"\\u0100", b'"}'),
    "wide_characters": fill('{"Spec":"\U0001f6a2'.encode(), b"x", b'"}'),
    "ignored_field": fill(b'{"Steps":[{}],"Other":[', b"{},", b"]}"),
}


# Failure: a body counts as its bytes, and its decoded form fills the memory.
@pytest.mark.parametrize("kind", COSTLY_BODIES)
def test_whole_bodies_that_cost_much_to_decode(check, kind):
    pieces = functools.partial(whole, PATH, COSTLY_BODIES[kind])
    check.run(check.crowd("clients", BODIES, pieces))


def submissions(body, query=""):
    """Return a function that returns the pieces of the submission of another job."""
    numbers = itertools.count()
    return lambda: whole(f"/plans/{next(numbers):016x}{query}", body)


STEPS = json.dumps({"Spec": "x" * 4000, "Steps": [{}] * 1000}).encode()
TASKS = json.dumps({"Spec": "x", "Steps": [{"Count": 10_000, "Cpu": 1}]}).encode()
TEXTS = json.dumps({"Steps": [{"Requires": "x" * 230}] * 1000}).encode()
MANY_ARGUMENTS = "?" + "&".join(f"{number:x}" for number in range(3300))


# Failure: legal jobs that wait for the store hold many times their bytes.
@pytest.mark.parametrize("body", [STEPS, TASKS], ids=["steps", "tasks"])
def test_complete_jobs_while_the_store_hangs(check, hanging_store, body):
    crowd = check.crowd("clients", BODIES, submissions(body))
    check.run(crowd, beside=hanging_store)


# Failure: the scheduler keeps a state of each task that clients submit.
def test_complete_jobs_of_many_tasks(check):
    check.run(check.crowd("clients", BODIES, submissions(TASKS)))


# Failure: the scheduler keeps the texts of each job, which count for nothing.
def test_complete_jobs_of_long_texts(check):
    check.run(check.crowd("clients", BODIES, submissions(TEXTS)))


# Failure: a query counts as its bytes, and each of its arguments takes far more.
def test_queries_of_many_arguments_while_the_store_hangs(check, hanging_store):
    body = json.dumps(JOB).encode()
    crowd = check.crowd("clients", BODIES, submissions(body, MANY_ARGUMENTS))
    pieces = functools.partial(repeated, PATH + MANY_ARGUMENTS, 1)
    reading = check.crowd("clients", BODIES, pieces)
    check.run(crowd, reading, beside=hanging_store)


# Failure: all requests that one segment holds are answered in one turn of the reactor,
# and nobody else is served meanwhile.
@pytest.mark.parametrize("path", ["/", "/metrics", PATH])
@pytest.mark.parametrize("port", ["clients", "metrics", "readiness"])
def test_many_requests_in_one_segment(check, port, path):
    pieces = functools.partial(repeated, path, PIPELINED)
    check.run(check.crowd(port, PIPELINES, pieces))


# Failure: the stack of each request that can't be decoded stays in memory.
@pytest.mark.parametrize("port", ["clients", "metrics"])
def test_many_requests_that_are_not_utf8(check, port):
    pieces = functools.partial(repeated, "/%ff", PIPELINED)
    check.run(check.crowd(port, PIPELINES, pieces))


# Failure: a body in chunks of one byte is decoded in one turn of the reactor.
@pytest.mark.parametrize("port", ["clients", "metrics"])
def test_complete_bodies_in_chunks_of_one_byte(check, port):
    pieces = functools.partial(tiny_chunks, PATH, LARGE)
    check.run(check.crowd(port, PIPELINES, pieces))


# Failure: answers that nobody reads are counted for nobody.
def test_answers_that_nobody_reads(check):
    pieces = functools.partial(repeated, "/metrics", 1)
    check.run(check.crowd("metrics", BODIES, pieces))


# Failure: each port keeps to its own bounds, and their sum exceeds the process's.
@pytest.mark.parametrize("kind", ["bodies", "tiny_chunks", "idle"])
def test_crowds_on_all_ports_at_once(check, kind):
    make_pieces = {
        "bodies": functools.partial(announced, PATH, LARGE, piece=LARGE),
        "tiny_chunks": functools.partial(chunked, PATH, 2000, 1),
        "idle": nothing,
    }[kind]
    crowds = [check.crowd(port, PER_PORT, make_pieces) for port in check.ports()]
    check.run(*crowds)


# Failure: connections to the port for peers take all descriptors.
@pytest.mark.parametrize("port", ["metrics", "readiness", "peers"])
def test_idle_connections_on_each_port(check, port):
    check.run(check.crowd(port, MAX_DESCRIPTORS + 100, nothing))


# Failure: a stranger who speaks the peers' protocol fills the memory with messages.
def test_unfinished_messages_on_the_peers_port(check):
    pieces = functools.partial(peer_message, PEER_MESSAGE_BYTES)
    check.run(check.crowd("peers", 100, pieces))
