"""End-to-end tests of the platform adapter with real processes and sockets."""

import signal

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
    assert call("DELETE", f"{base}/plans/{OTHER_JOB_ID}")[0] == 410
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
