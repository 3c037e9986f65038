"""Timeouts of store calls over a slow link."""

import base64
import datetime as dt

import pytest
from twisted.internet.defer import ensureDeferred

from fighead.clock import ReactorClock
from fighead.exceptions import StoreUnavailableError
from fighead.http_client import HttpPool
from fighead.platform.store import PlatformStoreClient
from fighead.store import Range
from fighead.tasks.watch import STORE_TIMEOUT, read_all
from slow_link import SlowLink

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
#: 5 Mbit/s.
BYTES_PER_S = 625_000
PAGE_ITEMS = 500
#: Characters of a value; a page of them has 1 MB.
VALUE_SIZE = 2000
ITEM_COUNT = 1200


def make_item(key):
    value = base64.b64encode(b"x" * VALUE_SIZE).decode()
    return {"Key": key, "Value": value, "Revision": 5, "Created": 5}


def answer(path, query):
    """Answer reads of a page, of a key, and watches."""
    if path.endswith("kv-key"):
        return make_item(query["Key"]) | {"AtRev": 7}
    if path.endswith("kv-watch"):
        events = [make_item(f"jobs/{number:06}") for number in range(PAGE_ITEMS)]
        return {"events": events, "AtRev": 9}
    keys = [f"jobs/{number:06}" for number in range(ITEM_COUNT)]
    rest = [key for key in keys if key > query.get("After", "")]
    page = rest[:PAGE_ITEMS]
    items = [make_item(key) for key in page]
    return {"items": items, "HasMore": len(rest) > len(page), "AtRev": 7}


def run(make_call, bytes_per_s=BYTES_PER_S, stalls_after=None, seconds=20):
    """Return the result of a call and the seconds that it took."""
    link = SlowLink(answer, bytes_per_s, stalls_after)
    client = PlatformStoreClient(
        HttpPool(link, ReactorClock(link, START)), "127.0.0.1:1"
    )
    results = []

    def record(result):
        results.append((result, link.seconds()))

    ensureDeferred(make_call(client)).addBoth(record)
    for _ in range(round(seconds / 0.05)):
        link.advance(0.05)
    return results[0]


def read_page(client):
    return client.call(Range("jobs/", is_prefix=True), STORE_TIMEOUT)


def test_a_page_that_takes_longer_than_the_timeout_to_transfer_is_read():
    page, took_s = run(read_page)
    assert len(page.kvs) == PAGE_ITEMS
    assert took_s > 2 * STORE_TIMEOUT.total_seconds()


def test_all_pages_are_read_over_a_slow_link():
    snapshot, _ = run(lambda client: read_all(client, "jobs/"))
    assert len(snapshot.kvs) == ITEM_COUNT
    assert snapshot.revision == 7


def test_a_batch_of_changes_that_takes_long_to_transfer_is_read():
    batch, took_s = run(
        lambda client: client.watch("jobs/", 5, dt.timedelta(milliseconds=200))
    )
    assert len(batch.events) == PAGE_ITEMS
    assert took_s > 2


@pytest.mark.parametrize("stalls_after", [1, 200_000, 1_000_000])
def test_a_page_that_stops_arriving_fails_after_the_timeout(stalls_after):
    failure, took_s = run(read_page, stalls_after=stalls_after)
    assert failure.check(StoreUnavailableError)
    received_s = stalls_after / BYTES_PER_S
    assert 1 <= took_s - received_s <= 1.3


def test_a_watch_that_stops_arriving_fails_after_the_margin_alone():
    wait = dt.timedelta(seconds=4)
    failure, took_s = run(
        lambda client: client.watch("jobs/", 5, wait), stalls_after=200_000
    )
    assert failure.check(StoreUnavailableError)
    assert took_s < 2


def test_the_read_of_one_key_is_limited_as_a_whole():
    failure, took_s = run(
        lambda client: client.call(Range("jobs/1"), STORE_TIMEOUT), bytes_per_s=1500
    )
    assert failure.check(StoreUnavailableError)
    assert took_s == pytest.approx(1, abs=0.1)
