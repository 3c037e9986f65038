"""Keeps the instances that can take a kind of task in order of preference.

A start changes one instance, so only that one has to be evaluated again before the
next choice.
"""

import bisect
import typing as t

from attrs import define, field

from .schedule_state import InstanceState

#: Returns the score of an instance, or ``None`` if it can't take the task.
Evaluate = t.Callable[[InstanceState], float | None]


@define(eq=False)
class Candidates:
    """Instances that can take a kind of task, those with the highest score first.

    Instances with equal scores keep the order of ``states``. An instance that can't
    take the task isn't evaluated again: starts only use up what it has left.

    :param states: All instances.
    :param ranked: Negative score and position in ``states`` of each candidate, sorted.
    :param scores: Score by position.
    :param seen_changes: Number of changes that the ranking already reflects.
    """

    states: t.Sequence[InstanceState]
    ranked: list[tuple[float, int]] = field(factory=list)
    scores: dict[int, float] = field(factory=dict)
    seen_changes: int = 0

    def __len__(self) -> int:
        return len(self.ranked)

    def __iter__(self) -> t.Iterator[InstanceState]:
        return (self.states[position] for _, position in self.ranked)

    def evaluate_all(self, evaluate: Evaluate, changes: t.Sequence[int]) -> None:
        """Evaluate all instances; ``changes`` are those made so far."""
        for position, state in enumerate(self.states):
            score = evaluate(state)
            if score is not None:
                self.scores[position] = score
        self.ranked = sorted((-score, n) for n, score in self.scores.items())
        self.seen_changes = len(changes)

    def evaluate_changed(self, evaluate: Evaluate, changes: t.Sequence[int]) -> None:
        """Evaluate the candidates that have changed since the last evaluation.

        :param changes: Positions of all instances changed so far, in order.
        """
        if self.seen_changes == len(changes):
            return
        for position in set(changes[self.seen_changes :]):
            if position in self.scores:
                self._rank(position, evaluate(self.states[position]))
        self.seen_changes = len(changes)

    def _rank(self, position: int, score: float | None) -> None:
        entry = (-self.scores.pop(position), position)
        del self.ranked[bisect.bisect_left(self.ranked, entry)]
        if score is not None:
            self.scores[position] = score
            bisect.insort(self.ranked, (-score, position))
