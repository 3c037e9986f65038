"""Stopping runs, for whatever reason."""

import typing as t

from ..log import Event
from ..run import StopRun
from .schedule_state import Effect, Note, Order, RunPhase, RunState


def stop_run(run: RunState) -> list[Effect]:
    """Order the stop of a run, unless that was done before.

    Its place stays taken until a listing that was asked for after the stop was
    confirmed shows that it is gone.
    """
    if run.phase is RunPhase.STOPPING:
        return []
    run.phase = RunPhase.STOPPING
    run.confirmed_at = None
    return [Order(run.instance_id, StopRun(run.key, run.number))]


def stop_runs(runs: t.Iterable[RunState]) -> list[Effect]:
    """Order the stop of several runs."""
    return [effect for run in runs for effect in stop_run(run)]


def move_run(run: RunState, reason: str) -> list[Effect]:
    """Stop a run so that its task goes on elsewhere."""
    fields = {"task": str(run.key), "run": run.number, "instance": run.instance_id}
    return [Note(Event.RUN_MOVED, fields | {"reason": reason}), *stop_run(run)]
