"""Sheds checks at the door of an entry that can't keep up.

The lateness of a timer tells how long an arriving request waits before anyone
looks at it. The number of checks in flight is limited so that this stays short,
and the limit is shared fairly by the callers that are active. Recorded work is
not counted, so that a flood of checks does not shut it out.
"""

import datetime as dt

from attrs import evolve, frozen
from pyrsistent import PMap, pmap

#: Lateness above which the limit is lowered.
HIGH_LAG = dt.timedelta(milliseconds=60)
#: Factor by which the limit is lowered, and step by which it is raised.
DECREASE = 0.8
INCREASE = 2
LEAST_LIMIT = 32
MOST_LIMIT = 512
#: Time for which a refused caller is told to pause.
RETRY_AFTER = dt.timedelta(milliseconds=500)


@frozen
class Gate:
    """Checks in flight by caller, and how many there may be."""

    limit: int = MOST_LIMIT
    total: int = 0
    by_caller: PMap = pmap()


def observe_lag(gate: Gate, lag: dt.timedelta) -> Gate:
    """Adjust the limit to the lateness of a timer."""
    if lag > HIGH_LAG:
        # What is in flight, not an unused limit, is what caused the lag.
        used = min(gate.limit, gate.total)
        limit = max(LEAST_LIMIT, int(used * DECREASE))
    else:
        limit = min(MOST_LIMIT, gate.limit + INCREASE)
    return evolve(gate, limit=limit)


def enter(gate: Gate, caller: str) -> Gate | None:
    """Let a check in, or return ``None`` if its caller has its fair share."""
    held = gate.by_caller.get(caller, 0)
    if gate.total >= gate.limit and held >= _fair_share(gate, caller):
        return None
    return evolve(
        gate, total=gate.total + 1, by_caller=gate.by_caller.set(caller, held + 1)
    )


def leave(gate: Gate, caller: str) -> Gate:
    """Note that a check of ``caller`` is answered."""
    held = gate.by_caller.get(caller, 0) - 1
    rest = gate.by_caller
    rest = rest.set(caller, held) if held > 0 else rest.discard(caller)
    return evolve(gate, total=max(0, gate.total - 1), by_caller=rest)


def _fair_share(gate: Gate, caller: str) -> int:
    callers = len(gate.by_caller) + (caller not in gate.by_caller)
    return max(1, gate.limit // callers)
