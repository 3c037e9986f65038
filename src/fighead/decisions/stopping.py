"""Orders to stop runs."""

import typing as t

from ..log import Event
from ..run import StopRun
from .schedule_state import Effect, LogNote, Order, RunPhase, RunState


def stop_run(run: RunState) -> list[Effect]:
    """Order an instance to stop a run; does nothing if the run is stopping already.

    The run occupies its capacity until a listing requested after the instance
    confirmed the stop no longer contains it.
    """
    if run.phase is RunPhase.STOPPING:
        return []
    run.phase = RunPhase.STOPPING
    run.confirmed_at = None
    return [Order(run.instance_id, StopRun(run.key, run.number))]


def stop_runs(runs: t.Iterable[RunState]) -> list[Effect]:
    """Order the stop of each run that is not stopping already."""
    return [effect for run in runs for effect in stop_run(run)]


def move_run(run: RunState, reason: str) -> list[Effect]:
    """Stop a run so that its task can be placed again; logs the reason."""
    fields = {"task": str(run.key), "run": run.number, "instance": run.instance_id}
    return [LogNote(Event.RUN_MOVED, fields | {"reason": reason}), *stop_run(run)]
