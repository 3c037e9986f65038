"""The states of an entry and of a claim, and the transitions between them."""

import enum
import typing as t

from attrs import define
from automat import TypeMachineBuilder


class Life(enum.Enum):
    """Stage of an entry's life."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    STOPPED = "stopped"


class LifeInputs(t.Protocol):
    """What can happen to an entry."""

    def join(self) -> None:
        """It knows the inventory and the other members."""

    def drain(self) -> None:
        """It was told to stop; a second call changes nothing."""

    def finish(self) -> None:
        """Nothing is in flight and no claim is held any more."""


class ClaimStage(enum.Enum):
    """Stage of an entry's own claim on a resource."""

    CLAIMING = "claiming"
    HELD = "held"
    #: The lease lapsed, but nobody else is known to hold the resource.
    ORPHANED = "orphaned"
    CLOSING = "closing"
    DROPPING = "dropping"
    LOST = "lost"


class ClaimInputs(t.Protocol):
    """What can happen to a claim."""

    def win(self) -> None:
        """The store took the claim."""

    def lapse(self) -> None:
        """The lease that the claim was attached to has lapsed."""

    def lose(self) -> None:
        """The claim belongs to another entry."""

    def close(self) -> None:
        """The resource is to be handed over."""

    def closed(self) -> None:
        """Nothing is in flight on the resource any more."""


@define
class _Place:
    name: str


def _build_life() -> tuple[t.Any, dict[Life, t.Any]]:
    builder = TypeMachineBuilder(LifeInputs, _Place)
    states = {life: builder.state(life.value) for life in Life}
    _add(states[Life.STARTING], LifeInputs.join, states[Life.SERVING], "serving")
    for life in (Life.STARTING, Life.SERVING, Life.DRAINING):
        _add(states[life], LifeInputs.drain, states[Life.DRAINING], "draining")
    _add(states[Life.DRAINING], LifeInputs.finish, states[Life.STOPPED], "stopped")
    return builder.build(), states


def _build_claim() -> tuple[t.Any, dict[ClaimStage, t.Any]]:
    builder = TypeMachineBuilder(ClaimInputs, _Place)
    states = {stage: builder.state(stage.value) for stage in ClaimStage}
    stage = ClaimStage
    _add(states[stage.CLAIMING], ClaimInputs.win, states[stage.HELD], "held")
    orphaned = states[stage.ORPHANED]
    _add(states[stage.HELD], ClaimInputs.lapse, orphaned, "orphaned")
    _add(orphaned, ClaimInputs.lapse, orphaned, "orphaned")
    _add(orphaned, ClaimInputs.win, states[stage.HELD], "held")
    _add(orphaned, ClaimInputs.close, states[stage.CLOSING], "closing")
    _add(states[stage.HELD], ClaimInputs.close, states[stage.CLOSING], "closing")
    _add(states[stage.CLOSING], ClaimInputs.close, states[stage.CLOSING], "closing")
    _add(states[stage.CLOSING], ClaimInputs.closed, states[stage.DROPPING], "dropping")
    for source in stage:
        _add(states[source], ClaimInputs.lose, states[stage.LOST], "lost")
    return builder.build(), states


def _add(source: t.Any, signal: t.Any, target: t.Any, name: str) -> None:
    @source.upon(signal).to(target)
    def enter(_inputs: t.Any, place: _Place) -> None:
        place.name = name


_LIFE, _LIFE_STATES = _build_life()
_CLAIM, _CLAIM_STATES = _build_claim()


def change_life(life: Life, apply: t.Callable[[LifeInputs], None]) -> Life:
    """Return the stage after one input.

    >>> change_life(Life.SERVING, lambda entry: entry.drain())
    <Life.DRAINING: 'draining'>

    :raises automat.NoTransition: If the stage does not allow it.
    """
    place = _Place(life.value)
    apply(_LIFE(place, _LIFE_STATES[life]))
    return Life(place.name)


def change_claim(
    stage: ClaimStage, apply: t.Callable[[ClaimInputs], None]
) -> ClaimStage:
    """Return the stage of a claim after one input.

    :raises automat.NoTransition: If the stage does not allow it.
    """
    place = _Place(stage.value)
    apply(_CLAIM(place, _CLAIM_STATES[stage]))
    return ClaimStage(place.name)
