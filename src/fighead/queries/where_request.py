"""Asks an entry where a job would go, and renders the answer."""

import json
import os
import pathlib
import re
import typing as t
from urllib.parse import quote

import treq

from ..codec import from_json
from ..exceptions import RequestError
from ..operator_client import CALL_TIMEOUT_S, CallRefusedError
from ..settings import ADDRESS_PATTERN
from .explanation import Choice, Explanation, Outcome

DEFAULT_ENTRY = "127.0.0.1:9464"
EXIT_CODES = {Outcome.PLACED: 0, Outcome.WAITS: 3, Outcome.REFUSED: 4}
_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")


def read_target(target: str) -> tuple[str, str, bytes]:
    """Return method, path and body of the request for a file or a job ID.

    :param target: Path of a file with queue and job; otherwise the ID of a job.
    :raises RequestError: If it is neither.
    """
    if not os.path.exists(target) and _JOB_ID.fullmatch(target):
        return "GET", f"/where?job={target}", b""
    remedy = 'Give a job ID, or a file with {"queue": NAME, "job": {...}}.'
    try:
        value = json.loads(pathlib.Path(target).read_text(encoding="utf-8"))
    except OSError as exc:
        raise RequestError(
            f"{target!r} is no job ID and can't be read as a file ({exc.strerror}).",
            remedy,
        ) from exc
    except (ValueError, RecursionError) as exc:
        raise RequestError(f"{target} is not valid JSON.", remedy) from exc
    queue = value.get("queue") if isinstance(value, dict) else None
    if not isinstance(queue, str) or not isinstance(value.get("job"), dict):
        raise RequestError(f"{target} lacks a queue or a job.", remedy)
    path = f"/where?queue={quote(queue, safe='')}"
    return "POST", path, json.dumps(value["job"]).encode()


async def ask_where(entry: str, target: str) -> Explanation:
    """Return where a job would go by the leader's schedule.

    :param entry: IP:port of the leader's metrics.
    :raises RequestError: If the input is bad.
    :raises CallRefusedError: If the entry refuses or gives no valid answer.
    """
    method, path, body = read_target(target)
    if not ADDRESS_PATTERN.fullmatch(entry):
        raise RequestError(f"{entry!r} is no address.", "Write it as IP:port.")
    try:
        response = await treq.request(
            method, f"http://{entry}{path}", data=body, timeout=CALL_TIMEOUT_S
        )
        content = await response.content()
    except Exception as exc:
        raise CallRefusedError(
            f"{entry} gave no answer ({type(exc).__name__}).",
            "Give the address of the leader's metrics with --entry.",
        ) from exc
    if response.code != 200:
        raise CallRefusedError(
            _read_error(content) or f"{entry} answered with {response.code}.",
            "Correct the input, or ask the leader with --entry.",
        )
    return from_json(content, Explanation)


def _read_error(content: bytes) -> str:
    try:
        return str(json.loads(content)["error"]).partition(" Remedy:")[0]
    except (ValueError, KeyError, TypeError):
        return ""


def render(found: Explanation) -> str:
    """Return an explanation as text."""
    lines = [f"{found.outcome.value}: {found.reason}"]
    name = f"job {found.job}" if found.job else "new job"
    if found.retry_after_s is not None:
        lines.append(f"admission: refused for {found.retry_after_s:.1f} s")
    else:
        lines.append(f"admission: {'accepted' if found.job else 'would be accepted'}")
    lines.append(f"{name} in queue {found.queue}, {found.tasks_waiting} tasks waiting")
    if found.stage is not None:
        lines.append(
            f"stage {found.stage}: place {found.place} of {found.stages_waiting}, "
            f"{found.tasks_ahead} tasks ahead"
        )
    if found.starts_left is not None:
        lines.append(f"starts that the leader may send now: {found.starts_left}")
    for group in found.groups:
        examples = ", ".join(group.examples)
        lines.append(f"  {group.count:5} {group.reason:<20} {examples}")
    lines += [_render_choice(choice) for choice in found.chosen]
    ages = found.ages_ms
    lines.append(
        f"age of the figures: listings {_render_age(ages.newest_listing)} to "
        f"{_render_age(ages.oldest_listing)}, store {_render_age(ages.store)}"
    )
    return "\n".join(lines)


def _render_choice(choice: Choice) -> str:
    if choice.score is None:
        return f"task {choice.task} is on {choice.instance}"
    return f"task {choice.task} to {choice.instance}, score {choice.score:.3f}"


def _render_age(age_ms: t.Any) -> str:
    return "unknown" if age_ms is None else f"{age_ms} ms"
