"""The states of one plan or watch and the transitions between them."""

import datetime as dt
import typing as t

from attrs import define, evolve
from automat import TypeMachineBuilder

from ..model import Assignment, Phase, WorkRecord


class WorkInputs(t.Protocol):
    """What can happen to a piece of work."""

    def assign(self, assignment: Assignment) -> None:
        """It is given to an instance."""

    def requeue(self, checkpoint: str, failed_on: str, evicted: bool) -> None:
        """Its attempt is over without an end; the next one waits in line."""

    def finish(self, answer: str, now: dt.datetime) -> None:
        """It ran to its end."""

    def fail(self, reason: str, now: dt.datetime) -> None:
        """It failed or may have run in part, and is not repeated."""

    def park(self, reason: str, now: dt.datetime) -> None:
        """It failed on several instances and waits for the operator."""

    def cancel(self, now: dt.datetime) -> None:
        """It is not running and will not run any more."""


@define
class Work:
    """Holds the record that the transitions change."""

    record: WorkRecord


def _build() -> tuple[t.Any, dict[Phase, t.Any]]:
    builder = TypeMachineBuilder(WorkInputs, Work)
    states = {phase: builder.state(phase.value) for phase in Phase}
    queued, assigned = states[Phase.QUEUED], states[Phase.ASSIGNED]

    @queued.upon(WorkInputs.assign).to(assigned)
    def assign(_inputs: WorkInputs, work: Work, assignment: Assignment) -> None:
        work.record = evolve(work.record, phase=Phase.ASSIGNED, assignment=assignment)

    @assigned.upon(WorkInputs.requeue).to(queued)
    def requeue(
        _inputs: WorkInputs, work: Work, checkpoint: str, failed_on: str, evicted: bool
    ) -> None:
        record = work.record
        failures = record.failed_on
        if failed_on and failed_on not in failures:
            failures = (*failures, failed_on)
        work.record = evolve(
            record,
            phase=Phase.QUEUED,
            attempt=record.attempt + 1,
            assignment=None,
            checkpoint=checkpoint or record.checkpoint,
            evictions=record.evictions + evicted,
            failed_on=failures,
        )

    @assigned.upon(WorkInputs.finish).to(states[Phase.DONE])
    def finish(_inputs: WorkInputs, work: Work, answer: str, now: dt.datetime) -> None:
        work.record = evolve(
            work.record, phase=Phase.DONE, answer=answer, finished_at=now
        )

    for source in (queued, assigned):
        _add_endings(source, states)
    return builder.build(), states


def _add_endings(source: t.Any, states: dict[Phase, t.Any]) -> None:
    @source.upon(WorkInputs.fail).to(states[Phase.FAILED])
    def fail(_inputs: WorkInputs, work: Work, reason: str, now: dt.datetime) -> None:
        work.record = _end(work.record, Phase.FAILED, reason, now)

    @source.upon(WorkInputs.park).to(states[Phase.PARKED])
    def park(_inputs: WorkInputs, work: Work, reason: str, now: dt.datetime) -> None:
        work.record = _end(work.record, Phase.PARKED, reason, now)

    @source.upon(WorkInputs.cancel).to(states[Phase.CANCELLED])
    def cancel(_inputs: WorkInputs, work: Work, now: dt.datetime) -> None:
        work.record = _end(work.record, Phase.CANCELLED, "It was cancelled.", now)


def _end(record: WorkRecord, phase: Phase, reason: str, now: dt.datetime) -> WorkRecord:
    return evolve(record, phase=phase, reason=reason, finished_at=now)


_MACHINE, _STATES = _build()


def change(record: WorkRecord, apply: t.Callable[[WorkInputs], None]) -> WorkRecord:
    """Return ``record`` after one transition.

    >>> change(record, lambda work: work.cancel(now))  # doctest: +SKIP

    :raises automat.NoTransition: If the phase does not allow it.
    """
    work = Work(record)
    apply(_MACHINE(work, _STATES[record.phase]))
    return work.record
