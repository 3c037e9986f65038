"""Puts together what the logs of all entries say of one job."""

import json
import typing as t

from attrs import field, frozen

#: Fields of a line that are shown apart from the others.
COMMON = ("timestamp", "entry", "event_name", "event", "number", "level")


@frozen(order=True)
class LogLine:
    """One event of one entry."""

    timestamp: str
    entry: str
    event: str
    fields: dict[str, t.Any] = field(factory=dict, order=False)

    def render(self) -> str:
        """Return the line as a person reads it."""
        rest = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.timestamp} {self.entry:<20} {self.event:<22} {rest}"


def read_line(text: str) -> LogLine | None:
    """Return the event on a line of a log; ``None`` if there is none.

    Whatever stands before the first brace, as a collector adds it, is skipped.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        body = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(body, dict) or "event_name" not in body:
        return None
    fields = {key: value for key, value in body.items() if key not in COMMON}
    return LogLine(
        str(body.get("timestamp", "")),
        str(body.get("entry", "")),
        str(body["event_name"]),
        fields,
    )


def explain(lines: t.Iterable[str], name: str) -> list[LogLine]:
    """Return the history of a job, of a task or of an instance, in order.

    :param name: Id of the job, name of a task, or id of an instance.
    """
    events = (read_line(text) for text in lines if name in text)
    return sorted(line for line in events if line is not None)
