"""Jobs, registrations and configurations that must not stop the work on others."""

import contextlib
import datetime as dt
import json
import random

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock as TimerClock

from fighead.clock import ReactorClock
from fighead.codec import to_json
from fighead.decisions import filler_control, instance_tracking, placement
from fighead.exceptions import RequestError
from fighead.job import (
    MAX_QUANTITY,
    MAX_TASKS_PER_JOB,
    JobPhase,
    JobRecord,
    JobSpec,
    Stage,
    find_excess,
)
from fighead.mailbox import spawn
from fighead.platform.config import decode_config
from fighead.platform.instance import decode_instance
from fighead.platform.submission import decode_submission
from fighead.store import JOBS_PREFIX, KeyValue
from fighead.tasks.watch import Snapshot, WatchTask
from job_builders import add_job, at_seconds, make_schedule, orders_in
from job_cluster import JobCluster
from memory_store import MemoryStore
from odd_answers import JSON_VALUES

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
NUMBERS = st.sampled_from([0, 1, 7000, 10**9, 10**12, MAX_QUANTITY, 10**17, 10**400])
STEPS = st.fixed_dictionaries(
    {"Count": st.sampled_from([1, 3])},
    optional={
        "Cpu": NUMBERS,
        "MemMb": NUMBERS,
        "Gpu": NUMBERS,
        "EstRuntimeMs": NUMBERS,
        "MaxPerServer": NUMBERS,
        "TargetMs": NUMBERS,
        "MaxUnavailable": NUMBERS,
        "Fills": st.booleans(),
        "LongRunning": st.booleans(),
        "Gang": st.booleans(),
        "Image": st.sampled_from(["", "a"]),
    },
)
CAPACITIES = st.fixed_dictionaries(
    {name: NUMBERS | st.integers(-5, 5) for name in ("Cpu", "MemMb", "Gpu")}
)
JOB = JobSpec("x", (Stage(count=2, cpu=1000, memory_mb=1, estimate_ms=300),))


def job_id(number):
    return f"{number:016x}"


def decode_steps(steps, **fields):
    return decode_submission(json.dumps({"Steps": steps, **fields}).encode())


def make_registration(**fields):
    body = {
        "Service": "mill",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "State": "ready",
        "Capacity": {"Cpu": 64000, "MemMb": 256000, "Gpu": 0},
        "Labels": ["a", "r1"],
        "born": 5,
    }
    return json.dumps(body | fields)


@given(st.lists(STEPS, min_size=1, max_size=3))
def test_no_accepted_job_stops_the_placement_of_another(steps):
    try:
        spec = decode_steps(steps)
    except RequestError:
        return
    schedule = make_schedule(("i1", "i2"))
    add_job(schedule, *spec.stages, job_id=job_id(1))
    add_job(schedule, *JOB.stages, job_id=job_id(2))
    for at in (1, 3, 9):
        orders = orders_in(placement.place_waiting_tasks(schedule, at_seconds(at)))
        if at == 1:
            assert job_id(2) in {order.task.job_id for order in orders}


@given(CAPACITIES, NUMBERS, st.lists(STEPS, min_size=1, max_size=2))
def test_no_registration_stops_the_placement_on_other_instances(
    capacity, remaining_ms, steps
):
    state = {"State": "draining", "RemainingMs": remaining_ms}
    bodies = (
        make_registration(Capacity=capacity),
        make_registration(Capacity=capacity, **state),
    )
    schedule = make_schedule(("i1",))
    for number, body in enumerate(bodies):
        instance = decode_instance(f"servers/odd{number}", body)
        if instance is None:
            continue
        now = at_seconds(0)
        instance_tracking.add_instance(schedule, instance, now)
        added = schedule.instances[instance.instance_id]
        added.is_reachable = added.is_listed = added.is_in_stored_fleet = True
    with contextlib.suppress(RequestError):
        add_job(schedule, *decode_steps(steps).stages, job_id=job_id(1))
    free = Stage(count=2, image="f", is_filler=True)
    add_job(schedule, *JOB.stages, job_id=job_id(2))
    add_job(schedule, free, job_id=job_id(3))
    orders = orders_in(placement.place_waiting_tasks(schedule, at_seconds(1)))
    assert job_id(2) in {order.task.job_id for order in orders}
    for instance in schedule.instances.values():
        filler_control.learn_from_listing(schedule, instance, at_seconds(2))
        filler_control.pace_fillers(schedule, instance, at_seconds(2))


@pytest.mark.parametrize(
    "steps",
    [
        [{"EstRuntimeMs": 10**17}],
        [{"Cpu": 10**400}],
        [{"Count": 10_000}, {"Count": 1}],
        [{"MemMb": MAX_QUANTITY + 1}],
    ],
)
def test_a_job_beyond_the_limits_is_refused_by_its_entry(steps):
    with pytest.raises(RequestError):
        decode_steps(steps)


def test_occurrences_count_for_the_limit_of_tasks():
    steps = [{"Count": 10}]
    assert decode_steps(steps, Repeats=MAX_TASKS_PER_JOB // 10)
    with pytest.raises(RequestError):
        decode_steps(steps, Repeats=MAX_TASKS_PER_JOB // 10 + 1)
    with pytest.raises(RequestError):
        decode_steps(steps, Repeats=10**9)


def test_a_job_that_is_due_at_the_present_time_is_within_the_limits():
    now_ms = 1_800_000_000_000
    assert decode_steps([{}], StartAtMs=now_ms, IntervalMs=2000, Repeats=4)


@pytest.mark.parametrize(
    "body", [b"[" * 100_000, b'{"Spec":"\\ud800","Steps":[{}]}', b"\xff", b"5"]
)
def test_a_body_that_can_not_be_read_is_a_bad_request(body):
    with pytest.raises(RequestError):
        decode_submission(body)


@given(JSON_VALUES)
def test_any_body_is_read_or_refused(value):
    for body in (value, {"Steps": value}, {"Steps": [value], "Spec": "x"}):
        try:
            spec = decode_submission(json.dumps(body).encode())
        except RequestError:
            continue
        assert not find_excess(spec)


@given(JSON_VALUES)
def test_any_configuration_is_read_or_left_out(value):
    row = {"Name": "n", "Host": "h", "Prefix": "/p/", "Service": "s"}
    bodies = [value, {"Version": 1, "Routes": value}, {"Version": value, "Routes": []}]
    for key in ("Priority", "MaxAttempts", "SlackFactor", "TargetLatencyMs", "Advice"):
        bodies.append({"Version": 1, "Routes": [{**row, key: value}]})
    for body in bodies:
        decode_config(json.dumps(body))


@pytest.mark.parametrize("factor", [float("nan"), float("inf")])
def test_a_queue_without_a_finite_objective_is_no_configuration(factor):
    row = {"Name": "n", "Host": "h", "Prefix": "/", "Service": "s"}
    cfg = {"Version": 1, "Routes": [{**row, "SlackFactor": factor}]}
    assert decode_config(json.dumps(cfg)) is None


def test_a_poisonous_record_in_the_store_stops_no_other_job():
    cluster = JobCluster()
    cluster.advance(4)
    poison = evolve(JOB, stages=(Stage(count=1, estimate_ms=10**17),))
    many = evolve(JOB, occurrences=10**9)
    for number, spec in enumerate((poison, many)):
        record = JobRecord(job_id(100 + number), "plans", "mill", spec)
        cluster.store.put(JOBS_PREFIX + record.job_id, to_json(record))
    cluster.advance(1)
    cluster.submit(job_id(1), JOB)
    cluster.advance(3)
    assert cluster.find_phase(job_id(1)) is JobPhase.COMPLETED
    # A later scheduler reads it as well.
    cluster.kill_entries(cluster.leader())
    cluster.advance(8)
    cluster.submit(job_id(2), JOB)
    cluster.advance(4)
    assert cluster.find_phase(job_id(2)) is JobPhase.COMPLETED


def test_a_watch_goes_on_after_its_receiver_failed():
    reactor = TimerClock()
    clock = ReactorClock(reactor, START)
    store = MemoryStore(clock)
    store.items["p/a"] = KeyValue("p/a", "1", 1, 1)
    received, failures = [], [ValueError("odd"), ValueError("odd")]

    def deliver(msg):
        if failures:
            raise failures.pop()
        received.append(msg)

    spawn(WatchTask(store, "p/", clock, random.Random(1), deliver).run())
    for _ in range(200):
        reactor.advance(0.01)
    snapshots = [msg for msg in received if isinstance(msg, Snapshot)]
    assert [kv.key for kv in snapshots[-1].kvs] == ["p/a"]
    store.put("p/b", "2")
    for _ in range(50):
        reactor.advance(0.01)
    assert any("p/b" in str(msg) for msg in received)
