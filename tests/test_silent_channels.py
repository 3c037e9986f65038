"""Channels to the store that go silent for good, while new ones work."""

import datetime as dt
import random

import pytest
from twisted.internet.testing import MemoryReactorClock

from fighead.clock import ReactorClock
from fighead.http_client import HttpPool
from fighead.job import JobSpec, Stage
from fighead.mailbox import spawn
from fighead.platform.store import WATCH_TIMEOUT_MARGIN, PlatformStoreClient
from fighead.store import Range
from fighead.tasks.watch import WatchTask
from job_cluster import START_TIME, JobCluster
from test_http_client import connect
from test_takeover import job_id

#: Time without disturbance after which an entry counts as in touch again.
STABILITY_S = 3.0
#: Time from the store's answer to a report until an instance gets no more starts.
DRAIN_S = 2.0
NOT_FOUND = b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
#: Longest time of a watch until it fails.
WATCH_S = 2.0
QUICK = JobSpec("x", (Stage(count=1, cpu=2000, estimate_ms=200),))


def submit_jobs(cluster, seconds):
    """Submit a job each 0.1 s."""
    for _ in range(round(seconds / 0.1)):
        cluster.submit(job_id(len(cluster.specs) + 1), QUICK)
        cluster.advance(0.1)


# Failure: the leader took the silence of its watch of the registrations for the news
# that no instance was leaving, and started tasks on one for up to 5.5 s.
@pytest.mark.parametrize("before_s", [0.0, 0.3, 0.6, 0.9, 1.2, 2.1])
@pytest.mark.parametrize("after_s", [0.0, 0.5, 1.0])
def test_a_leader_whose_open_channels_went_silent_leaves_draining_instances_alone(
    before_s, after_s
):
    cluster = JobCluster(instance_count=2)
    submit_jobs(cluster, 3)
    cluster.advance(before_s)
    for process in cluster.entries.values():
        process.store.silenced += 1
    silent_at = cluster.clock.now()
    cluster.advance(after_s)
    cluster.drain_instance("i0", 60_000)
    drained_at = cluster.clock.now()
    submit_jobs(cluster, 6)
    bound = max(
        silent_at + dt.timedelta(seconds=STABILITY_S),
        drained_at + dt.timedelta(seconds=DRAIN_S),
    )
    starts = [event for event in cluster.history if event.event == "started"]
    assert any(event.instance_id == "i0" for event in starts)
    assert any(event.at > bound for event in starts)
    assert not [e for e in starts if e.instance_id == "i0" and e.at > bound]


# Failure: each attempt to watch again used another channel that was silent as well.
def test_a_watch_is_repeated_on_a_new_channel_after_its_own_went_silent():
    reactor = MemoryReactorClock()
    clock = ReactorClock(reactor, START_TIME)
    pool = HttpPool(reactor, clock)
    client = PlatformStoreClient(pool, "10.0.0.1:80")
    calls, channels = [], []
    for _ in range(3):
        calls.append(spawn(client.call(Range("a"), dt.timedelta(seconds=1))))
        channels.append(connect(reactor))
    for channel in channels:
        channel.dataReceived(NOT_FOUND)
    assert all(call.called for call in calls)
    watch = WatchTask(
        client,
        "servers/",
        clock,
        random.Random(1),
        lambda _: None,
        wait=dt.timedelta(seconds=WATCH_S) - WATCH_TIMEOUT_MARGIN,
        revision=1,
    )
    task = spawn(watch.run())
    reactor.pump([0.1] * round((WATCH_S + 0.4) / 0.1))
    task.cancel()
    assert pool.connections == 4
