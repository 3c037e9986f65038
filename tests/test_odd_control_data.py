"""Odd members, claims and revisions among the control data of the product's store."""

import json

import pytest
from structlog.testing import capture_logs

from fighead.codec import to_json
from fighead.model import Member
from fighead.store import CLAIMS_PREFIX, CURRENT_REVISION_KEY, MEMBERS_PREFIX, KeyValue
from fighead.tasks.member import ClaimValue, decode_control
from odd_answers import DEEP, NESTED, NUMBERS

MEMBER = Member("e1", "z", "tcp://10.0.0.1:80")
VALUES = ("\x00", "5", "[]", "{}", DEEP, '{"a":' * 100_000, NESTED)
VALUES += tuple(
    json.dumps({**json.loads(to_json(MEMBER)), "applied_revision": "RAW"}).replace(
        '"RAW"', number
    )
    for number in NUMBERS[1:]
)


@pytest.mark.parametrize("value", VALUES)
def test_odd_control_data_leave_the_others(value):
    kvs = [
        KeyValue(MEMBERS_PREFIX + "odd", value, 1, 1),
        KeyValue(MEMBERS_PREFIX + "e1", to_json(MEMBER), 1, 1),
        KeyValue(CLAIMS_PREFIX + "odd", value, 1, 1),
        KeyValue(CLAIMS_PREFIX + "line/a", to_json(ClaimValue("e1", "w")), 3, 3),
        KeyValue(CURRENT_REVISION_KEY, value, 1, 1),
    ]
    with capture_logs() as lines:
        control = decode_control(kvs)
    assert control.members == {"odd": None, "e1": MEMBER}
    assert dict(control.claims)["line/a"].owner == "e1"
    assert set(control.claims) <= {"line/a"} and control.current is None
    assert len(lines) == 3
    assert all(len(json.dumps(line)) < 2000 for line in lines)
