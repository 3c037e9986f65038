"""Crowds of clients that send large or endless requests and finish none.

Each test starts real processes and checks that the entry lives, that what it holds
stays under the limits that it is told, and that it answers an ordinary request while
the crowd is still connected. Run apart from other load.
"""

import functools

import pytest

import hostile_crowd
from cluster import OPERATOR_TOKEN, Cluster, wait_until
from hostile_crowd import MEBIBYTE, Crowd, Footprint, announced, chunked
from limited_cluster import (
    FILE_DESCRIPTORS,
    JOB,
    LARGE,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    METRICS_PORT,
    LimitedCluster,
)

CROWD = 400
#: Memory of the machine of an entry of the product's own interface, which isn't told.
OPERATOR_MEMORY_MB = 200
OPERATOR_CROWD = 100
OPERATOR_LARGE = 2 * MEBIBYTE - 1024


@pytest.fixture
def cluster(tmp_path):
    cluster = LimitedCluster(tmp_path, entry_count=1, instance_count=1)
    yield cluster.start()
    cluster.stop()


def is_served(cluster):
    return cluster.submit("e0", "0123456789abcdef", JOB)[0] == 200


def check_crowd(cluster, size, make_pieces, port=None):
    """Let a crowd send, and check what the entry holds and serves meanwhile."""
    assert wait_until(lambda: is_served(cluster))
    process = cluster.processes["e0"]
    crowd = Crowd(port or cluster.ports["e0"], size, make_pieces)
    try:
        with Footprint(process.pid) as footprint:
            crowd.send()
        wait_until(lambda: is_served(cluster))
        wait_until(lambda: cluster.is_ready("e0"))
    finally:
        crowd.close()
    assert process.poll() is None
    assert footprint.memory <= MEMORY_MB * MEBIBYTE
    assert footprint.descriptors <= MAX_DESCRIPTORS - FILE_DESCRIPTORS


PATH = "/plans/00000000000000aa"
LARGE_BODIES = {
    "whole": functools.partial(announced, PATH, LARGE, piece=LARGE),
    "in_pieces": functools.partial(announced, PATH, LARGE, piece=16_384),
}


# Failure: bodies of legal size that are never complete fill the memory.
@pytest.mark.parametrize("kind", LARGE_BODIES)
def test_large_bodies_that_stop_short_of_their_end(cluster, kind):
    check_crowd(cluster, CROWD, LARGE_BODIES[kind])


# Failure: the same on the port that operators' tools read metrics from.
@pytest.mark.parametrize("kind", LARGE_BODIES)
def test_large_bodies_on_the_metrics_port(cluster, kind):
    check_crowd(cluster, CROWD, LARGE_BODIES[kind], METRICS_PORT)


# Failure: the same on the port that the platform's balancer asks.
def test_large_bodies_on_the_readiness_port(cluster):
    check_crowd(cluster, CROWD, LARGE_BODIES["whole"], cluster.ports["e0/ready"])


# Failure: what a stranger sends to the link between entries is kept.
@pytest.mark.parametrize("kind", LARGE_BODIES)
def test_large_bodies_on_the_peers_port(cluster, kind):
    check_crowd(cluster, CROWD, LARGE_BODIES[kind], cluster.ports["e0/peer"])


# Failure: chunked bodies announce no length and are kept without a limit.
def test_bodies_in_large_chunks_that_stop_short_of_their_end(cluster):
    pieces = functools.partial(chunked, PATH, LARGE, 32_000)
    check_crowd(cluster, CROWD, pieces)


# Failure: each body in tiny chunks takes a file beside its connection.
def test_bodies_in_chunks_of_one_byte_that_stop_short_of_their_end(cluster):
    pieces = functools.partial(chunked, PATH, 2000, 1)
    check_crowd(cluster, CROWD, pieces)


# Failure: a body up to twice the limit is read although its length is announced.
def test_bodies_announced_far_over_the_limit(cluster):
    pieces = functools.partial(announced, PATH, 2 * MEBIBYTE - 1)
    check_crowd(cluster, 60, pieces)


# Failure: a chunked body is read without end.
def test_bodies_sent_far_over_the_limit(cluster):
    pieces = functools.partial(chunked, PATH, 4 * MEBIBYTE, 32_000)
    check_crowd(cluster, 40, pieces)


# Failure: heads without an end hold a connection each.
def test_heads_that_never_end(cluster):
    pieces = functools.partial(hostile_crowd.unfinished_head, PATH, 15_000)
    check_crowd(cluster, CROWD, pieces)


# Failure: idle connections take all descriptors.
def test_idle_connections_up_to_the_descriptors(cluster):
    check_crowd(cluster, MAX_DESCRIPTORS + 100, hostile_crowd.nothing)


@pytest.fixture
def own_cluster(tmp_path):
    cluster = Cluster(tmp_path, worker_count=1, entry_count=1)
    yield cluster.start()
    for process in cluster.processes.values():
        process.kill()


# Failure: operators' requests, which may be larger, fill the memory; their token is
# checked once the body is there.
@pytest.mark.parametrize("is_authorized", [True, False])
@pytest.mark.parametrize("piece", [OPERATOR_LARGE, 16_384])
def test_large_bodies_on_the_operators_port(own_cluster, piece, is_authorized):
    process = own_cluster.processes["entry-0"].popen
    port = int(own_cluster.operator_urls["entry-0"].rpartition(":")[2])
    token = f"Authorization: Bearer {OPERATOR_TOKEN if is_authorized else 'x' * 16}"
    pieces = functools.partial(
        announced, "/v1/changes", OPERATOR_LARGE, token, piece=piece
    )
    crowd = Crowd(port, OPERATOR_CROWD, pieces)
    try:
        with Footprint(process.pid) as footprint:
            crowd.send()
        wait_until(own_cluster.has_converged)
    finally:
        crowd.close()
    assert process.poll() is None
    assert footprint.memory <= OPERATOR_MEMORY_MB * MEBIBYTE
