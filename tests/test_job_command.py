"""Outcomes that the commands of clients report."""

import datetime as dt

import pytest
from attrs import define
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.commands.job import Accepted, NotAccepted, Uncertain, cancel_job
from fighead.exceptions import StoreOutcomeUnknownError, StoreUnavailableError
from fighead.job_front_context import JobFrontContext
from fighead.job_metric import JobMetrics
from fighead.store import JOBS_PREFIX, KeyValue, RangeResult, Txn, TxnResult

START = dt.datetime(2030, 1, 1, tzinfo=dt.UTC)
JOB_ID = "00000000000000aa"
UNKNOWN = StoreOutcomeUnknownError("lost", "retry")
UNAVAILABLE = StoreUnavailableError("away", "retry")


@define(eq=False)
class FakeStore:
    """A store with one job; ``results`` lists what its transactions come to."""

    results: list

    async def call(self, req, timeout):
        if not isinstance(req, Txn):
            return RangeResult(1, (KeyValue(JOBS_PREFIX + JOB_ID, "{}", 1, 1),))
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if isinstance(result, Exception):
            raise result
        return result


@pytest.mark.parametrize(
    ("results", "outcome"),
    [
        ([UNKNOWN], Uncertain),
        ([UNKNOWN, UNAVAILABLE], Uncertain),
        ([UNAVAILABLE], NotAccepted),
        ([UNKNOWN, TxnResult(True, 2)], Accepted),
    ],
)
def test_a_cancellation_that_may_be_stored_is_not_reported_as_refused(results, outcome):
    reactor = Clock()
    clock = ReactorClock(reactor, START)
    context = JobFrontContext(
        clock, FakeStore(results), None, lambda _: None, JobMetrics("e0")
    )
    deadline = START + dt.timedelta(seconds=1)
    answer = Deferred.fromCoroutine(cancel_job(context, JOB_ID, deadline))
    reactor.pump([0.1] * 20)
    assert isinstance(answer.result, outcome)
