"""Renders the burn report as text and as a self-contained HTML page."""

import datetime as dt
import html
import re
import typing as t

import pygal
from pygal.style import CleanStyle

from .burn import Burn

#: Burn rates from which a row of the page is highlighted.
ALERT_RATE = 1.0
URGENT_RATE = 6.0

#: Scripts and comments in a chart's SVG, which a static page does not need.
_SCRIPTS_AND_COMMENTS = re.compile(r"<script.*?</script>|<!--.*?-->", re.S)
_STYLE = """
body { font: 16px/1.4 system-ui, sans-serif; margin: 0 auto; max-width: 60rem;
  padding: 0 1rem 2rem; color: #1c2430; background: #fff; }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin: 1.6rem 0 .4rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .3rem .4rem; border-bottom: 1px solid #dde3ea; }
th:first-child, td:first-child { text-align: left; }
.alert { background: #fff3d6; } .urgent { background: #ffe0dc; }
figure { margin: .6rem 0; } svg { width: 100%; height: auto; }
"""


def render_text(rows: t.Sequence[Burn]) -> str:
    """Return the report as a plain-text table with a line for each row."""
    lines = [f"{'kind':34} {'window':>7} {'good':>9} {'bad':>7} {'burn':>8}"]
    for row in rows:
        name = f"{row.upstream}/{row.kind}"
        lines.append(
            f"{name:34} {format_window(row.window):>7} {row.good:9} {row.bad:7} "
            f"{row.rate:8.2f}"
        )
    lines.append("A burn of 1 uses the whole error budget by the end of the window.")
    return "\n".join(lines)


def render_html(rows: t.Sequence[Burn], at: dt.datetime) -> str:
    """Return the report as an HTML page with inline charts, a section per kind.

    The page refers to no other resource.
    """
    kinds = sorted({(row.upstream, row.kind) for row in rows})
    parts = [_render_head(at)]
    for upstream, kind in kinds:
        kind_rows = [
            row for row in rows if (row.upstream, row.kind) == (upstream, kind)
        ]
        parts.append(_render_section(f"{upstream}/{kind}", kind_rows))
    if not kinds:
        parts.append("<p>No kind of work is declared.</p>")
    parts.append("</body></html>\n")
    return "".join(parts)


def format_window(window: dt.timedelta) -> str:
    """Return the length of a window in days, hours or minutes, rounded down.

    >>> format_window(dt.timedelta(hours=6))
    '6 h'
    """
    if window.days:
        return f"{window.days} d"
    minutes = int(window.total_seconds() // 60)
    return f"{minutes // 60} h" if minutes >= 60 else f"{minutes} min"


def _render_head(at: dt.datetime) -> str:
    time_text = at.strftime("%Y-%m-%d %H:%M UTC")
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width, initial-scale=1">'
        f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>"
        f"<h1>Service-level burn</h1><p>{time_text}. A burn of 1 uses the whole error "
        "budget by the end of the window.</p>"
    )


def _render_section(name: str, rows: t.Sequence[Burn]) -> str:
    objective = f"{rows[0].objective:.3%}"
    body = "".join(_render_row(row) for row in rows)
    return (
        f"<h2>{html.escape(name)}</h2><p>Objective {objective}</p>"
        "<table><tr><th>Window</th><th>Good</th><th>Bad</th><th>Burn</th></tr>"
        f"{body}</table><figure>{_render_chart(rows)}</figure>"
    )


def _render_row(row: Burn) -> str:
    css_class = ""
    if row.rate >= URGENT_RATE:
        css_class = ' class="urgent"'
    elif row.rate >= ALERT_RATE:
        css_class = ' class="alert"'
    return (
        f"<tr{css_class}><td>{format_window(row.window)}</td><td>{row.good}</td>"
        f"<td>{row.bad}</td><td>{row.rate:.2f}</td></tr>"
    )


def _render_chart(rows: t.Sequence[Burn]) -> str:
    chart = pygal.HorizontalBar(
        style=CleanStyle,
        show_legend=False,
        height=60 + 50 * len(rows),
        width=600,
        explicit_size=False,
        js=[],
        x_title="burn",
    )
    chart.x_labels = [format_window(row.window) for row in rows]
    chart.add("burn", [round(row.rate, 3) for row in rows])
    svg = chart.render(is_unicode=True, disable_xml_declaration=True)
    return _SCRIPTS_AND_COMMENTS.sub("", svg)
