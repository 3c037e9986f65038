"""Reading of the settings file that the platform puts on each machine."""

import tomllib

import pytest

from fighead.codec import from_json, to_json
from fighead.model import Capacity, JobMember, Member
from fighead.platform.settings import parse_settings
from platform_cluster import SETTINGS_TEMPLATE

PORTS = {"front": 1, "ready": 2, "peer": 3, "store": 4}


def parse(limits):
    text = SETTINGS_TEMPLATE.format(name="e1", **PORTS)
    return parse_settings(tomllib.loads(text) | limits, "settings.toml")


def test_capacity_is_the_share_of_a_core_times_its_speed_and_the_link():
    limits = {"CpuShare": 0.25, "Cores": 2, "LinkMbps": 100.0}
    assert parse({"Limits": limits}).capacity == Capacity(0.5, 100.0)


@pytest.mark.parametrize(
    "limits",
    [
        {},
        {"Limits": "none"},
        {"Limits": {}},
        {"Limits": {"CpuShare": "0.5", "Cores": 2, "LinkMbps": True}},
        {"Limits": {"CpuShare": 0, "Cores": 2, "LinkMbps": -1}},
        {"Limits": {"CpuShare": float("nan"), "Cores": 2, "LinkMbps": float("inf")}},
    ],
)
def test_missing_or_invalid_limits_are_unknown(limits):
    assert parse(limits).capacity == Capacity()


def test_one_known_limit_is_kept_if_the_other_is_missing():
    assert parse({"Limits": {"LinkMbps": 10}}).capacity == Capacity(None, 10.0)


def test_a_member_record_without_a_capacity_is_readable():
    record = to_json(Member("e1", "z", "tcp://e1"))
    assert from_json(record, JobMember) == JobMember("e1", "z", "tcp://e1")


def test_a_member_record_keeps_the_capacity():
    member = JobMember("e1", "z", "tcp://e1", capacity=Capacity(0.5, 100.0))
    assert from_json(to_json(member), JobMember) == member
    assert from_json(to_json(member), Member) == Member("e1", "z", "tcp://e1")
