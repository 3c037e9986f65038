"""Odd records of jobs, progress, learned effects and the fleet in the store."""

import json
import math

import pytest
from structlog.testing import capture_logs

from fighead.codec import from_json, to_json
from fighead.decisions import interference
from fighead.job import JobPhase, JobRecord, JobSpec, Queue, Stage
from fighead.store import (
    FLEET_KEY,
    JOB_ENDINGS_PREFIX,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    LEARNED_EFFECTS_KEY,
)
from job_cluster import JobCluster
from odd_answers import DEEP, NESTED, NUMBERS

JOB = JobSpec("x", (Stage(count=8, cpu=500, memory_mb=1, estimate_ms=400),))
SMALL_JOB = JobSpec("x", (Stage(cpu=1, memory_mb=1, estimate_ms=200),))
TEXTS = ("", "\x00", "5", "[]", "[5]", DEEP, '{"a":' * 100_000, NESTED)
RAW_VALUES = (DEEP, NESTED, "null", "5", '"x"', "[5]", "{}", "-1", "1e300", *NUMBERS)


def job_id(number):
    return f"{number:016x}"


def replace_fields(body):
    """Return the JSON of ``body`` with each field replaced by each odd value."""
    values = []
    for name in body:
        text = json.dumps(body | {name: "RAW"})
        values += [text.replace('"RAW"', raw) for raw in RAW_VALUES]
        values.append(json.dumps({k: v for k, v in body.items() if k != name}))
    return values


STAGE = json.loads(to_json(SMALL_JOB))["stages"][0]
SPEC = {"payload": "x", "stages": [STAGE], "occurrences": 2, "first_due_ms": 5}
RECORD = {
    "job_id": "JOB-ID",
    "queue": "plans",
    "upstream": "mill",
    "spec": SPEC,
    "accepted_ms": 5,
    "config_version": 1,
}
QUEUE = json.loads(to_json(Queue("plans", "h", "/p/", "mill", 1, 2, 2.0, 5, 5)))
ROW = {
    "stage": 0,
    "occurrence": 0,
    "done": "1",
    "failures": {"0": [1]},
    "checkpoints": {"0": "c"},
}
EFFECT = {"serving": "a", "filler": "b", "mean": 0.1, "variance": 0.1}
ODD_RECORDS = (
    *TEXTS,
    *replace_fields(RECORD),
    *(
        json.dumps(RECORD | {"spec": "S"}).replace('"S"', s)
        for s in replace_fields(SPEC)
    ),
    *(
        json.dumps(RECORD | {"queue_settings": "Q"}).replace('"Q"', queue)
        for queue in replace_fields(QUEUE)
    ),
    *(
        json.dumps(RECORD | {"spec": SPEC | {"stages": ["S"]}}).replace('"S"', stage)
        for stage in replace_fields({**STAGE, "after": [0], "is_gang": True})
    ),
)
ODD_PROGRESS = (
    *TEXTS,
    *replace_fields({"stages": [ROW]}),
    *('{"stages":[' + row + "]}" for row in replace_fields(ROW)),
)
ODD_LEARNED = (
    *TEXTS,
    *replace_fields({"effects": [EFFECT]}),
    *('{"effects":[' + row + "]}" for row in replace_fields(EFFECT)),
)
ODD_FLEETS = (*TEXTS, *replace_fields({"instances": ["i0"]}))


def elect_another(cluster):
    leader = cluster.leader()
    cluster.kill_entries(leader)
    cluster.advance(8)
    assert cluster.leader() not in (leader, None)


def complete_job(cluster, number):
    cluster.submit(job_id(number), JOB)
    cluster.advance(3)
    assert cluster.find_phase(job_id(number)) is JobPhase.COMPLETED


def put_jobs(cluster, records, first):
    """Write records of jobs under ids from ``first`` on."""
    for number, value in enumerate(records):
        name = job_id(first + number)
        cluster.specs[name] = SMALL_JOB
        cluster.store.put(JOBS_PREFIX + name, value.replace("JOB-ID", name))


def test_odd_records_of_jobs_stop_no_other(failures):
    cluster = JobCluster()
    cluster.advance(2)
    with capture_logs() as lines:
        put_jobs(cluster, ODD_RECORDS, 1000)
        complete_job(cluster, 1)
        elect_another(cluster)
        complete_job(cluster, 2)
    assert not failures and not cluster.find_breaches()
    assert all(len(json.dumps(line, default=str)) < 2000 for line in lines)


@pytest.mark.parametrize("name", ["a.b.c", "", "x" * 4000, "\u2603", job_id(5)])
def test_a_record_whose_id_is_not_that_of_its_key_or_no_id_is_no_job(failures, name):
    cluster = JobCluster()
    cluster.advance(2)
    record = to_json(JobRecord(name, "plans", "mill", SMALL_JOB))
    keys = [job_id(6)] if name == job_id(5) else [job_id(6), name]
    for key in keys:
        cluster.store.put(JOBS_PREFIX + key, record)
    cluster.advance(1)
    assert not cluster.history and not failures


def test_odd_progress_of_jobs_stops_no_other(failures):
    cluster = JobCluster()
    cluster.advance(2)
    for number, value in enumerate(ODD_PROGRESS):
        cluster.store.put(JOB_PROGRESS_PREFIX + job_id(1000 + number), value)
    leader = cluster.leader()
    cluster.kill_entries(leader)
    record = JobRecord("JOB-ID", "plans", "mill", SMALL_JOB)
    put_jobs(cluster, [to_json(record)] * len(ODD_PROGRESS), 1000)
    with capture_logs() as lines:
        cluster.advance(8)
        complete_job(cluster, 2)
    assert not failures and not cluster.find_breaches()
    assert all(len(json.dumps(line, default=str)) < 2000 for line in lines)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        *((LEARNED_EFFECTS_KEY, value) for value in (*TEXTS, *ODD_LEARNED[-16:])),
        *((FLEET_KEY, value) for value in ODD_FLEETS),
    ],
)
def test_odd_learned_effects_and_fleets_stop_no_work(failures, key, value):
    cluster = JobCluster()
    cluster.advance(2)
    cluster.store.put(key, value)
    elect_another(cluster)
    complete_job(cluster, 2)
    assert not failures


@pytest.mark.parametrize("name", ["mean", "variance"])
@pytest.mark.parametrize("number", [math.inf, -math.inf, math.nan])
def test_an_effect_that_is_no_finite_number_is_not_learned(name, number):
    rows = [EFFECT | {name: number}, EFFECT | {"filler": "c"}]
    stored = from_json(json.dumps({"effects": rows}), interference.Learned)
    learned = interference.Interference()
    interference.import_effects(learned, stored)
    kept = interference.export_effects(learned).effects
    assert [row.filler for row in kept] == ["c"]


def test_an_odd_ending_stops_no_sweep(failures):
    cluster = JobCluster()
    cluster.advance(2)
    with capture_logs() as lines:
        for number, value in enumerate((*TEXTS, *ODD_FLEETS)):
            cluster.store.put(JOB_ENDINGS_PREFIX + job_id(number), value)
        cluster.advance(62)
    assert not failures
    assert all(len(json.dumps(line, default=str)) < 2000 for line in lines)
