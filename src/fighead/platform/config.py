"""The operator's configuration, as the platform's store holds it."""

import json
import typing as t

from ..job import JobConfig, Queue

#: Key of the newest configuration.
CONFIG = "op/config"
OPERATOR = "op/"

Json = dict[str, t.Any]


def decode_config(value: str) -> JobConfig | None:
    """Return the configuration, or ``None`` if the value is none."""
    try:
        body = json.loads(value)
        limits = body.get("Limits") or {}
        return JobConfig(
            int(body["Version"]),
            tuple(_decode_queue(row) for row in body["Routes"]),
            tuple(row["Name"] for row in body.get("Services") or ()),
            int(limits.get("MaxBodyBytes", JobConfig().max_body_bytes)),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
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
        float(row.get("SlackFactor", 1.0)),
        # Constant part of the latency objective of a job.
        int(row.get("TargetLatencyMs", 0)),
        int(advice.get("ValidMs", 0)),
    )
