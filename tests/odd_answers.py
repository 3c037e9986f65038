"""Helpers for tests with odd answers: any JSON, and a pool that gives one answer."""

import json

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


#: A registration as the platform's instances write it.
REGISTRATION = {
    "Service": "mill",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "State": "ready",
    "Capacity": {"Cpu": 64000, "MemMb": 256000, "Gpu": 0},
    "Labels": ["a", "r1"],
    "born": 1_800_000_000_000,
}
DEEP = "[" * 100_000
#: Nesting that a decoder of JSON accepts.
NESTED = "[" * 900 + "]" * 900
#: Text that JSON reads as a number, but that no field can hold.
NUMBERS = ("1" + "0" * 400, "9" * 5000, "1e400", "-1e400", "NaN", "Infinity")
ADDRESSES = (
    *("", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:65536"),
    *("10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:8 0", "10.0.0.1:" + "9" * 5000),
    *("10.0.0.1:\u0663", "10.0.0.1:80\n", "a\r\nX: y:80", "\u2603:80", "\ud800:80"),
    *("10.0.0.1\x00:80", "x" * 4000 + ":80"),
)


def write_registration(**fields):
    """Return the value of a registration with these fields."""
    return json.dumps(REGISTRATION | fields)


def with_raw(name, text):
    """Return a registration with ``text`` as the JSON of one field."""
    return write_registration(**{name: "RAW"}).replace('"RAW"', text)


#: Values under which no instance may be used.
ODD_REGISTRATIONS = (
    *("", "\x00", "5", DEEP, '{"a":' * 100_000, DEEP + "]" * 100_000, NESTED),
    *(with_raw("Capacity", text) for text in (DEEP, NESTED, *NUMBERS)),
    *(with_raw("born", text) for text in (DEEP, NESTED, "null", "true", *NUMBERS)),
    *(write_registration(Address=address) for address in ADDRESSES),
    *(write_registration(State=state) for state in ("gone", "", None, 5, ["ready"])),
    *(write_registration(Service=service) for service in ("nowhere", "", None, 5)),
    *(
        json.dumps({key: value for key, value in REGISTRATION.items() if key != name})
        for name in REGISTRATION
        if name != "born"
    ),
)
#: Ids that can't be the value of a header.
ODD_IDS = ("", "a b", "a\r\nX: y", "\x00", "\u2603", "\ud800", "x" * 4000)


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
