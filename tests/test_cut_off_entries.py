"""Requests to entries that are cut off from the store, from their peers or both."""

import pytest
from structlog.testing import capture_logs

from fighead.job import JobPhase, JobSpec, Stage
from front_requests import PREFIX, request
from job_cluster import JobCluster, cut_off, reconnect

JOB = JobSpec("x", (Stage(count=1, cpu=1000, memory_mb=1, estimate_ms=200),))
ENDED_JOB = f"{1:016x}"
RUNNING_JOB = f"{2:016x}"
UNKNOWN_JOB = f"{3:016x}"
BODY = {"Spec": "x", "Steps": [{"Count": 1, "Cpu": 1000, "EstRuntimeMs": 200}]}
#: Time in which an entry knows that it is cut off, in seconds.
NOTICE_S = 4
#: Time in which an entry that knows that it can't serve a request refuses it.
AT_ONCE_S = 0.1
REQUESTS = {
    "phase of an ended job": ("GET", PREFIX + ENDED_JOB),
    "phase of a running job": ("GET", PREFIX + RUNNING_JOB),
    "phase of an unknown job": ("GET", PREFIX + UNKNOWN_JOB),
    "pending jobs": ("GET", PREFIX),
    "submission": ("POST", PREFIX + UNKNOWN_JOB),
    "cancellation": ("DELETE", PREFIX + RUNNING_JOB),
}


def make_cluster(**options):
    """Return a cluster with an ended and a running job, and no other."""
    cluster = JobCluster(**options)
    cluster.submit(ENDED_JOB, JOB)
    cluster.submit(
        RUNNING_JOB, JobSpec("x", (Stage(count=1, cpu=1000, is_lasting=True),))
    )
    cluster.advance(3)
    assert cluster.find_phase(ENDED_JOB) is JobPhase.COMPLETED
    return cluster


def find_followers(cluster):
    return [name for name in cluster.entries if name != cluster.leader()]


def is_ready(cluster, name):
    return cluster.entries[name].entry.is_ready()


def cut_from_store(cluster, *names):
    for name in names:
        store = cluster.entries[name].store
        store.is_cut = store.is_watch_silent = True


def send(cluster, name, what, **options):
    method, path = REQUESTS[what]
    body = BODY if method == "POST" else None
    return request(cluster, name, method, path, body=body, **options)


def test_a_request_that_is_not_served_is_logged_with_its_job_and_reason():
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_off(cluster, (name,), ())
    cluster.advance(NOTICE_S)
    for what in ("phase of a running job", "cancellation"):
        method, path = REQUESTS[what]
        with capture_logs() as logs:
            status = send(cluster, name, what).status
        (line,) = [row for row in logs if row["event_name"] == "request_unserved"]
        assert (line["method"], line["path"], line["status"]) == (method, path, status)
        assert line["reason"] and line["took_ms"] >= 0


def assert_refuses_at_once(cluster, name, what):
    answer = send(cluster, name, what)
    assert answer.status == 503
    assert int(answer.headers["retry-after"]) >= 1
    assert answer.took_s <= AT_ONCE_S


def assert_serves(cluster, name):
    statuses = {what: send(cluster, name, what).status for what in REQUESTS}
    unknown = "phase of an unknown job"
    assert statuses == dict.fromkeys(REQUESTS, 200) | {unknown: 410}


# Failure: it knew no peer's address, got no configuration and refused all requests.
def test_an_entry_that_starts_without_the_store_serves_through_the_leader():
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cluster.kill_entries(name)
    cluster.start_entry(name, is_cut=True)
    cluster.advance(2)
    assert is_ready(cluster, name)
    assert_serves(cluster, name)


# Failure: as before; nobody but the leader that it had heard first was known.
def test_an_entry_that_starts_without_the_store_goes_on_with_the_next_leader():
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cluster.kill_entries(name)
    cluster.start_entry(name, is_cut=True)
    cluster.advance(2)
    cluster.kill_entries(cluster.leader())
    cluster.advance(8)
    assert cluster.leader() not in (None, name)
    assert is_ready(cluster, name)
    assert_serves(cluster, name)


# Failure: it waited for one time-out after the other, up to 4 s.
@pytest.mark.parametrize("what", REQUESTS)
def test_an_entry_cut_off_from_all_refuses_what_it_cannot_serve_at_once(what):
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_off(cluster, (name,), ())
    cluster.advance(NOTICE_S)
    assert_refuses_at_once(cluster, name, what)


# Failure: the balancer went on sending clients to it.
def test_an_entry_cut_off_from_all_is_not_ready_until_it_reaches_somebody():
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_off(cluster, (name,), ())
    cluster.advance(NOTICE_S)
    assert not is_ready(cluster, name)
    cluster.parted_entries.clear()
    cluster.advance(1)
    assert is_ready(cluster, name)
    assert_serves(cluster, name)
    cut_off(cluster, (name,), ())
    cluster.advance(NOTICE_S)
    assert not is_ready(cluster, name)
    reconnect(cluster)
    cluster.advance(1)
    assert is_ready(cluster, name)


def test_entries_cut_off_together_without_a_leader_are_not_ready():
    cluster = make_cluster(entry_names=("e1", "e2", "e3", "e4", "e5"))
    names = find_followers(cluster)[:3]
    cut_off(cluster, names, ())
    cluster.advance(NOTICE_S)
    for name in names:
        assert not is_ready(cluster, name)
        assert_refuses_at_once(cluster, name, "phase of an ended job")
    assert is_ready(cluster, cluster.leader())


def test_a_leader_cut_off_from_all_is_not_ready_and_refuses_writes_at_once():
    cluster = make_cluster()
    name = cluster.leader()
    cut_off(cluster, (name,), cluster.instances)
    cluster.lost_paths = {(name, instance) for instance in cluster.instances}
    cluster.advance(NOTICE_S + 10)
    assert not is_ready(cluster, name)
    assert_refuses_at_once(cluster, name, "submission")
    assert_refuses_at_once(cluster, name, "cancellation")
    assert_refuses_at_once(cluster, name, "phase of an unknown job")


def test_entries_stay_ready_and_answer_through_the_leader_while_the_store_is_away():
    cluster = make_cluster()
    cut_from_store(cluster, *cluster.entries)
    cluster.advance(NOTICE_S)
    for name in cluster.entries:
        assert is_ready(cluster, name)
        assert send(cluster, name, "phase of an ended job").status == 200
        assert send(cluster, name, "phase of a running job").status == 200
        assert send(cluster, name, "pending jobs").status == 200
        assert_refuses_at_once(cluster, name, "submission")
        assert_refuses_at_once(cluster, name, "cancellation")
    reconnect(cluster)
    cluster.advance(1)
    for name in cluster.entries:
        assert send(cluster, name, "submission").status == 200


def test_not_all_entries_are_unready_while_store_and_leader_are_away():
    cluster = make_cluster()
    cut_from_store(cluster, *cluster.entries)
    leader = cluster.leader()
    cluster.kill_entries(leader)
    cluster.start_entry(leader, is_cut=True)
    cluster.advance(NOTICE_S + 4)
    assert any(is_ready(cluster, name) for name in cluster.entries)


def test_a_single_entry_stays_ready_while_the_store_is_away():
    cluster = make_cluster(entry_names=("e1",))
    cut_from_store(cluster, "e1")
    cluster.advance(NOTICE_S)
    assert is_ready(cluster, "e1")
    assert send(cluster, "e1", "phase of a running job").status == 200
    assert_refuses_at_once(cluster, "e1", "submission")


def test_an_entry_cut_off_from_the_store_alone_serves_through_peers():
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_from_store(cluster, name)
    cluster.advance(NOTICE_S)
    assert is_ready(cluster, name)
    assert_serves(cluster, name)


def test_a_leader_cut_off_from_the_store_alone_serves_through_peers():
    cluster = make_cluster()
    name = cluster.leader()
    cut_from_store(cluster, name)
    cluster.advance(NOTICE_S)
    assert is_ready(cluster, name)
    assert_serves(cluster, name)


def test_a_write_that_may_have_been_sent_is_not_reported_as_refused():
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_off(cluster, (name,), ())
    cluster.entries[name].entry._relaying_store.set_store_reached(False)
    answer = send(cluster, name, "submission")
    assert answer.status == 504


# Failure: the time-outs of the scheduler and of three store calls added up.
@pytest.mark.parametrize("deadline_ms, limit_s", [(1000, 1.0), (3000, 2.0), (None, 2)])
@pytest.mark.parametrize("what", [what for what in REQUESTS if "job" in what])
def test_a_query_is_answered_in_time_before_a_cut_is_known(what, deadline_ms, limit_s):
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_off(cluster, (name,), ())
    cluster.entries[name].entry._relaying_store.set_store_reached(False)
    answer = send(cluster, name, what, deadline_ms=deadline_ms)
    assert answer.status == 503
    assert answer.took_s <= limit_s


# Failure: a relayed call had its own time-out, which went beyond the client's.
@pytest.mark.parametrize("what", ["submission", "cancellation"])
def test_a_command_is_answered_before_the_clients_deadline(what):
    cluster = make_cluster()
    name = find_followers(cluster)[0]
    cut_off(cluster, (name,), ())
    cluster.advance(0.5)
    answer = send(cluster, name, what, deadline_ms=1500)
    assert answer.status in (503, 504)
    assert answer.took_s <= 1.5
