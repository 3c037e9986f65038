"""End-to-end tests of the platform adapter with real processes and sockets."""

import signal
import socket
import time

import pytest

from cluster import wait_until
from platform_cluster import CONFIG, PlatformCluster, call

JOB = {
    "Spec": "300",
    "Steps": [
        {"Count": 3, "Cpu": 1000, "MemMb": 100, "EstRuntimeMs": 300},
        {"Count": 2, "Cpu": 1000, "MemMb": 100, "EstRuntimeMs": 300, "After": [0]},
    ],
}
LONG_JOB = {
    "Spec": "3000",
    "Steps": [{"Count": 3, "Cpu": 1000, "MemMb": 100, "EstRuntimeMs": 3000}],
}
JOB_ID = "00000000000000a1"
OTHER_JOB_ID = "00000000000000a2"
NEW_JOB_ID = "00000000000000a3"
UNKNOWN_JOB_ID = "00000000000000a4"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    cluster = PlatformCluster(tmp_path_factory.mktemp("platform"))
    try:
        yield cluster.start()
    finally:
        cluster.stop()


def test_a_job_is_accepted_run_and_completed(cluster):
    assert cluster.submit("e0", JOB_ID, JOB)[0] == 200
    wait_until(lambda: cluster.state("e1", JOB_ID) == "completed", 15)
    assert cluster.submit("e2", JOB_ID, JOB)[0] == 200
    started = [e for e in cluster.history() if e["event"] == "started"]
    assert len(started) == 5


def test_bad_input_gets_a_clear_answer(cluster):
    base = cluster.url("e0")
    assert call("POST", f"{base}/plans/xyz", JOB)[0] == 400
    assert call("POST", f"{base}/plans/{OTHER_JOB_ID}", {"Steps": []})[0] == 400
    steps = [{"Count": "many"}]
    status, body = call("POST", f"{base}/plans/{OTHER_JOB_ID}", {"Steps": steps})
    assert status == 400 and "Count" in body["Error"]
    assert call("POST", f"{base}/plans/{OTHER_JOB_ID}", {"x": "y" * 300_000})[0] == 413
    assert call("GET", f"{base}/nothing/{OTHER_JOB_ID}")[0] == 404
    assert call("GET", f"{base}/plans/{OTHER_JOB_ID}")[0] == 410
    assert call("DELETE", f"{base}/plans/{UNKNOWN_JOB_ID}")[0] == 410
    assert call("GET", f"{base}/plans/{UNKNOWN_JOB_ID}")[0] == 410
    assert call("GET", f"{base}/plans/")[1] == {"Pending": 0}


def test_a_removed_route_is_refused_and_an_older_version_ignored(cluster):
    extra = {**CONFIG["Routes"][0], "Name": "more", "Prefix": "/more/"}
    cluster.put(
        "op/config", {**CONFIG, "Version": 5, "Routes": [*CONFIG["Routes"], extra]}
    )
    wait_until(lambda: call("GET", cluster.url("e2") + "/more/")[0] == 200, 3)
    cluster.put("op/config", {**CONFIG, "Version": 6})
    wait_until(lambda: call("GET", cluster.url("e2") + "/more/")[0] == 404, 3)
    cluster.put("op/config", {**CONFIG, "Version": 4, "Routes": []})
    assert call("GET", cluster.url("e2") + "/plans/")[0] == 200


def test_jobs_go_on_after_the_leader_is_killed(cluster):
    assert cluster.submit("e0", OTHER_JOB_ID, LONG_JOB)[0] == 200
    wait_until(lambda: cluster.state("e0", OTHER_JOB_ID) == "running", 5)
    leader = cluster.leader()
    cluster.kill(leader)
    survivor = next(name for name in cluster.entries() if name != leader)
    wait_until(lambda: cluster.state(survivor, OTHER_JOB_ID) == "completed", 15)
    starts = [e for e in cluster.history() if e["event"] == "started"]
    tasks = [e["task"] for e in starts if e["task"].startswith(OTHER_JOB_ID)]
    assert len(tasks) == len(set(tasks)) == 3
    cluster.start_entry(leader)
    wait_until(lambda: cluster.is_ready(leader))


def test_a_planned_stop_hands_over_and_ends_within_its_grace(cluster):
    leader = cluster.leader()
    process = cluster.processes.pop(leader)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: cluster.leader() not in (leader, None), 3)
    assert process.wait(7) == 0
    cluster.start_entry(leader)
    wait_until(lambda: cluster.is_ready(leader))


def test_a_reload_with_faults_changes_nothing(cluster):
    path = cluster.folder / "e1.toml"
    valid = path.read_text()
    path.write_text("Node = 3")
    cluster.processes["e1"].send_signal(signal.SIGHUP)
    log = cluster.folder / "e1.log"
    wait_until(lambda: "settings_refused" in log.read_text(), 5)
    path.write_text(valid)
    cluster.processes["e1"].send_signal(signal.SIGHUP)
    wait_until(lambda: "settings_reloaded" in log.read_text(), 5)
    assert cluster.is_ready("e1")


def send_to(cluster, entry, method, path):
    """Send a request with a time limit of 10 s; return its status and duration."""
    started_at = time.monotonic()
    body = JOB if method == "POST" else None
    status, _ = call(method, cluster.url(entry) + path, body, timeout=10)
    return status, time.monotonic() - started_at


# Failure: it waited for its leader and the store, up to 4 s, and stayed ready.
def test_an_entry_that_reaches_nobody_refuses_at_once_and_is_not_ready(cluster):
    entry = next(name for name in cluster.entries() if name != cluster.leader())
    others = [cluster.processes["store"]]
    others += [cluster.processes[e] for e in cluster.entries() if e != entry]
    for process in others:
        process.send_signal(signal.SIGSTOP)
    try:
        wait_until(lambda: not cluster.is_ready(entry), 6)
        for method, path in (
            ("GET", f"/plans/{JOB_ID}"),
            ("GET", "/plans/"),
            ("POST", f"/plans/{NEW_JOB_ID}"),
            ("DELETE", f"/plans/{JOB_ID}"),
        ):
            status, took_s = send_to(cluster, entry, method, path)
            assert status == 503 and took_s < 0.5, (method, path, status, took_s)
    finally:
        for process in others:
            process.send_signal(signal.SIGCONT)
    wait_until(lambda: cluster.is_ready(entry), 3)
    wait_until(lambda: cluster.state(entry, JOB_ID) == "completed", 5)


# Failure: it got no configuration and refused all requests while the store was silent.
def test_an_entry_that_starts_without_the_store_serves_through_its_peers(cluster):
    entry = next(name for name in cluster.entries() if name != cluster.leader())
    cluster.kill(entry)
    store_port = cluster.ports["store"]
    with socket.create_server(("127.0.0.1", 0)) as silent_server:
        cluster.ports["store"] = silent_server.getsockname()[1]
        try:
            cluster.start_entry(entry)
        finally:
            cluster.ports["store"] = store_port
        wait_until(lambda: cluster.is_ready(entry), 5)
        assert cluster.state(entry, JOB_ID) == "completed"
        assert send_to(cluster, entry, "POST", f"/plans/{NEW_JOB_ID}")[0] == 200
        wait_until(lambda: cluster.state(entry, NEW_JOB_ID) == "completed", 10)
        cluster.kill(entry)
    cluster.start_entry(entry)
    wait_until(lambda: cluster.is_ready(entry))
