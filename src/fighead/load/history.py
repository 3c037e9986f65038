"""Checks the promises on a history: what callers were told and what ran."""

import collections
import itertools
import typing as t

from attrs import field, frozen

from ..model import Category, Ending
from ..worker import Journal, JournalEntry

_ENDINGS = frozenset(ending.value for ending in Ending)


@frozen
class Operation:
    """One request of a caller and what it was told.

    :param work_id: Identity of recorded work; the request id of a check.
    :param started_s: Seconds on the wall clock at which it was sent.
    :param outcome: Outcome as the front names it, or ``lost`` if the
        connection broke before an answer.
    """

    upstream: str
    kind: str
    category: Category
    work_id: str
    body: str
    started_s: float
    ended_s: float = 0.0
    deadline_s: float = 0.0
    non_idempotent: bool = False
    outcome: str = "lost"
    answer: str = ""
    reason: str = ""

    @property
    def took_s(self) -> float:
        """Time from sending to the answer."""
        return self.ended_s - self.started_s

    @property
    def is_in_time(self) -> bool:
        """Whether the answer came before the deadline."""
        return self.outcome == "done" and self.took_s <= self.deadline_s


@frozen
class Run:
    """One task at one instance, from start to end; no end means still running."""

    instance: str
    task_id: str
    started_s: float
    ended_s: float | None
    ending: str
    boot: str = ""


@frozen
class Breach:
    """A broken promise."""

    promise: str
    detail: str


@frozen
class Verdict:
    """Breaches and counts of one history."""

    breaches: tuple[Breach, ...]
    operations: int
    runs: int
    evicted: int
    resumed: int

    def broken(self, promise: str) -> int:
        """Return how often a promise was broken."""
        return sum(breach.promise == promise for breach in self.breaches)


@frozen
class History:
    """Everything that was seen in one run.

    :param slots: Slots of each instance by its name.
    :param given_up: Boots that ended with all that the instance remembered, or
        that were out of reach until every task lease had run out.
    """

    operations: tuple[Operation, ...]
    journals: tuple[Journal, ...]
    slots: dict[str, int] = field(factory=dict)
    given_up: frozenset[str] = frozenset()


def check_history(history: History) -> Verdict:
    """Return every broken promise of a history."""
    runs = [run for journal in history.journals for run in read_runs(journal)]
    by_work = _group(runs)
    breaches = [
        *_check_answers(history.operations),
        *_check_not_run(history.operations, by_work),
        *_check_once(history, by_work),
        *_check_two_places(by_work),
        *_check_capacity(history, runs),
        *_check_violations(history.journals),
        *_check_resumed(by_work),
    ]
    evicted = [run for run in runs if run.ending == Ending.EVICTED.value]
    resumed = [run for run in evicted if _next_attempts(run, by_work)]
    return Verdict(
        tuple(breaches), len(history.operations), len(runs), len(evicted), len(resumed)
    )


def read_runs(journal: Journal) -> list[Run]:
    """Pair the starts and ends of a journal."""
    open_: dict[str, JournalEntry] = {}
    runs = []
    for entry in journal.entries:
        if entry.event == "start":
            open_[entry.task_id] = entry
        elif entry.event in _ENDINGS and entry.task_id in open_:
            start = open_.pop(entry.task_id)
            runs.append(
                Run(
                    journal.instance,
                    entry.task_id,
                    start.at_s,
                    entry.at_s,
                    entry.event,
                    start.boot,
                )
            )
    for entry in open_.values():
        runs.append(
            Run(journal.instance, entry.task_id, entry.at_s, None, "", entry.boot)
        )
    return runs


def work_of(task_id: str) -> str:
    """Return the identity of the work that a task is an attempt of."""
    return task_id.rpartition("#")[0] or task_id.rpartition("~")[0]


def _group(runs: t.Iterable[Run]) -> dict[str, list[Run]]:
    by_work: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_work[work_of(run.task_id)].append(run)
    return by_work


def _key(operation: Operation) -> str:
    if operation.category is Category.CHECK:
        return operation.work_id
    return f"{operation.upstream}/{operation.work_id}"


def _check_answers(operations: t.Iterable[Operation]) -> t.Iterator[Breach]:
    for operation in operations:
        is_own = operation.answer.endswith(" " + operation.body)
        if operation.outcome == "done" and not is_own:
            yield Breach("whole answer", operation.work_id)


def _check_not_run(
    operations: t.Iterable[Operation], by_work: t.Mapping[str, list[Run]]
) -> t.Iterator[Breach]:
    told: dict[str, set[str]] = collections.defaultdict(set)
    for operation in operations:
        told[_key(operation)].add(operation.outcome)
    for key, outcomes in told.items():
        if outcomes == {"not_run"} and by_work.get(key):
            yield Breach("not run", key)


def _check_once(
    history: History, by_work: t.Mapping[str, list[Run]]
) -> t.Iterator[Breach]:
    plans = {_key(op): op for op in history.operations if op.category is Category.PLAN}
    for key, operation in plans.items():
        runs = by_work.get(key, [])
        if operation.non_idempotent and len(runs) > 1:
            yield Breach("at most once", f"{key} started {len(runs)} times")
        done = sum(run.ending == Ending.DONE.value for run in runs)
        # An answer that was lost with its instance can only be had by another run.
        kept = sum(
            run.ending == Ending.DONE.value and run.boot not in history.given_up
            for run in runs
        )
        if kept > 1:
            yield Breach("done once", f"{key} was done {kept} times")
        if operation.outcome == "done" and not done:
            yield Breach("done once", f"{key} was told done and never ran to its end")


def _check_two_places(by_work: t.Mapping[str, list[Run]]) -> t.Iterator[Breach]:
    for key, runs in by_work.items():
        if "~" in runs[0].task_id:
            # Checks are idempotent and may be offered twice.
            continue
        ordered = sorted(runs, key=lambda run: run.started_s)
        for first, second in itertools.pairwise(ordered):
            if first.ended_s is None or first.ended_s > second.started_s:
                yield Breach("two places", f"{key}: {first.task_id} {second.task_id}")


def _check_capacity(history: History, runs: t.Iterable[Run]) -> t.Iterator[Breach]:
    by_instance: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_instance[run.instance].append(run)
    for instance, held in by_instance.items():
        slots = history.slots.get(instance)
        if slots is not None and _most_at_once(held) > slots:
            yield Breach("capacity", f"{instance} ran {_most_at_once(held)} tasks")


def _most_at_once(runs: t.Iterable[Run]) -> int:
    changes = []
    for run in runs:
        changes.append((run.started_s, 1))
        if run.ended_s is not None:
            changes.append((run.ended_s, -1))
    # An end sorts before a start at the same time.
    return max(itertools.accumulate(c for _, c in sorted(changes)), default=0)


def _check_violations(journals: t.Iterable[Journal]) -> t.Iterator[Breach]:
    for journal in journals:
        seen = journal.violations
        for count, promise in (
            (seen.over_capacity, "capacity"),
            (seen.same_task_twice, "at most once"),
            (seen.stale_start, "stale start"),
        ):
            for _ in range(count):
                yield Breach(promise, f"{journal.instance} counted it")


def _attempt(run: Run) -> int:
    return int(run.task_id.rpartition("#")[2] or 0)


def _next_attempts(run: Run, by_work: t.Mapping[str, list[Run]]) -> list[Run]:
    later = by_work[work_of(run.task_id)]
    return [other for other in later if _attempt(other) > _attempt(run)]


def _check_resumed(by_work: t.Mapping[str, list[Run]]) -> t.Iterator[Breach]:
    for key, runs in by_work.items():
        counts = collections.Counter(run.task_id for run in runs)
        for task_id, count in counts.items():
            if count > 1 and "#" in task_id:
                yield Breach("resumed once", f"{key}: {task_id} ran {count} times")
