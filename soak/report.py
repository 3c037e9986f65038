"""What is kept of a seed: a timeline to read, and counts of the pairs of faults."""

import collections
import html
import itertools
import typing as t

import pygal

from .model import Result


def write_timeline(result: Result) -> str:
    """Return the faults, the jobs and the events of runs, ordered by time."""
    start_s = min((job.sent_s for job in result.jobs), default=0.0)
    rows = [
        (f.at_s, f"FAULT {f.kind.value} {f.target}, {f.for_s:.1f} s")
        for f in result.faults
    ]
    for crowd in result.crowds:
        rows.append((crowd.at_s, f"CROWD at entry {crowd.target}, {crowd.for_s:.1f} s"))
    for job in result.jobs:
        text = f"job {job.job_id} {job.statuses} {job.final_state}"
        rows.append((job.sent_s - start_s, text))
        if job.cancelled_s is not None:
            rows.append((job.cancelled_s - start_s, f"cancelled {job.job_id}"))
    for seen in result.runs:
        text = f"{seen.instance} {seen.event} {seen.task} run {seen.run}"
        rows.append((seen.at_s - start_s, text))
    for stop in result.stops:
        end = f"{stop.gone_s - stop.begin_s:.3f} s"
        how = ", paused or killed" if stop.is_disturbed else ""
        text = f"{stop.entry} is stopped as planned, gone after {end}{how}"
        rows.append((stop.begin_s - start_s, text))
    for exchange in result.exchanges:
        if not exchange.status:
            age_s = exchange.ended_s - exchange.sent_s
            text = f"{exchange.method} {exchange.path} at {exchange.entry}"
            rows.append((exchange.sent_s - start_s, f"{text} cut after {age_s:.3f} s"))
    lines = [f"BREACH {breach.promise}: {breach.text}" for breach in result.breaches]
    lines += [f"{at_s:8.3f} {text}" for at_s, text in sorted(rows)]
    return "\n".join(lines) + "\n"


def count_pairs(results: t.Iterable[Result]) -> collections.Counter[tuple[str, str]]:
    """Return how often two kinds of faults overlapped."""
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for result in results:
        for one, other in itertools.combinations(result.faults, 2):
            if other.at_s < one.at_s + one.for_s:
                pair = sorted((one.kind.name, other.kind.name))
                counts[pair[0], pair[1]] += 1
    return counts


def summarize(result: Result) -> str:
    """Return one line on a seed."""
    accepted = sum(job.is_accepted for job in result.jobs)
    starts = sum(seen.event == "started" for seen in result.runs)
    kinds = ", ".join(fault.kind.name.lower() for fault in result.faults)
    verdict = f"{len(result.breaches)} BROKEN" if result.breaches else "kept"
    return (
        f"seed {result.seed}: {verdict}; {len(result.jobs)} jobs, {accepted} accepted, "
        f"{starts} starts; {len(result.stops)} planned stops, "
        f"{len(result.exchanges)} requests on open connections; "
        f"{len(result.crowds)} crowds; {kinds}"
    )


def write_page(results: t.Iterable[Result]) -> str:
    """Return a self-contained page with a plot of each seed's served work."""
    parts = [
        f"<h2>{html.escape(summarize(result))}</h2>{_plot(result)}"
        for result in results
    ]
    return f"<!doctype html><title>Fault soak</title>{''.join(parts)}"


def _plot(result: Result) -> str:
    """Return an SVG of the tasks done in each second, with the begin of each fault."""
    start_s = min((job.sent_s for job in result.jobs), default=0.0)
    done = collections.Counter(
        int(seen.at_s - start_s) for seen in result.runs if seen.event == "done"
    )
    seconds = range(max(done, default=0) + 1)
    faults = {int(fault.at_s): fault.kind.name.lower() for fault in result.faults}
    chart = pygal.Bar(height=260, width=1000, show_legend=False, js=[])
    chart.title = "tasks done in each second"
    chart.x_labels = [faults.get(second, "") for second in seconds]
    chart.add("done", [done[second] for second in seconds])
    return chart.render(is_unicode=True, disable_xml_declaration=True)
