"""State machines of an entry and of its claims."""

import enum
import typing as t

from attrs import define
from automat import TypeMachineBuilder


class EntryStage(enum.Enum):
    """Stage of an entry between start and shutdown."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class EntryInputs(t.Protocol):
    """Inputs of the state machine of an entry."""

    def join(self) -> None:
        """The inventory and the other members have been loaded."""

    def drain(self) -> None:
        """Shutdown was requested; ignored if the entry is already draining."""

    def finish(self) -> None:
        """The caller front has drained and no claim is left."""


class ClaimStage(enum.Enum):
    """Stage of an entry's own claim on a resource."""

    CLAIMING = "claiming"
    HELD = "held"
    #: The lease has expired, but no other entry is known to hold the resource.
    ORPHANED = "orphaned"
    CLOSING = "closing"
    DROPPING = "dropping"
    LOST = "lost"


class ClaimInputs(t.Protocol):
    """Inputs of the state machine of a claim."""

    def win(self) -> None:
        """The store accepted the claim."""

    def expire(self) -> None:
        """The lease that the claim was attached to has expired."""

    def lose(self) -> None:
        """The resource is claimed by another entry."""

    def start_closing(self) -> None:
        """The entry is to release the resource."""

    def finish_closing(self) -> None:
        """Nothing is left in flight on the resource."""


@define
class _CurrentStage:
    name: str


def _build_entry_machine() -> tuple[t.Any, dict[EntryStage, t.Any]]:
    builder = TypeMachineBuilder(EntryInputs, _CurrentStage)
    states = {stage: builder.state(stage.value) for stage in EntryStage}
    _add_transition(
        states[EntryStage.STARTING],
        EntryInputs.join,
        states[EntryStage.SERVING],
        "serving",
    )
    for stage in (EntryStage.STARTING, EntryStage.SERVING, EntryStage.DRAINING):
        _add_transition(
            states[stage], EntryInputs.drain, states[EntryStage.DRAINING], "draining"
        )
    _add_transition(
        states[EntryStage.DRAINING],
        EntryInputs.finish,
        states[EntryStage.STOPPED],
        "stopped",
    )
    return builder.build(), states


def _build_claim_machine() -> tuple[t.Any, dict[ClaimStage, t.Any]]:
    builder = TypeMachineBuilder(ClaimInputs, _CurrentStage)
    states = {stage: builder.state(stage.value) for stage in ClaimStage}
    stage = ClaimStage
    _add_transition(states[stage.CLAIMING], ClaimInputs.win, states[stage.HELD], "held")
    orphaned = states[stage.ORPHANED]
    _add_transition(states[stage.HELD], ClaimInputs.expire, orphaned, "orphaned")
    _add_transition(orphaned, ClaimInputs.expire, orphaned, "orphaned")
    _add_transition(orphaned, ClaimInputs.win, states[stage.HELD], "held")
    _add_transition(
        orphaned, ClaimInputs.start_closing, states[stage.CLOSING], "closing"
    )
    _add_transition(
        states[stage.HELD], ClaimInputs.start_closing, states[stage.CLOSING], "closing"
    )
    _add_transition(
        states[stage.CLOSING],
        ClaimInputs.start_closing,
        states[stage.CLOSING],
        "closing",
    )
    _add_transition(
        states[stage.CLOSING],
        ClaimInputs.finish_closing,
        states[stage.DROPPING],
        "dropping",
    )
    for source in stage:
        _add_transition(states[source], ClaimInputs.lose, states[stage.LOST], "lost")
    return builder.build(), states


def _add_transition(source: t.Any, signal: t.Any, target: t.Any, name: str) -> None:
    @source.upon(signal).to(target)
    def enter(_inputs: t.Any, current: _CurrentStage) -> None:
        current.name = name


_ENTRY_MACHINE, _ENTRY_STATES = _build_entry_machine()
_CLAIM_MACHINE, _CLAIM_STATES = _build_claim_machine()


def next_entry_stage(
    stage: EntryStage, apply: t.Callable[[EntryInputs], None]
) -> EntryStage:
    """Return the stage of an entry after one input.

    >>> next_entry_stage(EntryStage.SERVING, lambda entry: entry.drain())
    <EntryStage.DRAINING: 'draining'>

    :raises automat.NoTransition: If the input isn't allowed in ``stage``.
    """
    current = _CurrentStage(stage.value)
    apply(_ENTRY_MACHINE(current, _ENTRY_STATES[stage]))
    return EntryStage(current.name)


def next_claim_stage(
    stage: ClaimStage, apply: t.Callable[[ClaimInputs], None]
) -> ClaimStage:
    """Return the stage of a claim after one input.

    :raises automat.NoTransition: If the input isn't allowed in ``stage``.
    """
    current = _CurrentStage(stage.value)
    apply(_CLAIM_MACHINE(current, _CLAIM_STATES[stage]))
    return ClaimStage(current.name)
