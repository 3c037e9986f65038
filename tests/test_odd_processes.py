"""Odd entries among the registrations, with real processes and sockets."""

import itertools
import time

import pytest

from cluster import wait_until
from odd_answers import DEEP, ODD_IDS, ODD_REGISTRATIONS, write_registration
from platform_cluster import PlatformCluster

JOB = {
    "Spec": "300",
    "Steps": [{"Count": 6, "Cpu": 1000, "MemMb": 100, "EstRuntimeMs": 300}],
}
LONG_JOB = {
    "Spec": "4000",
    "Steps": [{"Count": 3, "Cpu": 1000, "MemMb": 100, "EstRuntimeMs": 4000}],
}
ENTRIES = [(f"odd{n}", value) for n, value in enumerate(ODD_REGISTRATIONS)]
# The stand-in of the store reads a key as UTF-8, of which a surrogate is no part.
ENTRIES += [(name, write_registration()) for name in ODD_IDS if name != "\ud800"]
#: What tasks log with an unexpected error. All entries of a test share the port of
#: their metrics, so that other errors occur at their start.
UNEXPECTED_ERRORS = ("A task failed", "failed to handle", "were not handled")


@pytest.fixture
def cluster(tmp_path):
    cluster = PlatformCluster(tmp_path)
    try:
        yield cluster.start()
    finally:
        cluster.stop()


def count_lines(cluster, text):
    logs = [cluster.folder / f"{name}.log" for name in cluster.entries()]
    return sum(log.read_text().count(text) for log in logs)


def test_work_goes_on_beside_odd_entries(cluster):
    for name, value in ENTRIES:
        assert cluster.put_text(f"servers/{name}", value)
    assert cluster.submit("e0", f"{1:016x}", JOB)[0] == 200
    wait_until(lambda: cluster.state("e1", f"{1:016x}") == "completed", 15)
    leader = cluster.leader()
    cluster.kill(leader)
    wait_until(lambda: cluster.leader() not in (leader, None), 10)
    cluster.start_entry(leader)
    wait_until(lambda: cluster.is_ready(leader), 10)
    # The writer goes on beside new work; the instances repair their own entries.
    assert cluster.submit(leader, f"{2:016x}", LONG_JOB)[0] == 200
    until = time.monotonic() + 6
    for number, (name, value) in enumerate(itertools.cycle(ENTRIES)):
        if time.monotonic() > until:
            break
        cluster.put_text(f"servers/{name}", value)
        if number % 20 == 0:
            cluster.put_text("servers/i0", DEEP)
    wait_until(lambda: cluster.state(leader, f"{2:016x}") == "completed", 15)
    assert cluster.submit(leader, f"{3:016x}", JOB)[0] == 200
    wait_until(lambda: cluster.state(leader, f"{3:016x}") == "completed", 15)
    assert all(process.poll() is None for process in cluster.processes.values())
    assert not any(count_lines(cluster, text) for text in UNEXPECTED_ERRORS)
    # Each of two schedulers tells of an odd entry once, and of i0 after each repair.
    assert count_lines(cluster, "registration_unreadable") <= 2 * len(ENTRIES) + 10
    starts = [e for e in cluster.history() if e["event"] == "started"]
    assert len(starts) == len({e["task"] for e in starts}) == 15
