"""Bodies that clients send and receive."""

import json
import re
import typing as t

from ..exceptions import RequestError
from ..job import JobPhase, JobSpec, Stage

ID_PATTERN = re.compile(r"^[0-9a-fA-F]{16}$")
#: Longest payload of a job, in bytes, by the page on submissions.
MAX_PAYLOAD_BYTES = 4000
#: Most tasks of a stage and stages of a job that are taken.
MAX_TASKS = 10_000
MAX_STAGES = 1000

Json = dict[str, t.Any]


def check_job_id(job_id: str) -> str:
    """Return a job's id.

    :raises RequestError: If it is not 16 hexadecimal digits.
    """
    if not ID_PATTERN.match(job_id):
        raise RequestError(
            f"{job_id[:40]!r} is no job id.", "Use 16 hexadecimal digits."
        )
    return job_id


def decode_submission(content: bytes) -> JobSpec:
    """Return the job that a client's body describes.

    :raises RequestError: Naming the field that can't be read.
    """
    try:
        body = json.loads(content)
    except ValueError as exc:
        raise RequestError("The body is no JSON.", "Send a JSON object.") from exc
    if not isinstance(body, dict):
        raise RequestError("The body is no JSON object.", "Send a JSON object.")
    rows = _take(body, "Steps", list, [])
    if not 0 < len(rows) <= MAX_STAGES:
        raise RequestError(
            f"The job has {len(rows)} steps.", f"Send 1 to {MAX_STAGES} steps."
        )
    payload = _take(body, "Spec", str, "")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise RequestError(
            "Spec is too long.", f"Send at most {MAX_PAYLOAD_BYTES} bytes."
        )
    return JobSpec(
        payload,
        tuple(_decode_stage(row, number) for number, row in enumerate(rows)),
        _take(body, "StartAtMs", int, 0),
        _take(body, "IntervalMs", int, 0),
        # How often the stages run; absent for a job that runs once.
        max(0, _take(body, "Repeats", int, 0)),
    )


def _decode_stage(row: t.Any, number: int) -> Stage:
    if not isinstance(row, dict):
        raise RequestError(f"Step {number} is no object.", "Send a JSON object.")
    count = _take(row, "Count", int, 1)
    if not 0 < count <= MAX_TASKS:
        raise RequestError(
            f"Step {number} has Count {count}.", f"Use 1 to {MAX_TASKS}."
        )
    return Stage(
        count,
        _positive(row, "Cpu"),
        _positive(row, "MemMb"),
        _positive(row, "Gpu"),
        _positive(row, "EstRuntimeMs"),
        _decode_after(row, number),
        _take(row, "Checkpointing", bool, False),
        _take(row, "Gang", bool, False),
        _take(row, "SameRack", bool, False),
        # Label that the instance must have.
        _take(row, "Requires", str, ""),
        # Rack on which the data lies.
        _take(row, "Affinity", str, ""),
        _positive(row, "MaxPerServer"),
        _take(row, "AllowDuplicates", bool, False),
        _take(row, "LongRunning", bool, False),
        _take(row, "Image", str, ""),
        _positive(row, "TargetMs"),
        _take(row, "Fills", bool, False),
        _positive(row, "MaxUnavailable"),
    )


def _decode_after(row: Json, number: int) -> tuple[int, ...]:
    after = _take(row, "After", list, [])
    if not all(type(n) is int and 0 <= n < number for n in after):
        raise RequestError(
            f"Step {number} has After {after!r}.", "Name earlier steps, from 0."
        )
    return tuple(after)


def _positive(row: Json, name: str) -> int:
    value = _take(row, name, int, 0)
    if value < 0:
        raise RequestError(f"{name} is {value}.", "Use 0 or more.")
    return value


def _take(row: Json, name: str, kind: type, default: t.Any) -> t.Any:
    value = row.get(name)
    if value is None:
        return default
    if kind is int and type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not kind:
        raise RequestError(
            f"{name} is {value!r}.", f"Send {kind.__name__} or leave it out."
        )
    return value


def encode_phase(phase: JobPhase) -> bytes:
    """Return the body that tells a job's state."""
    return json.dumps({"State": phase.value}).encode()


def encode_pending(count: int) -> bytes:
    """Return the body that tells how many jobs of a queue have not begun."""
    return json.dumps({"Pending": count}).encode()


def encode_error(message: str) -> bytes:
    """Return the body of a refusal."""
    return json.dumps({"Error": message}).encode()
