"""Tests of the task that watches the load of a process, on a driven clock."""

import datetime as dt

import pytest
from structlog.testing import capture_logs
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.job import JobSpec, Stage
from fighead.job_metric import JobMetrics
from fighead.mailbox import spawn
from fighead.process_load import (
    AllCallCounts,
    ProcessClocks,
    SchedulerCounters,
    SchedulerLoad,
)
from fighead.tasks.load import LoadTask
from job_cluster import JobCluster

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
JOB_ID = "5c0e7a21d94b36f8"
JOB = JobSpec("w", (Stage(count=2, cpu=1000, memory_mb=1, is_lasting=True),))
SHORT_JOB = JobSpec("x", (Stage(cpu=1000, memory_mb=1, estimate_ms=400),))
LOAD = SchedulerLoad(2, SchedulerCounters(), 30, 1, 1, 4, 0, 0.0)


class Process:
    """A load task whose event loop can be blocked and whose wall clock can step."""

    def __init__(self):
        self.reactor = Clock()
        self.load = None
        self.blocked_s = self.stepped_s = 0.0
        clocks = ProcessClocks(self.steady_s, self.wall_s, lambda: 0.0)
        task = LoadTask(
            ReactorClock(self.reactor, START),
            clocks,
            AllCallCounts,
            lambda: self.load,
            JobMetrics("e"),
        )
        spawn(task.run())

    def steady_s(self):
        return self.reactor.seconds() + self.blocked_s

    def wall_s(self):
        return self.steady_s() + self.stepped_s

    def run(self, seconds):
        """Return the names of the events logged meanwhile."""
        with capture_logs() as lines:
            self.reactor.pump([0.1] * round(seconds * 10))
        return [line["event_name"] for line in lines]


@pytest.fixture
def process():
    return Process()


def test_an_idle_entry_logs_nothing(process):
    assert process.run(60) == []


def test_a_leader_logs_its_load_every_two_seconds(process):
    process.load = LOAD
    names = process.run(20.5)
    assert set(names) == {"leader_load"} and len(names) in (9, 10)


def test_a_blocked_loop_is_logged_at_most_every_five_seconds(process):
    names = []
    for _ in range(20):
        process.blocked_s += 0.8
        names += process.run(0.1)
    # These 20 readings take 18 s on the steady clock.
    assert names == ["loop_delayed"] * 4


def test_a_stepped_wall_clock_is_logged_and_no_delay(process):
    process.run(1)
    process.stepped_s = -4.0
    assert process.run(10) == ["clock_stepped"]


def find_fields(lines, name):
    return [line for line in lines if line["event_name"] == name]


def test_the_leader_counts_rounds_orders_and_listings():
    cluster = JobCluster()
    with capture_logs() as lines:
        cluster.advance(8)
        cluster.submit(JOB_ID, JOB, "watches")
        cluster.advance(6)
    loads = find_fields(lines, "leader_load")
    assert {line["term"] for line in loads} == {1}
    assert sum(line["orders"] for line in loads) == 2
    assert sum(line["rounds"] for line in loads) > 0
    assert all(line["listings"] > 0 for line in loads[1:])
    assert loads[-1]["jobs"] == 1 and loads[-1]["waiting_tasks"] == 0
    assert loads[-1]["instances"] == 4 and loads[-1]["write_age_ms"] == 0


def test_the_log_tells_who_leads_and_how_soon_it_schedules():
    with capture_logs() as lines:
        cluster = JobCluster()
        cluster.advance(8)
        first = cluster.leader()
        cluster.kill_entries(first)
        cluster.advance(10)
    elected = find_fields(lines, "leader_elected")
    assert [(line["term"], line["previous"]) for line in elected] == [
        (1, ""),
        (2, first),
    ]
    for name in ("schedule_loaded", "schedule_settled"):
        found = find_fields(lines, name)
        assert [line["term"] for line in found] == [1, 2]
        assert all(0 <= line["since_election_ms"] < 5000 for line in found)


def test_an_unanswered_write_shows_in_the_load():
    with capture_logs() as lines:
        cluster = JobCluster()
        cluster.advance(8.8)
        leader = cluster.leader()
        follower = next(name for name in cluster.entries if name != leader)
        cluster.submit(JOB_ID, SHORT_JOB, "plans", follower)
        cluster.advance(0.2)
        cluster.entries[leader].store.is_cut = True
        cluster.advance(4)
    ages = [line["write_age_ms"] for line in find_fields(lines, "leader_load")]
    assert max(ages) > 1000
