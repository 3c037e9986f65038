"""Checks of the promises, from what clients and instances saw."""

import collections
import json
import typing as t

from .model import Breach, Exchange, JobSeen, RunSeen, Stall, StopSeen

#: Time after an acknowledged cancellation in which tasks may still start.
CANCEL_S = 5.0
#: Events that end a run.
ENDS = ("done", "failed", "stopped", "lapsed", "broken", "alone", "crashed")
#: By how much the clocks of two instances may differ, in seconds.
CLOCK_ERROR_S = 0.05
#: Time from the last byte of a request in which its connection may be closed instead.
CLOSE_S = 0.2
#: Time from SIGTERM in which a process has to end: ``GraceS`` of its settings.
STOP_S = 6.0
#: Event of an entry that ends and owes a request its answer, and the reason that is
#: a fault of the entry.
REQUEST_CUT = 4004
NOT_REFUSED = "the request could not be refused"


def find_breaches(
    jobs: t.Sequence[JobSeen], runs: t.Sequence[RunSeen], cores: int
) -> list[Breach]:
    """Return all broken promises.

    :param runs: Events of all instances.
    :param cores: Processors of each instance.
    """
    by_id = {job.job_id: job for job in jobs}
    ordered = sorted(runs)
    return [
        *_find_repeated_runs(ordered),
        *_find_unasked_runs(ordered, by_id),
        *_find_early_starts(ordered, by_id),
        *_find_overload(ordered, by_id, 1000 * cores),
        *_find_wrong_answers(ordered, jobs),
    ]


def _find_repeated_runs(runs: t.Sequence[RunSeen]) -> t.Iterator[Breach]:
    running: dict[str, dict[tuple[str, int], float]] = {}
    recorded: dict[str, float] = {}
    for seen in runs:
        current = running.setdefault(seen.task, {})
        if seen.event == "started":
            if current:
                yield Breach("twice", f"{seen} while {current} run")
            if seen.task in recorded and seen.at_s > recorded[seen.task]:
                yield Breach("twice", f"{seen} after its end was recorded")
            current[seen.instance, seen.run] = seen.at_s
        elif seen.event in ENDS:
            current.pop((seen.instance, seen.run), None)
        elif seen.event == "acknowledged done":
            recorded.setdefault(seen.task, seen.at_s + CLOCK_ERROR_S)


def _find_unasked_runs(
    runs: t.Sequence[RunSeen], jobs: t.Mapping[str, JobSeen]
) -> t.Iterator[Breach]:
    for seen in runs:
        if seen.event != "started":
            continue
        job = jobs.get(seen.job_id)
        if job is None:
            yield Breach("unasked", f"{seen} of no job")
        elif job.cancelled_s is not None and seen.at_s > job.cancelled_s + CANCEL_S:
            yield Breach("unasked", f"{seen}, cancelled at {job.cancelled_s}")


def _find_early_starts(
    runs: t.Sequence[RunSeen], jobs: t.Mapping[str, JobSeen]
) -> t.Iterator[Breach]:
    done: dict[str, float] = {}
    for seen in runs:
        if seen.event == "done":
            done.setdefault(seen.task, seen.at_s)
    for seen in runs:
        job = jobs.get(seen.job_id)
        if seen.event != "started" or job is None:
            continue
        job_id, occurrence, step, _ = seen.task.split(".")
        for earlier in job.steps[int(step)].after:
            for index in range(job.steps[earlier].count):
                task = f"{job_id}.{occurrence}.{earlier}.{index}"
                if done.get(task, float("inf")) > seen.at_s + CLOCK_ERROR_S:
                    yield Breach("order", f"{seen} before {task} was done")


def _find_overload(
    runs: t.Sequence[RunSeen], jobs: t.Mapping[str, JobSeen], millicores: int
) -> t.Iterator[Breach]:
    used: dict[str, dict[tuple[str, int], int]] = collections.defaultdict(dict)
    for seen in runs:
        job = jobs.get(seen.job_id)
        if job is None:
            continue
        if seen.event == "started":
            cpu = job.steps[int(seen.task.split(".")[2])].cpu
            used[seen.instance][seen.task, seen.run] = cpu
            if sum(used[seen.instance].values()) > millicores:
                yield Breach("limit", f"{seen} is more than the instance holds")
        elif seen.event in ENDS:
            used[seen.instance].pop((seen.task, seen.run), None)


def _find_wrong_answers(
    runs: t.Sequence[RunSeen], jobs: t.Sequence[JobSeen]
) -> t.Iterator[Breach]:
    started = {seen.job_id for seen in runs if seen.event == "started"}
    running = {
        (seen.task, seen.instance, seen.run) for seen in runs if seen.event == "started"
    } - {(seen.task, seen.instance, seen.run) for seen in runs if seen.event in ENDS}
    live = {task.split(".")[0] for task, _, _ in running}
    for job in jobs:
        if job.is_refused and job.job_id in started:
            yield Breach("refused", f"{job.job_id} ran, answered {job.statuses}")
        if not job.is_accepted:
            continue
        if not job.is_cancel_sent:
            wanted = "running" if job.lasts else "completed"
            if job.final_state != wanted:
                yield Breach("lost", f"{job.job_id} is {job.final_state!r} at the end")
            elif job.lasts and job.job_id not in live:
                yield Breach("lost", f"no task of {job.job_id} runs at the end")
        elif job.cancelled_s is not None and job.job_id in live:
            yield Breach("unasked", f"{job.job_id} is cancelled and runs at the end")


def find_stop_breaches(
    stops: t.Sequence[StopSeen],
    exchanges: t.Sequence[Exchange],
    stalls: t.Sequence[Stall],
) -> list[Breach]:
    """Return where a planned stop broke the promise of an answer.

    A stop does not count if its process was paused or killed between SIGTERM and its
    end, and neither do requests to that process in it. The open clients connect to
    the entries without a proxy, so no fault disturbs their links; requests count
    whatever happens to the store, its links and the other entries.

    :param stalls: When the soak was held up; these times do not make a request older.
    """
    planned = [stop for stop in stops if not stop.is_disturbed]
    return [
        *_find_late_ends(planned),
        *_find_cut_events(planned),
        *_find_cut_requests(planned, exchanges, stalls),
    ]


def _find_late_ends(stops: t.Sequence[StopSeen]) -> t.Iterator[Breach]:
    for stop in stops:
        lasted_s = stop.running_s - stop.begin_s
        if lasted_s > STOP_S:
            text = f"{stop.entry} runs {lasted_s:.3f} s after SIGTERM"
            yield Breach("answer", text)


def _find_cut_events(stops: t.Sequence[StopSeen]) -> t.Iterator[Breach]:
    for stop in stops:
        for line in stop.log.splitlines():
            event = json.loads(line) if line.startswith("{") else {}
            is_cut = event.get("number") == REQUEST_CUT
            if is_cut and event.get("reason") == NOT_REFUSED:
                yield Breach("answer", f"{stop.entry} logged {line}")


def _find_cut_requests(
    stops: t.Sequence[StopSeen],
    exchanges: t.Sequence[Exchange],
    stalls: t.Sequence[Stall],
) -> t.Iterator[Breach]:
    """Find requests that were sent or unanswered in a stop, and were never answered."""
    for stop in stops:
        for exchange in exchanges:
            is_in_stop = (
                exchange.entry == stop.entry
                and exchange.ended_s >= stop.begin_s
                and exchange.sent_s <= stop.gone_s
            )
            age_s = _find_age(exchange, stalls)
            if is_in_stop and not exchange.status and age_s > CLOSE_S:
                sent_s = exchange.sent_s - stop.begin_s
                yield Breach(
                    "answer",
                    f"{exchange.method} {exchange.path}, sent {sent_s:.3f} s after "
                    f"SIGTERM to {stop.entry}, cut {age_s:.3f} s later",
                )


def _find_age(exchange: Exchange, stalls: t.Sequence[Stall]) -> float:
    """Return how long a connection was open after a request, as far as was looked."""
    age_s = exchange.ended_s - exchange.sent_s
    for stall in stalls:
        overlap_s = min(stall.to_s, exchange.ended_s) - max(
            stall.from_s, exchange.sent_s
        )
        age_s -= max(0.0, overlap_s)
    return age_s
