"""Helpers for tests with odd answers: any JSON, and a pool that gives one answer."""

from hypothesis import strategies as st
from twisted.internet.defer import Deferred, succeed

from fighead.http_client import HttpResponse

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=12,
)


class Pool:
    """Answers each request with the same response."""

    def __init__(self, status, body):
        self.response = HttpResponse(status, body)

    def request(self, *_):
        return succeed(self.response)


def result_of(coroutine):
    """Return what a coroutine that needs no reactor returns or raises."""
    results = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    (result,) = results
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result
