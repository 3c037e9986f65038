"""Odd entries among the registrations of instances, while a cluster works."""

import json

import pytest
from structlog.testing import capture_logs

from fighead.job import JobPhase, JobSpec, Stage
from fighead.platform.instance import decode_instance
from job_cluster import JobCluster
from odd_answers import DEEP, ODD_IDS, ODD_REGISTRATIONS, write_registration

JOB = JobSpec("x", (Stage(count=8, cpu=500, memory_mb=1, estimate_ms=400),))
LONG_JOB = JobSpec("x", (Stage(count=8, cpu=500, memory_mb=1, estimate_ms=6000),))


def job_id(number):
    return f"{number:016x}"


def encode_instance(instance):
    return write_registration(
        Service=instance.upstream,
        Zone=instance.zone,
        Capacity={
            "Cpu": instance.capacity.cpu,
            "MemMb": instance.capacity.memory_mb,
            "Gpu": instance.capacity.gpu,
        },
        Labels=list(instance.labels),
        State="draining" if instance.is_draining else "ready",
        RemainingMs=instance.remaining_ms,
        born=int(instance.incarnation),
    )


def make_cluster(**fields):
    """Return a cluster whose registrations are those of the platform."""
    return JobCluster(
        encode_instance=encode_instance, decode_instance=decode_instance, **fields
    )


def put_odd_entries(cluster):
    for number, value in enumerate(ODD_REGISTRATIONS):
        cluster.store.put(f"servers/odd{number}", value)
    for name in ODD_IDS:
        cluster.store.put(f"servers/{name}", write_registration())


def complete_job(cluster, number):
    cluster.submit(job_id(number), JOB)
    cluster.advance(3)
    assert cluster.find_phase(job_id(number)) is JobPhase.COMPLETED


def known_instances(cluster):
    """Return the ids of the instances that the scheduler uses."""
    scheduler = cluster.entries[cluster.leader()].entry.scheduler
    return {
        name
        for name, state in scheduler.schedule.instances.items()
        if state.is_registered
    }


def count_unreadable(lines):
    return sum(line["event_name"] == "registration_unreadable" for line in lines)


def test_odd_entries_at_the_start_stop_no_work(failures):
    cluster = make_cluster(entry_names=())
    put_odd_entries(cluster)
    for name in ("e1", "e2", "e3"):
        cluster.start_entry(name)
    cluster.advance(2)
    complete_job(cluster, 1)
    cluster.add_instance("i8")
    cluster.advance(2)
    assert known_instances(cluster) == {"i0", "i1", "i2", "i3", "i8"}
    assert not failures and not cluster.find_breaches()


def test_odd_entries_that_come_by_a_watch_stop_no_work(failures):
    cluster = make_cluster()
    cluster.advance(2)
    put_odd_entries(cluster)
    complete_job(cluster, 1)
    cluster.kill_entries(cluster.leader())
    cluster.advance(8)
    complete_job(cluster, 2)
    cluster.add_instance("i8")
    cluster.advance(2)
    assert known_instances(cluster) == {"i0", "i1", "i2", "i3", "i8"}
    assert not failures and not cluster.find_breaches()


def test_odd_entries_written_again_and_again_stop_no_work(failures):
    cluster = make_cluster()
    cluster.advance(2)
    with capture_logs() as lines:
        for number in range(1, 4):
            cluster.submit(job_id(number), JOB)
            for _ in range(10):
                put_odd_entries(cluster)
                cluster.advance(0.2)
            assert cluster.find_phase(job_id(number)) is JobPhase.COMPLETED
        cluster.kill_entries(cluster.leader())
        cluster.advance(8)
        complete_job(cluster, 9)
    assert not failures and not cluster.find_breaches()
    # Two schedulers tell of each odd entry once.
    assert count_unreadable(lines) <= 2 * (len(ODD_REGISTRATIONS) + len(ODD_IDS))
    assert all(len(json.dumps(line, default=str)) < 2000 for line in lines)


def starts_on(cluster, name):
    return [
        event
        for event in cluster.history
        if event.event == "started" and event.instance_id == name
    ]


@pytest.mark.parametrize(
    "value",
    [
        DEEP,
        write_registration(Address="10.0.0.1:99999"),
        write_registration(State="odd"),
        write_registration(Service="nowhere"),
        write_registration(born="x"),
    ],
)
def test_an_odd_entry_under_the_key_of_a_live_instance_names_none(failures, value):
    cluster = make_cluster(instance_count=2)
    cluster.advance(2)
    cluster.submit(job_id(1), LONG_JOB)
    cluster.advance(1)
    assert starts_on(cluster, "i0") and starts_on(cluster, "i1")
    count = len(starts_on(cluster, "i0"))
    cluster.store.put("servers/i0", value)
    cluster.advance(1)
    assert known_instances(cluster) == {"i1"}
    complete_job(cluster, 2)
    assert len(starts_on(cluster, "i0")) == count
    # Its runs go on, and none is started a second time.
    cluster.advance(5)
    assert cluster.find_phase(job_id(1)) is JobPhase.COMPLETED
    assert len(cluster.history) and not cluster.find_breaches()
    starts = [e for e in cluster.history if e.event == "started"]
    assert len(starts) == len({e.task for e in starts})
    cluster.register_instance("i0")
    cluster.advance(1)
    assert known_instances(cluster) == {"i0", "i1"}
    complete_job(cluster, 3)
    assert len(starts_on(cluster, "i0")) > count
    assert not failures


@pytest.mark.parametrize("value", [DEEP, None], ids=["odd", "lapsed"])
def test_runs_of_a_live_instance_without_an_entry_are_not_started_twice(value):
    cluster = make_cluster(instance_count=2)
    cluster.advance(3)
    cluster.submit(job_id(1), LONG_JOB)
    cluster.advance(1)
    assert starts_on(cluster, "i0")
    if value is None:
        cluster.store.remove("servers/i0")
    else:
        cluster.store.put("servers/i0", value)
    cluster.advance(0.5)
    cluster.kill_entries(cluster.leader())
    cluster.advance(12)
    assert not cluster.find_breaches()


def test_an_entry_that_is_odd_again_after_it_was_repaired_is_told_again(failures):
    cluster = make_cluster()
    cluster.advance(2)
    with capture_logs() as lines:
        for _ in range(2):
            cluster.store.put("servers/i0", DEEP)
            cluster.advance(1)
            cluster.register_instance("i0")
            cluster.advance(1)
    assert count_unreadable(lines) == 2 and not failures


def test_a_valid_registration_that_never_answers_delays_no_later_job(failures):
    cluster = make_cluster()
    cluster.advance(3)
    cluster.silent_instances.add("i9")
    cluster.add_instance("i9")
    cluster.advance(1)
    cluster.kill_entries(cluster.leader())
    with capture_logs() as lines:
        while cluster.leader() is None:
            cluster.advance(0.1)
        # An earlier leader may act for 3.2 s after the election.
        cluster.advance(3.4)
        cluster.submit(job_id(1), JOB)
        cluster.advance(1)
        assert any(e.event == "started" for e in cluster.history)
        cluster.advance(5.5)
    # Its leases may last another 6.3 s.
    settled = [line for line in lines if line["event_name"] == "schedule_settled"]
    assert settled and settled[0]["since_election_ms"] < 9600
    assert not failures and not cluster.find_breaches()
