"""Decisions: pure functions of a state, a message and the time.

Nothing in this package opens a socket, reads a clock or encodes a message. A
decision returns a :class:`Step`: the new state and the messages to send.
"""

import typing as t

from attrs import frozen

S = t.TypeVar("S")


@frozen
class Step(t.Generic[S]):
    """The result of a decision.

    :param state: The new state.
    :param effects: Messages for the task to carry out, in order.
    """

    state: S
    effects: tuple[t.Any, ...] = ()

    def then(self, decide: t.Callable[[S], "Step[S]"]) -> "Step[S]":
        """Apply a further decision and join the effects of both."""
        following = decide(self.state)
        return Step(following.state, self.effects + following.effects)
