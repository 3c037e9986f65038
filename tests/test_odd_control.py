"""Odd entries among the members, and odd values of the keys of the election."""

import json

import pytest
from structlog.testing import capture_logs

from fighead.codec import from_wire, to_wire
from fighead.job import JobPhase, JobSpec, Stage
from fighead.job_message import JOB_MESSAGES, LeaderIs
from fighead.store import JOB_MEMBERS_PREFIX, JOB_TERM_KEY
from job_cluster import JobCluster
from odd_answers import ADDRESSES, DEEP, NESTED, NUMBERS

JOB = JobSpec("x", (Stage(count=8, cpu=500, memory_mb=1, estimate_ms=400),))
MEMBER = {"name": "odd", "availability_zone": "z", "peer_address": "tcp://10.0.0.1:80"}


def with_raw(name, text):
    """Return a member with ``text`` as the JSON of one field."""
    return json.dumps(MEMBER | {name: "RAW"}).replace('"RAW"', text)


def with_capacity(text):
    both = f'{{"processor_cores":{text},"link_mbit_s":{text}}}'
    return [
        with_raw("capacity", both),
        with_raw("capacity", f'{{"processor_cores":{text}}}'),
        with_raw("capacity", f'{{"link_mbit_s":{text}}}'),
    ]


ODD_MEMBERS = (
    *("", "\x00", "5", "{}", DEEP, '{"a":' * 100_000, NESTED),
    *(with_raw(name, DEEP) for name in (*MEMBER, "capacity")),
    *(with_raw(name, NESTED) for name in (*MEMBER, "capacity")),
    *(with_raw(name, text) for name in MEMBER for text in NUMBERS),
    *(json.dumps(MEMBER | {"peer_address": address}) for address in ADDRESSES),
    *(json.dumps(MEMBER | {"applied_revision": 10**400}),),
    *(
        value
        for text in (*NUMBERS, "-5", "0", "1e308")
        for value in with_capacity(text)
    ),
)
ODD_TERMS = (
    "",
    "x",
    "-5",
    "\u00b2",
    "9" * 5000,
    "9" * 400,
    str(2**63),
    str(2**64),
    "1e400",
    DEEP,
)


def job_id(number):
    return f"{number:016x}"


def complete_job(cluster, number):
    cluster.submit(job_id(number), JOB)
    cluster.advance(3)
    assert cluster.find_phase(job_id(number)) is JobPhase.COMPLETED


def test_odd_members_stop_no_work_and_no_election(failures):
    cluster = JobCluster()
    cluster.advance(2)
    with capture_logs() as lines:
        for number, value in enumerate(ODD_MEMBERS):
            cluster.store.put(f"{JOB_MEMBERS_PREFIX}odd{number}", value)
        complete_job(cluster, 1)
        leader = cluster.leader()
        cluster.kill_entries(leader)
        cluster.advance(8)
        assert cluster.leader() not in (leader, None)
        complete_job(cluster, 2)
    assert not failures and not cluster.find_breaches()
    assert all(len(json.dumps(line, default=str)) < 2000 for line in lines)


@pytest.mark.parametrize("value", ODD_MEMBERS)
def test_an_odd_member_stops_no_election(failures, value):
    cluster = JobCluster(entry_names=())
    cluster.store.put(JOB_MEMBERS_PREFIX + "odd", value)
    for name in ("e1", "e2"):
        cluster.start_entry(name)
    cluster.advance(2)
    assert cluster.leader() and not failures


@pytest.mark.parametrize("value", ODD_TERMS)
def test_an_odd_term_stops_no_election(failures, value):
    cluster = JobCluster()
    cluster.advance(2)
    leader = cluster.leader()
    cluster.store.put(JOB_TERM_KEY, value)
    cluster.kill_entries(leader)
    cluster.advance(8)
    assert cluster.leader() not in (leader, None)
    complete_job(cluster, 1)
    assert not failures
    # Its peers can be told of it.
    view = cluster.entries[cluster.leader()].entry.front_context.view
    announcement = LeaderIs(cluster.leader(), view.leader)
    assert from_wire(to_wire(announcement), JOB_MESSAGES) == announcement
