"""Decision logic, without I/O: functions of a state, a message and the time.

Nothing in this package opens a socket, reads a clock or encodes a message. A
decision returns a :class:`Step` with the new state and the messages to send. The
decisions on jobs update a :class:`~.schedule_state.Schedule` in place instead and
return their effects.
"""

import typing as t

from attrs import frozen

S = t.TypeVar("S")


@frozen
class Step(t.Generic[S]):
    """The result of a decision.

    :param state: The new state.
    :param effects: Messages for the task to process, in order.
    """

    state: S
    effects: tuple[t.Any, ...] = ()

    def then(self, decide: t.Callable[[S], "Step[S]"]) -> "Step[S]":
        """Apply ``decide`` to the new state and append its effects to these."""
        next_step = decide(self.state)
        return Step(next_step.state, self.effects + next_step.effects)
