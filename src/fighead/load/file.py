"""Reads load plans from INI files."""

import datetime as dt

from ..exceptions import SettingsError
from ..ini import (
    Section,
    read_between,
    read_flag,
    read_ini,
    read_list,
    read_milliseconds,
    read_name,
    read_positive,
    read_seconds,
    read_share,
)
from ..model import Category
from .plan import LoadPlan, Stream

#: Longest duration of a load run.
MAX_RUN_S = 3600.0
MAX_RATE_PER_S = 5000.0


def load_plan(path: str) -> LoadPlan:
    """Read and validate a load plan.

    :raises SettingsError: If the file can't be read or is invalid; the message
        lists all errors.
    """
    parser = read_ini(path)
    head = Section("[plan]", parser["plan"] if parser.has_section("plan") else {})
    seed, name = head.take("seed", int, 1), head.take("name", read_name, "load")
    head.report_unknown_keys()
    errors, streams = list(head.errors), []
    for title in parser.sections():
        if title == "plan":
            continue
        section = Section(f"[{title}]", parser[title])
        stream = _read_stream(section)
        section.report_unknown_keys()
        errors.extend(section.errors)
        if not section.errors:
            streams.append(stream)
    if errors:
        raise SettingsError(
            "; ".join(errors) + ".", "Correct these keys in the load plan."
        )
    return LoadPlan(tuple(streams), seed, name)


def _read_stream(section: Section) -> Stream:
    read_time = read_between(float, 0, MAX_RUN_S)
    return Stream(
        upstream=section.take("upstream", read_name),
        kind=section.take("kind", read_name),
        category=section.take("category", Category),
        rate=section.take("rate_per_s", read_between(float, 0, MAX_RATE_PER_S)),
        run_time_s=section.take("run_time_s", read_positive(float)),
        start=dt.timedelta(seconds=section.take("start_s", read_time, 0.0)),
        end=dt.timedelta(seconds=section.take("end_s", read_time, 10.0)),
        deadline=section.take(
            "deadline_ms", read_milliseconds, dt.timedelta(seconds=1)
        ),
        callers=section.take("callers", read_list, ("load",)),
        non_idempotent=section.take("non_idempotent", read_flag, False),
        fails_share=section.take("fails_share", read_share, 0.0),
        wait=section.take("wait_s", read_seconds, dt.timedelta()),
    )
