"""Answers of the platform's store that can't be read, or say too little."""

import datetime as dt
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fighead.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from fighead.platform.store import PlatformStoreClient
from fighead.store import LeaseGrant, LeaseKeepAlive, LeaseRevoke, Put, Range, Txn
from odd_answers import JSON_VALUES, NUMBERS, Pool, result_of

TIMEOUT = dt.timedelta(seconds=1)
TXN = Txn((), (Put("k", "v"),))
READS = [Range("k"), Range("k", is_prefix=True), LeaseKeepAlive(5)]


def call(req, status, body):
    client = PlatformStoreClient(Pool(status, body), "10.0.0.1:80")
    return result_of(client.call(req, TIMEOUT))


def watch(body, status=200):
    client = PlatformStoreClient(Pool(status, body), "10.0.0.1:80")
    return result_of(client.watch("p/", 1, TIMEOUT))


@pytest.mark.parametrize("body", [b"", b"x", b"[]", b'{"Revision":"x"}', b"[" * 99_999])
@pytest.mark.parametrize("req", [TXN, LeaseGrant(2)])
def test_a_write_that_was_answered_unreadably_may_have_taken_effect(req, body):
    with pytest.raises(StoreOutcomeUnknownError):
        call(req, 200, body)


@pytest.mark.parametrize("status", [500, 502, 504])
@pytest.mark.parametrize("req", [TXN, LeaseGrant(2), LeaseRevoke(5)])
def test_other_server_errors_do_not_say_that_a_write_had_no_effect(req, status):
    with pytest.raises(StoreOutcomeUnknownError):
        call(req, status, b"")


@pytest.mark.parametrize("status", [429, 503])
def test_a_rejected_write_had_no_effect(status):
    with pytest.raises(StoreUnavailableError):
        call(TXN, status, b"")


@pytest.mark.parametrize("req", READS)
@pytest.mark.parametrize("body", [b"x", b"[]", b'{"AtRev":[]}', b"[" * 99_999])
def test_a_read_that_was_answered_unreadably_counts_as_unanswered(req, body):
    with pytest.raises(StoreUnavailableError):
        call(req, 200, body)


@pytest.mark.parametrize(
    "body", [b"x", b"[]", b'{"AtRev":1,"events":[5]}', b'{"AtRev":1,"events":[{}]}']
)
def test_a_watch_that_was_answered_unreadably_goes_on_later(body):
    with pytest.raises(StoreUnavailableError):
        watch(body)


@given(JSON_VALUES, st.sampled_from([200, 412]))
def test_any_answer_is_read_or_refused(value, status):
    body = json.dumps(value).encode()
    for req in (TXN, LeaseGrant(2), *READS):
        try:
            call(req, status, body)
        except StoreError:
            continue
    try:
        watch(body)
    except StoreError:
        return


ITEM = {"Key": "p/a", "Value": "MQ==", "Created": 1, "Revision": 2}
ODD_VALUES = (None, 5, True, [], {}, "x", "=", "\u2603", "\ud800", "/w==", "MQ" * 3)


@pytest.mark.parametrize("value", ODD_VALUES)
def test_a_value_that_can_not_be_read_leaves_the_other_items(value):
    items = [ITEM, {**ITEM, "Key": "p/b", "Value": value}]
    page = json.dumps({"AtRev": 5, "HasMore": False, "items": items}).encode()
    found = call(Range("p/", is_prefix=True), 200, page)
    assert [(kv.key, kv.value) for kv in found.kvs] == [("p/a", "1"), ("p/b", "")]
    batch = watch(json.dumps({"AtRev": 5, "events": items}).encode())
    assert [event.kv.key for event in batch.events] == ["p/a", "p/b"]
    single = json.dumps({**items[1], "AtRev": 5}).encode()
    assert call(Range("p/b"), 200, single).kvs[0].value == ""


@pytest.mark.parametrize("number", NUMBERS)
def test_a_number_that_can_not_be_read_makes_an_answer_unreadable(number):
    for name in ("AtRev", "Revision", "Created"):
        body = {"AtRev": 5, "HasMore": False, "items": [ITEM]}
        row = body if name == "AtRev" else body["items"][0]
        raw = json.dumps(body | {"items": [{**ITEM, name: "RAW"}]})
        if row is body:
            raw = json.dumps(body | {name: "RAW"})
        with pytest.raises(StoreUnavailableError):
            call(
                Range("p/", is_prefix=True), 200, raw.replace('"RAW"', number).encode()
            )


@pytest.mark.parametrize("key", [5, None, ["p/a"], {}])
def test_an_item_whose_key_is_no_text_makes_an_answer_unreadable(key):
    body = {"AtRev": 5, "HasMore": False, "items": [{**ITEM, "Key": key}]}
    with pytest.raises(StoreUnavailableError):
        call(Range("p/", is_prefix=True), 200, json.dumps(body).encode())
