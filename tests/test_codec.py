"""Encoding of messages between entries."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fighead.codec import from_wire, to_wire
from fighead.exceptions import RequestError
from fighead.job_message import JOB_MESSAGES
from fighead.message import Envelope

REGISTRY = {"Envelope": Envelope}
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner)
    ),
    max_leaves=10,
)


def test_the_payload_of_a_message_is_sent_as_it_is():
    payload = bytes(range(256))
    frame = to_wire(Envelope("e1", "", False, payload))
    assert payload in frame
    assert from_wire(frame, REGISTRY).payload == payload


@pytest.mark.parametrize("payload", [5, 1 << 40, "text", None, [1]])
def test_a_payload_that_is_not_bytes_is_refused(payload):
    body = {"sender": "e1", "call_id": "", "is_answer": False, "payload": payload}
    with pytest.raises(RequestError):
        from_wire(msgpack.packb(("Envelope", body)), REGISTRY)


@given(st.binary(max_size=64))
def test_any_bytes_from_a_peer_are_read_or_refused(frame):
    read_or_refuse(frame)


@given(st.sampled_from(sorted(JOB_MESSAGES)), VALUES)
def test_any_body_of_a_message_is_read_or_refused(name, body):
    read_or_refuse(msgpack.packb((name, body)))


def read_or_refuse(frame):
    try:
        from_wire(frame, JOB_MESSAGES)
    except RequestError:
        return
