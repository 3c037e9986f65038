"""When an entry asks a peer for a configuration that it lacks."""

import datetime as dt

import pytest

from fighead.decisions.config_request import (
    REPEAT_INTERVAL,
    WATCH_TIME,
    ConfigRequest,
    must_ask,
)
from fighead.job import JobConfig
from fighead.job_message import ConfigWanted
from job_cluster import FakePeer, JobCluster

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
SHORT = dt.timedelta(milliseconds=100)


def test_an_entry_that_reaches_the_store_waits_for_its_own_watch():
    request = ConfigRequest()
    assert not must_ask(request, 2, 1, True, START)
    assert not must_ask(request, 2, 1, True, START + WATCH_TIME - SHORT)
    assert must_ask(request, 2, 1, True, START + WATCH_TIME)


def test_an_entry_that_is_cut_off_asks_at_once_and_not_twice_while_it_waits():
    request = ConfigRequest()
    assert must_ask(request, 2, 1, False, START)
    assert not must_ask(request, 2, 1, False, START + SHORT)
    assert not must_ask(request, 3, 1, False, START + REPEAT_INTERVAL - SHORT)
    assert must_ask(request, 3, 1, False, START + REPEAT_INTERVAL)


def test_the_wait_begins_anew_once_the_entry_has_caught_up():
    request = ConfigRequest()
    must_ask(request, 2, 1, True, START)
    later = START + 5 * WATCH_TIME
    assert not must_ask(request, 2, 2, True, later)
    assert not must_ask(request, 3, 2, True, later + SHORT)


def test_an_older_announcement_does_not_end_the_wait_for_a_newer_version():
    request = ConfigRequest()
    must_ask(request, 3, 1, True, START)
    assert not must_ask(request, 1, 1, True, START + SHORT)
    assert must_ask(request, 3, 1, True, START + WATCH_TIME)


@pytest.fixture
def requests(monkeypatch):
    """Return a list that receives the sender of each request for a configuration."""
    senders, send = [], FakePeer.send

    def record(self, peer, msg):
        senders.extend([self.me] if isinstance(msg, ConfigWanted) else [])
        send(self, peer, msg)

    monkeypatch.setattr(FakePeer, "send", record)
    return senders


def test_no_entry_asks_the_leader_for_what_the_store_just_told(requests):
    cluster = JobCluster()
    cluster.advance(5)
    leader = cluster.entries[cluster.leader()]
    # The leader is told first; its announcement may come before the others' watch.
    version = leader.entry.front_context.config.version + 1
    leader.entry._apply_config(JobConfig(version), "store")
    leader.entry._announce_leader()
    cluster.advance(0.8)
    assert not requests
    # The store of this test never tells them, so each asks once.
    cluster.advance(1.2)
    assert sorted(requests) == sorted(cluster.entries.keys() - {cluster.leader()})
