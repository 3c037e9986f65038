"""Decoding of the operator's configuration from the platform's store."""

import json
import math
import typing as t

from ..job import JobConfig, Queue
from .decoding import DECODE_ERRORS

#: Key of the current configuration.
CONFIG_KEY = "op/config"
#: Prefix of all keys that the operator writes.
OPERATOR_PREFIX = "op/"

Json = dict[str, t.Any]


def decode_config(value: str) -> JobConfig | None:
    """Return the configuration, or ``None`` if ``value`` can't be decoded."""
    try:
        body = json.loads(value)
        limits = body.get("Limits") or {}
        return JobConfig(
            int(body["Version"]),
            tuple(_decode_queue(row) for row in body["Routes"]),
            tuple(row["Name"] for row in body.get("Services") or ()),
            int(limits.get("MaxBodyBytes", JobConfig().max_body_bytes)),
        )
    except DECODE_ERRORS:
        return None


def _decode_queue(row: Json) -> Queue:
    advice = row.get("Advice") or {}
    return Queue(
        row["Name"],
        row["Host"],
        row["Prefix"],
        row["Service"],
        int(row.get("Priority", 0)),
        int(row.get("MaxAttempts", 1)),
        _expect_finite(row.get("SlackFactor", 1.0)),
        # Constant term of the job's latency objective.
        int(row.get("TargetLatencyMs", 0)),
        int(advice.get("ValidMs", 0)),
    )


def _expect_finite(value: t.Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"expected a finite number, got {value!r}")
    return number
