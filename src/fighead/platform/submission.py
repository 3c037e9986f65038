"""Decoding of the bodies that clients send, and encoding of the responses."""

import json
import re
import reprlib
import typing as t

from ..exceptions import RequestError
from ..job import JobPhase, JobSpec, Stage, find_excess

JOB_ID_PATTERN = re.compile(r"^[0-9a-fA-F]{16}$")
#: Largest payload of a job in UTF-8, as the page on submissions documents it.
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS_PER_STAGE = 10_000
MAX_STAGES_PER_JOB = 1000
#: Objects and lists of a body. A job of as many steps as are allowed has 2,002: itself,
#: its list of steps, and each step with its list ``After``. Empty ones take 30 times
#: their bytes when they are decoded.
MAX_CONTAINERS = 10_000
#: A string of JSON, or what there is of one that has no end.
_STRING = re.compile(r'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)', re.DOTALL)

Json = dict[str, t.Any]


def validate_job_id(job_id: str) -> str:
    """Return ``job_id`` unchanged if it is valid.

    :raises RequestError: If it is not 16 hexadecimal digits.
    """
    if not JOB_ID_PATTERN.match(job_id):
        raise RequestError(
            f"{job_id[:40]!r} is not a valid job id.", "Use 16 hexadecimal digits."
        )
    return job_id


def decode_submission(content: bytes) -> JobSpec:
    """Decode and validate the JSON body of a job submission.

    :raises RequestError: Naming the first invalid field.
    """
    body = _decode_json(content)
    if not isinstance(body, dict):
        raise RequestError("The body is not a JSON object.", "Send a JSON object.")
    rows = _take(body, "Steps", list, [])
    if not 0 < len(rows) <= MAX_STAGES_PER_JOB:
        raise RequestError(
            f"The job has {len(rows)} steps.", f"Send 1 to {MAX_STAGES_PER_JOB} steps."
        )
    payload = _take(body, "Spec", str, "")
    if not _is_payload(payload):
        raise RequestError(
            "Spec exceeds the size limit, or has no UTF-8 form.",
            f"Send at most {MAX_PAYLOAD_BYTES} bytes of UTF-8.",
        )
    spec = JobSpec(
        payload,
        tuple(_decode_stage(row, index) for index, row in enumerate(rows)),
        _take(body, "StartAtMs", int, 0),
        _take(body, "IntervalMs", int, 0),
        # Number of occurrences; absent for a job that runs once.
        max(0, _take(body, "Repeats", int, 0)),
    )
    excess = find_excess(spec)
    if excess:
        raise RequestError(
            f"The job is too large: {excess}.", "Split it, or use smaller numbers."
        )
    return spec


def _decode_json(content: bytes) -> t.Any:
    try:
        text = content.decode(json.detect_encoding(content), "surrogatepass")
        if _has_excess_containers(text):
            raise RequestError(
                f"The body has more than {MAX_CONTAINERS} objects and lists.",
                f"Send 1 to {MAX_STAGES_PER_JOB} steps.",
            )
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise RequestError(
            "The body is not valid JSON.", "Send a JSON object."
        ) from exc


def _has_excess_containers(text: str) -> bool:
    """Whether a text has more objects and lists than are decoded.

    Brackets within strings don't count, but looking for strings takes longer.
    """
    if _count_containers(text) <= MAX_CONTAINERS:
        return False
    return _count_containers(_STRING.sub("", text)) > MAX_CONTAINERS


def _count_containers(text: str) -> int:
    return text.count("{") + text.count("[")


def _is_payload(text: str) -> bool:
    try:
        return len(text.encode()) <= MAX_PAYLOAD_BYTES
    except UnicodeEncodeError:
        # JSON can name half of a surrogate pair.
        return False


def _decode_stage(row: t.Any, index: int) -> Stage:
    if not isinstance(row, dict):
        raise RequestError(f"Step {index} is not a JSON object.", "Send a JSON object.")
    count = _take(row, "Count", int, 1)
    if not 0 < count <= MAX_TASKS_PER_STAGE:
        raise RequestError(
            f"Step {index} has Count {count}.", f"Use 1 to {MAX_TASKS_PER_STAGE}."
        )
    return Stage(
        count,
        _take_non_negative(row, "Cpu"),
        _take_non_negative(row, "MemMb"),
        _take_non_negative(row, "Gpu"),
        _take_non_negative(row, "EstRuntimeMs"),
        _decode_after(row, index),
        _take(row, "Checkpointing", bool, False),
        _take(row, "Gang", bool, False),
        _take(row, "SameRack", bool, False),
        # Label that an instance needs to run the tasks.
        _take(row, "Requires", str, ""),
        # Rack that holds the input data.
        _take(row, "Affinity", str, ""),
        _take_non_negative(row, "MaxPerServer"),
        _take(row, "AllowDuplicates", bool, False),
        _take(row, "LongRunning", bool, False),
        _take(row, "Image", str, ""),
        _take_non_negative(row, "TargetMs"),
        _take(row, "Fills", bool, False),
        _take_non_negative(row, "MaxUnavailable"),
    )


def _decode_after(row: Json, index: int) -> tuple[int, ...]:
    after = _take(row, "After", list, [])
    if not all(type(n) is int and 0 <= n < index for n in after):
        raise RequestError(
            f"Step {index} has After {reprlib.repr(after)}.",
            "List the numbers of earlier steps, counted from 0.",
        )
    return tuple(after)


def _take_non_negative(row: Json, name: str) -> int:
    value = _take(row, name, int, 0)
    if value < 0:
        raise RequestError(f"{name} is {value}.", "Use 0 or more.")
    return value


def _take(row: Json, name: str, expected_type: type, default: t.Any) -> t.Any:
    value = row.get(name)
    if value is None:
        return default
    if expected_type is int and type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not expected_type:
        raise RequestError(
            f"{name} is {reprlib.repr(value)}.",
            f"Send a value of type {expected_type.__name__}, or omit the field.",
        )
    return value


def encode_phase(phase: JobPhase) -> bytes:
    """Return the response body for a query of a job's state."""
    return json.dumps({"State": phase.value}).encode()


def encode_pending(count: int) -> bytes:
    """Return the response body with the number of a queue's unstarted jobs."""
    return json.dumps({"Pending": count}).encode()


def encode_error(message: str) -> bytes:
    """Return the response body of a failed request."""
    return json.dumps({"Error": message}).encode()
