"""Answers of the platform's instances that can't be read, or say too little."""

import datetime as dt
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fighead.exceptions import (
    WorkerError,
    WorkerRefusedError,
    WorkerRestartedError,
    WorkerUnreachableError,
)
from fighead.job import TaskKey
from fighead.platform.instance import PlatformInstanceClient, decode_instance
from fighead.run import Listing, RegisteredInstance, StartRun, StopRun
from odd_answers import (
    ADDRESSES,
    DEEP,
    JSON_VALUES,
    NESTED,
    NUMBERS,
    ODD_IDS,
    REGISTRATION,
    Pool,
    result_of,
    with_raw,
    write_registration,
)

TIMEOUT = dt.timedelta(seconds=1)
TASK = TaskKey("5c0e7a21d94b36f8", 0, 0, 1)
LISTING = {
    "ClockMs": 5,
    "Running": [["5c0e7a21d94b36f8.0.0.1", 1, "", 40, 900]],
    "Finished": [[1, "5c0e7a21d94b36f8.0.0.2", 1, "done", ""]],
}


def make_client(status, body):
    instance = RegisteredInstance("i-1", "", "10.0.0.1:80", "u")
    return PlatformInstanceClient(Pool(status, body), instance)


def list_runs(client):
    return result_of(client.renew_and_list(1, 0, 0, dt.timedelta(), TIMEOUT))


def start(client):
    return result_of(client.start(StartRun(TASK, 1, "x"), 100, 1, TIMEOUT))


def test_a_listing_is_read():
    listing = list_runs(make_client(200, json.dumps(LISTING).encode()))
    assert listing.running[0].task == TASK and listing.ended[0].sequence == 1


@pytest.mark.parametrize(
    "change",
    [
        {"ClockMs": None},
        {"ClockMs": "5"},
        {"ClockMs": float("inf")},
        {"Running": 5},
        {"Running": [[]]},
        {"Running": [["5c0e.0.0", 1, "", 40]]},
        {"Running": [["5c0e.0.0.1", "1", "", 40]]},
        {"Running": [["5c0e.0.0.1", 1, 7, 40]]},
        {"Finished": [[1, "5c0e.0.0.1", 1, "vanished", ""]]},
        {"Finished": [["1", "5c0e.0.0.1", 1, "done", ""]]},
        {"Finished": [{}]},
    ],
)
def test_a_listing_that_can_not_be_read_counts_as_unanswered(change):
    with pytest.raises(WorkerUnreachableError):
        list_runs(make_client(200, json.dumps(LISTING | change).encode()))


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[" * 100_000, b"null", b"[1]"])
def test_a_start_answered_with_an_unreadable_body_may_have_run(body):
    with pytest.raises(WorkerUnreachableError):
        start(make_client(200, body))


@pytest.mark.parametrize("status", [500, 502, 504, 404, 204])
def test_other_statuses_do_not_say_that_a_start_had_no_effect(status):
    with pytest.raises(WorkerUnreachableError):
        start(make_client(status, b"{}"))


@pytest.mark.parametrize("status", [400, 409, 421, 429, 503])
@pytest.mark.parametrize("body", [b"", b'{"Reason":["room"]}', b'{"Reason":7}', b"x"])
def test_a_refusal_without_a_known_reason_is_a_refusal(status, body):
    with pytest.raises(WorkerRefusedError):
        start(make_client(status, body))


def test_an_answer_of_another_incarnation_names_it_and_is_no_refusal():
    client = make_client(200, json.dumps(LISTING | {"born": 77}).encode())
    for call in (list_runs, start):
        with pytest.raises(WorkerRestartedError) as caught:
            call(client)
        assert caught.value.incarnation == "77"


def test_a_stop_is_answered_by_its_status_alone():
    client = make_client(200, b"no JSON")
    assert result_of(client.stop(StopRun(TASK, 1), 1, TIMEOUT)) is None


@given(JSON_VALUES)
def test_any_body_of_a_listing_is_read_or_refused(value):
    try:
        found = list_runs(make_client(200, json.dumps(value).encode()))
    except WorkerError:
        return
    assert isinstance(found, Listing)


@given(JSON_VALUES, JSON_VALUES)
def test_any_registration_is_read_or_names_no_instance(value, field):
    for body in (value, {"State": "ready", "Capacity": field, "Labels": field}):
        found = decode_instance("servers/a", json.dumps(body))
        assert found is None or isinstance(found, RegisteredInstance)


def test_a_registration_is_read():
    found = decode_instance("servers/i-1", json.dumps(REGISTRATION))
    assert found.identity == "i-1/1800000000000" and found.address == "10.0.0.1:80"
    assert found.capacity.cpu == 64000 and found.labels == ("a", "r1")


@pytest.mark.parametrize(
    "value", ["", DEEP, '{"a":' * 100_000, DEEP + "]" * 100_000, NESTED, "\x00", "5"]
)
def test_a_registration_that_can_not_be_read_names_no_instance(value):
    assert decode_instance("servers/a", value) is None


@pytest.mark.parametrize("name", REGISTRATION)
@pytest.mark.parametrize("text", [DEEP, NESTED, "null", "{}", "[[]]", "true", '"\x01"'])
def test_a_field_of_another_type_names_no_instance(name, text):
    assert decode_instance("servers/a", with_raw(name, text)) is None


@pytest.mark.parametrize("name", [name for name in REGISTRATION if name != "born"])
def test_a_registration_without_a_field_names_no_instance(name):
    body = {key: value for key, value in REGISTRATION.items() if key != name}
    assert decode_instance("servers/a", json.dumps(body)) is None


@pytest.mark.parametrize("name", [*REGISTRATION, "RemainingMs"])
@pytest.mark.parametrize("number", NUMBERS)
def test_a_number_that_no_field_can_hold_names_no_instance(name, number):
    assert decode_instance("servers/a", with_raw(name, number)) is None


@pytest.mark.parametrize("address", ADDRESSES)
def test_an_address_without_a_usable_host_and_port_names_no_instance(address):
    assert decode_instance("servers/a", write_registration(Address=address)) is None


@pytest.mark.parametrize("born", ["5", "a/b", 5.5, -1, 10**15, True, [1]])
def test_an_incarnation_that_is_no_time_names_no_instance(born):
    assert decode_instance("servers/a", write_registration(born=born)) is None


@pytest.mark.parametrize("name", ODD_IDS)
def test_an_id_that_can_not_be_the_value_of_a_header_names_no_instance(name):
    assert decode_instance("servers/" + name, json.dumps(REGISTRATION)) is None


@given(st.sampled_from(sorted(REGISTRATION)), JSON_VALUES)
def test_any_field_of_a_registration_is_read_or_names_no_instance(name, value):
    found = decode_instance("servers/a", write_registration(**{name: value}))
    assert found is None or isinstance(found, RegisteredInstance)


def test_a_deeply_nested_registration_names_no_instance():
    assert decode_instance("servers/a", "[" * 100_000) is None
