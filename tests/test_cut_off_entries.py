"""Requests to entries that are cut off from the store, from their peers or both."""

from structlog.testing import capture_logs

from fighead.job import JobPhase, JobSpec, Stage
from front_requests import PREFIX, request
from job_cluster import JobCluster, cut_off

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
