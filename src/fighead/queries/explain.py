"""Collects the log events of one job, task or instance from several entries."""

import json
import typing as t

from attrs import field, frozen

#: Keys that every log line has. Those of the event's text, number and level are not
#: shown.
COMMON_KEYS = ("timestamp", "entry", "event_name", "event", "number", "level")


@frozen(order=True)
class LogLine:
    """One logged event; ordered by timestamp, entry and event name.

    :param event: Name of the event.
    :param fields: Keys and values that depend on the event.
    """

    timestamp: str
    entry: str
    event: str
    fields: dict[str, t.Any] = field(factory=dict, order=False)

    def render(self) -> str:
        """Return the event as one line of text with aligned columns."""
        rest = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.timestamp} {self.entry:<20} {self.event:<22} {rest}"


def parse_line(text: str) -> LogLine | None:
    """Return the event in a line of a log; ``None`` if it holds none.

    A prefix before the first brace, such as a log collector adds, is skipped.
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
    fields = {key: value for key, value in body.items() if key not in COMMON_KEYS}
    return LogLine(
        str(body.get("timestamp", "")),
        str(body.get("entry", "")),
        str(body["event_name"]),
        fields,
    )


def find_events(lines: t.Iterable[str], name: str) -> list[LogLine]:
    """Return the events of a job, task or instance, ordered by timestamp.

    :param lines: Lines of the logs of all entries, in any order.
    :param name: Id of the job, name of the task or id of the instance. Any line
        that contains it matches.
    """
    events = (parse_line(text) for text in lines if name in text)
    return sorted(line for line in events if line is not None)
