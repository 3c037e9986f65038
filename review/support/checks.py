"""Checks of the record of a case."""

from .fleet import Fleet


def find_overlapping_runs(fleet: Fleet) -> list[str]:
    """Return the pairs of runs of one task that were at work at the same time."""
    spans: dict[str, list[tuple[float, float, str, int]]] = {}
    for start in fleet.find("start"):
        identity = {name: start[name] for name in ("worker", "task", "run")}
        ends = [row["at"] for row in fleet.find("end", **identity)]
        end = min((at for at in ends if at >= start["at"]), default=fleet.now())
        span = (start["at"], end, start["worker"], start["run"])
        spans.setdefault(start["task"], []).append(span)
    return [
        f"TWICE: task {task}: run {one[3]} on {one[2]} from {one[0]} to {one[1]}, "
        f"run {other[3]} on {other[2]} from {other[0]} to {other[1]}"
        for task, runs in sorted(spans.items())
        for n, one in enumerate(sorted(runs))
        for other in sorted(runs)[n + 1 :]
        if other[0] < one[1]
    ]


def find_starts_after_done(fleet: Fleet) -> list[str]:
    """Return the starts of tasks after a run of theirs had ended ``done``.

    Only ends that are taken note of count: those acknowledged to the worker, unless its
    lease lapsed between the end and its acknowledgement.
    """
    noted = {
        (row["worker"], row["task"], row["run"])
        for row in fleet.find("acked", how="done", has_lapsed=False)
    }
    done_at: dict[str, float] = {}
    for row in fleet.find("end", how="done"):
        if (row["worker"], row["task"], row["run"]) in noted:
            done_at.setdefault(row["task"], row["at"])
    return [
        f"TWICE: task {row['task']} ended done at {done_at[row['task']]}; run "
        f"{row['run']} of it started on {row['worker']} at {row['at']}"
        for row in fleet.find("start")
        if row["at"] > done_at.get(row["task"], row["at"])
    ]
