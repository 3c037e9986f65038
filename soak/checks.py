"""Checks of the promises, from what clients and instances saw."""

import collections
import typing as t

from .model import Breach, JobSeen, RunSeen

#: Time after an acknowledged cancellation in which tasks may still start.
CANCEL_S = 5.0
#: Events that end a run.
ENDS = ("done", "failed", "stopped", "lapsed", "broken", "alone", "crashed")
#: By how much the clocks of two instances may differ, in seconds.
CLOCK_ERROR_S = 0.05


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
