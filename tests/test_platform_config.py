"""Odd configurations in the platform's store."""

import json

import pytest

from fighead.job import JobPhase, JobSpec, Stage
from fighead.platform.config import decode_config
from job_cluster import JobCluster
from odd_answers import DEEP, NESTED, NUMBERS

JOB = JobSpec("x", (Stage(count=2, cpu=1000, memory_mb=1, estimate_ms=300),))
JOB_ID = "00000000000000a1"
ROUTE = {
    "Name": "n",
    "Host": "h",
    "Prefix": "/p/",
    "Service": "s",
    "Priority": 1,
    "MaxAttempts": 2,
    "SlackFactor": 1.5,
    "TargetLatencyMs": 5,
    "Advice": {"DecisionMs": 1, "PerWorkerMs": 1, "ValidMs": 4},
}
CONFIG = {
    "Version": 4,
    "Routes": [ROUTE],
    "Services": [{"Name": "s"}],
    "Limits": {"MaxBodyBytes": 1000},
}
PLATFORM_CONFIG = {
    "Version": 2,
    "Routes": [ROUTE | {"Name": "plans", "Service": "mill"}],
    "Services": [{"Name": "mill"}],
}
RAW_VALUES = (DEEP, NESTED, "true", "-1", "1e300", *NUMBERS)


def test_a_configuration_is_read():
    cfg = decode_config(json.dumps(CONFIG))
    assert cfg.version == 4 and cfg.upstreams == ("s",) and cfg.max_body_bytes == 1000
    assert cfg.queues[0].advice_ms == 4 and cfg.queues[0].slack_factor == 1.5


@pytest.mark.parametrize("name", ROUTE)
@pytest.mark.parametrize("text", [*RAW_VALUES, "[]", '{"ValidMs":1e400}'])
def test_a_route_with_an_odd_field_is_no_configuration(name, text):
    if name == "Advice" and text == "[]":
        text = "[5]"
    row = ROUTE | {name: "RAW"}
    value = json.dumps(CONFIG | {"Routes": [row]}).replace('"RAW"', text)
    assert decode_config(value) is None


@pytest.mark.parametrize("name", ["Version", "Routes", "Services", "Limits"])
@pytest.mark.parametrize("text", [*RAW_VALUES, '[{"Name":5}]'])
def test_an_odd_field_is_no_configuration(name, text):
    value = json.dumps(CONFIG | {name: "RAW"}).replace('"RAW"', text)
    assert decode_config(value) is None


@pytest.mark.parametrize("value", ["", DEEP, '{"a":' * 100_000, NESTED, "5", "\x00"])
def test_a_text_that_can_not_be_read_is_no_configuration(value):
    assert decode_config(value) is None


def test_an_odd_configuration_leaves_the_one_in_force(failures):
    cluster = JobCluster(decode_config=decode_config)
    cluster.store.put("op/config", json.dumps(PLATFORM_CONFIG))
    cluster.advance(3)
    for name in cluster.instances:
        cluster.register_instance(name)
    for text in RAW_VALUES:
        value = json.dumps(PLATFORM_CONFIG | {"Version": "RAW"})
        cluster.store.put("op/config", value.replace('"RAW"', text))
        cluster.advance(0.5)
    cluster.submit(JOB_ID, JOB)
    cluster.advance(3)
    assert cluster.find_phase(JOB_ID) is JobPhase.COMPLETED
    cluster.store.put("op/config", json.dumps(PLATFORM_CONFIG | {"Version": 3}))
    cluster.advance(1)
    versions = {p.entry.front_context.config.version for p in cluster.entries.values()}
    assert versions == {3} and not failures
