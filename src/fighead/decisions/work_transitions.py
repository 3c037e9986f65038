"""The state machine of the phases of a plan or watch."""

import datetime as dt
import typing as t

from attrs import define, evolve
from automat import TypeMachineBuilder

from ..model import Assignment, Phase, WorkRecord


class WorkInputs(t.Protocol):
    """Inputs of the state machine; each sets the phase of the work."""

    def assign(self, assignment: Assignment) -> None:
        """Assign queued work to an instance."""

    def requeue(self, checkpoint: str, failed_on: str, evicted: bool) -> None:
        """Queue assigned work for its next attempt.

        :param checkpoint: Last checkpoint of the attempt; if empty, the stored one
            is kept.
        :param failed_on: Instance on which the attempt failed; empty if it did not
            fail.
        :param evicted: Whether to count the attempt as evicted.
        """

    def finish(self, answer: str, now: dt.datetime) -> None:
        """Record the answer of assigned work that ran to completion."""

    def fail(self, reason: str, now: dt.datetime) -> None:
        """End work that failed or may have run in part, without a retry."""

    def park(self, reason: str, now: dt.datetime) -> None:
        """End work that failed on several instances, for the operator to examine."""

    def cancel(self, now: dt.datetime) -> None:
        """End queued work, or assigned work whose task was stopped, as cancelled."""


@define
class WorkCore:
    """The core object of the state machine: the record that transitions replace."""

    record: WorkRecord


def _build_machine() -> tuple[t.Any, dict[Phase, t.Any]]:
    builder = TypeMachineBuilder(WorkInputs, WorkCore)
    states = {phase: builder.state(phase.value) for phase in Phase}
    queued, assigned = states[Phase.QUEUED], states[Phase.ASSIGNED]

    @queued.upon(WorkInputs.assign).to(assigned)
    def assign(_inputs: WorkInputs, work: WorkCore, assignment: Assignment) -> None:
        work.record = evolve(work.record, phase=Phase.ASSIGNED, assignment=assignment)

    @assigned.upon(WorkInputs.requeue).to(queued)
    def requeue(
        _inputs: WorkInputs,
        work: WorkCore,
        checkpoint: str,
        failed_on: str,
        evicted: bool,
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
    def finish(
        _inputs: WorkInputs, work: WorkCore, answer: str, now: dt.datetime
    ) -> None:
        work.record = evolve(
            work.record, phase=Phase.DONE, answer=answer, finished_at=now
        )

    for source in (queued, assigned):
        _add_final_transitions(source, states)
    return builder.build(), states


def _add_final_transitions(source: t.Any, states: dict[Phase, t.Any]) -> None:
    @source.upon(WorkInputs.fail).to(states[Phase.FAILED])
    def fail(
        _inputs: WorkInputs, work: WorkCore, reason: str, now: dt.datetime
    ) -> None:
        work.record = _with_final_phase(work.record, Phase.FAILED, reason, now)

    @source.upon(WorkInputs.park).to(states[Phase.PARKED])
    def park(
        _inputs: WorkInputs, work: WorkCore, reason: str, now: dt.datetime
    ) -> None:
        work.record = _with_final_phase(work.record, Phase.PARKED, reason, now)

    @source.upon(WorkInputs.cancel).to(states[Phase.CANCELLED])
    def cancel(_inputs: WorkInputs, work: WorkCore, now: dt.datetime) -> None:
        work.record = _with_final_phase(
            work.record, Phase.CANCELLED, "It was cancelled.", now
        )


def _with_final_phase(
    record: WorkRecord, phase: Phase, reason: str, now: dt.datetime
) -> WorkRecord:
    return evolve(record, phase=phase, reason=reason, finished_at=now)


_MACHINE, _STATES = _build_machine()


def apply(record: WorkRecord, trigger: t.Callable[[WorkInputs], None]) -> WorkRecord:
    """Return ``record`` after one transition.

    >>> apply(record, lambda work: work.cancel(now))  # doctest: +SKIP

    :param trigger: Calls one method of :class:`WorkInputs`.
    :raises automat.NoTransition: If the record's phase does not allow it.
    """
    work = WorkCore(record)
    trigger(_MACHINE(work, _STATES[record.phase]))
    return work.record
