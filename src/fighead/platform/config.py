"""Decoding of the operator's configuration from the platform's store."""

import json
import typing as t

from ..job import MAX_QUANTITY, JobConfig, Queue
from .decoding import DECODE_ERRORS, expect_quantity, expect_text

#: Key of the current configuration.
CONFIG_KEY = "op/config"
#: Prefix of all keys that the operator writes.
OPERATOR_PREFIX = "op/"
#: Prefix of the keys that evacuate a zone, followed by its name.
EVACUATION_PREFIX = "op/evacuate/"

Json = dict[str, t.Any]


def decode_config(value: str) -> JobConfig | None:
    """Return the configuration, or ``None`` if ``value`` can't be decoded."""
    try:
        body = json.loads(value)
        limits = body.get("Limits") or {}
        return JobConfig(
            expect_quantity(body["Version"]),
            tuple(_decode_queue(row) for row in body["Routes"]),
            tuple(expect_text(row["Name"]) for row in body.get("Services") or ()),
            expect_quantity(limits.get("MaxBodyBytes", JobConfig().max_body_bytes)),
        )
    except DECODE_ERRORS:
        return None


def is_evacuation(value: str) -> bool:
    """Whether ``value`` is that of an evacuation: a JSON object of any content."""
    try:
        return isinstance(json.loads(value), dict)
    except DECODE_ERRORS:
        return False


def _decode_queue(row: Json) -> Queue:
    advice = row.get("Advice") or {}
    return Queue(
        expect_text(row["Name"]),
        expect_text(row["Host"]),
        expect_text(row["Prefix"]),
        expect_text(row["Service"]),
        expect_quantity(row.get("Priority", 0)),
        expect_quantity(row.get("MaxAttempts", 1)),
        _expect_factor(row.get("SlackFactor", 1.0)),
        # Constant term of the job's latency objective.
        expect_quantity(row.get("TargetLatencyMs", 0)),
        expect_quantity(advice.get("ValidMs", 0)),
    )


def _expect_factor(value: t.Any) -> float:
    number = float(value)
    if isinstance(value, bool) or not 0 <= number <= MAX_QUANTITY:
        raise ValueError(f"expected 0 to {MAX_QUANTITY}, got {value!r}")
    return number
