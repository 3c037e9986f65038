"""Planned stops of real entries while callers and operators use open connections."""

import random
import signal
import socket
import ssl
import time

import pytest

import open_connections
from cluster import OPERATOR_TOKEN, Cluster, request_json, wait_until
from open_connections import Exchange
from test_planned_stop import find_cut
from test_security import CURVE_KEYS, write_certificate

CALLER = "Caller: Devin Workshop\r\n"
OPERATOR = f"Authorization: Bearer {OPERATOR_TOKEN}\r\n"
STOP_TIMEOUT_S = 12
REQUEST_COUNT = 120


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    cluster = Cluster(tmp_path_factory.mktemp("entries"), worker_count=2)
    try:
        yield cluster.start()
    finally:
        cluster.stop()


def draw_caller_exchanges(seed):
    rng = random.Random(seed)
    path = "/v1/carving/work"
    exchanges = [Exchange(rng.uniform(0, 0.5), "GET", "/ready") for _ in range(20)]
    for number in range(REQUEST_COUNT):
        method, target, body = rng.choice(
            (
                ("POST", "/v1/carving/checks/blade-check", b'{"run_time_s": 0.3}'),
                ("PUT", f"{path}/s{seed}-{number}?kind=carving-plan", b"{}"),
                ("PUT", f"{path}/w{seed}-{number}?kind=carving-plan&wait_ms=500", b""),
                ("GET", f"{path}/none-{number}", b""),
                ("DELETE", f"{path}/none-{number}", b""),
            )
        )
        sent_s = rng.uniform(1.05, 2.0)
        exchanges.append(Exchange(sent_s, method, target, body, headers=CALLER))
    return exchanges


def draw_operator_exchanges(seed):
    rng = random.Random(seed)
    return [
        Exchange(
            rng.uniform(0.8, 3.0),
            "GET",
            rng.choice(("/v1/status", "/v1/revision", "/v1/burn", "/v1/history")),
            headers=OPERATOR,
        )
        for _ in range(REQUEST_COUNT)
    ]


def stop_beside(cluster, name, url, exchanges, first_path):
    port = int(url.rpartition(":")[2])
    open_connections.connect(port, exchanges, first_path)
    process = cluster.processes[name]
    process.send_signal(signal.SIGTERM)
    open_connections.play(exchanges, STOP_TIMEOUT_S)
    assert process.popen.wait(STOP_TIMEOUT_S) == 0


def is_ready(cluster, name):
    with socket.create_connection(
        ("127.0.0.1", int(cluster.caller_urls[name].rpartition(":")[2]))
    ) as sock:
        sock.sendall(open_connections.encode("GET", "/ready"))
        return b" 200 " in sock.recv(65536)


@pytest.mark.parametrize("seed", [0, 1])
def test_callers_requests_in_the_last_moments_of_an_entry_are_answered(cluster, seed):
    name = f"entry-{seed}"
    exchanges = draw_caller_exchanges(seed)
    cluster.set_store_faults(slow_s=0.3)
    stop_beside(cluster, name, cluster.caller_urls[name], exchanges, "/ready")
    cluster.set_store_faults()
    answered = [exchange for exchange in exchanges if exchange.is_answered]
    assert len(answered) > 10
    assert {exchange.status for exchange in answered} <= {200, 202, 404, 503, 504}
    assert find_cut(exchanges) == []
    cluster.start_entry(f"new-{seed}", "devin")
    wait_until(lambda: is_ready(cluster, f"new-{seed}"))
    wait_until(cluster.has_converged)


def test_operators_requests_in_the_last_moments_of_an_entry_are_answered(cluster):
    exchanges = draw_operator_exchanges(2)
    url = cluster.operator_urls["entry-2"]
    cluster.set_store_faults(slow_s=0.3)
    stop_beside(cluster, "entry-2", url, exchanges, "/v1/status")
    cluster.set_store_faults()
    answered = [exchange for exchange in exchanges if exchange.is_answered]
    assert len(answered) > 10
    assert {exchange.status for exchange in answered} <= {200, 503, 504}
    assert find_cut(exchanges) == []


def test_an_idle_tls_connection_does_not_hold_up_a_planned_stop(tmp_path):
    write_certificate(tmp_path)
    cluster = Cluster(tmp_path, worker_count=1, entry_count=1, curve_keys=CURVE_KEYS)
    try:
        cluster.start()
        port = int(cluster.caller_urls["entry-0"].rpartition(":")[2])
        context = ssl._create_unverified_context()
        raw = socket.create_connection(("127.0.0.1", port), timeout=5)
        with context.wrap_socket(raw) as sock:
            sock.sendall(open_connections.encode("GET", "/ready"))
            assert b"ready" in sock.recv(65536)
            url = f"{cluster.operator_urls['entry-0']}/v1/drain"
            request_json("POST", url)
            started_at = time.monotonic()
            assert cluster.processes["entry-0"].popen.wait(STOP_TIMEOUT_S) == 0
            assert time.monotonic() - started_at < STOP_TIMEOUT_S
    finally:
        cluster.stop()
