"""Tests of the burn report."""

import datetime as dt

from twisted.internet.task import Clock

from fighead import ledger as ledgers
from fighead.clock import ReactorClock
from fighead.ledger import BurnLedger, Verdict
from fighead.model import Category, Inventory, Kind
from fighead.queries import burn, page

START = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
KIND = Kind("k", "u", Category.CHECK, dt.timedelta(seconds=1), objective=0.99)
INVENTORY = Inventory(kinds={"u/k": KIND})


def make_ledger():
    reactor = Clock()
    return reactor, BurnLedger("e", ReactorClock(reactor, START))


def test_burn_over_windows():
    reactor, ledger = make_ledger()
    for _ in range(98):
        ledger.count("u", "k", Verdict.GOOD)
    ledger.count("u", "k", Verdict.BAD)
    reactor.advance(3600 * 2)
    ledger.count("u", "k", Verdict.BAD)
    now = START + dt.timedelta(hours=2)
    buckets = (*ledger.closed, ledger.current_bucket())
    short, hour, six, days = burn.compute_burn(buckets, INVENTORY, now)
    assert (short.good, short.bad, round(short.rate)) == (0, 1, 100)
    assert (hour.good, hour.bad) == (0, 1)
    assert (six.good, six.bad) == (98, 2)
    assert round(days.rate, 6) == 2.0


def test_buckets_close_when_their_time_is_over_and_on_shutdown():
    reactor, ledger = make_ledger()
    ledger.count("u", "k", Verdict.GOOD)
    reactor.advance(ledgers.BUCKET_LENGTH.total_seconds())
    ledger.current_bucket()
    assert [bucket.start for bucket in ledger.closed] == [START]
    ledger.count("u", "k", Verdict.GOOD)
    ledger.close_bucket()
    assert len(ledger.closed) == 2


def test_page_is_self_contained_and_escapes_names():
    row = burn.Burn("u<b>", "k", dt.timedelta(hours=1), 0.99, 90, 10, 10.0)
    text = page.render_html([row], START)
    assert "u&lt;b&gt;/k" in text
    assert "viewport" in text
    assert "<script" not in text
    assert 'class="urgent"' in text
