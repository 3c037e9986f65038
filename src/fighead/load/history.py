"""Checks the scheduler's guarantees on a history of outcomes and runs."""

import collections
import itertools
import typing as t

from attrs import field, frozen

from ..model import Category, Ending
from ..worker import Journal, JournalEntry

_ENDINGS = frozenset(ending.value for ending in Ending)


@frozen
class Operation:
    """One request of a caller and its outcome.

    :param work_id: ``caller/request_id`` of recorded work; the request id of a
        check.
    :param started_s: Unix time at which the request was sent.
    :param ended_s: Unix time of the answer, or of giving up on it.
    :param outcome: Outcome as named in the answer, or ``lost`` if there was none.
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
        """Seconds from sending the request to its answer or failure."""
        return self.ended_s - self.started_s

    @property
    def is_in_time(self) -> bool:
        """Whether the work was done and the answer arrived by the deadline."""
        return self.outcome == "done" and self.took_s <= self.deadline_s


@frozen
class Run:
    """One task at one instance.

    :param ended_s: Unix time of the end; ``None`` while the task is running.
    :param ending: Value of :class:`Ending`; empty while the task is running.
    :param boot: Boot of the instance that ran it.
    """

    instance: str
    task_id: str
    started_s: float
    ended_s: float | None
    ending: str
    boot: str = ""


@frozen
class Breach:
    """A violated guarantee.

    :param promise: Name of the guarantee.
    """

    promise: str
    detail: str


@frozen
class LoadVerdict:
    """Breaches and counts of one history.

    :param operations: Number of requests.
    :param evicted: Number of runs that ended by eviction.
    :param resumed: Number of evicted runs whose work was started again.
    """

    breaches: tuple[Breach, ...]
    operations: int
    runs: int
    evicted: int
    resumed: int

    def broken(self, promise: str) -> int:
        """Return the number of breaches of one guarantee."""
        return sum(breach.promise == promise for breach in self.breaches)


@frozen
class History:
    """Requests of callers and journals of instances from one load run.

    :param slots: Slots by name of the instance; capacity is checked for these.
    :param lost_boots: Boots whose results may be lost, because the instance lost its
        memory or was unreachable until all its task leases had expired.
    """

    operations: tuple[Operation, ...]
    journals: tuple[Journal, ...]
    slots: dict[str, int] = field(factory=dict)
    lost_boots: frozenset[str] = frozenset()


def check_history(history: History) -> LoadVerdict:
    """Check all guarantees on a history and return the breaches and counts."""
    runs = [run for journal in history.journals for run in read_runs(journal)]
    by_work = _group_by_work(runs)
    breaches = [
        *_check_answers(history.operations),
        *_check_not_run(history.operations, by_work),
        *_check_run_count(history, by_work),
        *_check_overlap(by_work),
        *_check_capacity(history, runs),
        *_check_violations(history.journals),
        *_check_attempts(by_work),
    ]
    evicted = [run for run in runs if run.ending == Ending.EVICTED.value]
    resumed = [run for run in evicted if _later_attempts(run, by_work)]
    return LoadVerdict(
        tuple(breaches), len(history.operations), len(runs), len(evicted), len(resumed)
    )


def read_runs(journal: Journal) -> list[Run]:
    """Return the runs in a journal: the ended ones first, then those still running."""
    started: dict[str, JournalEntry] = {}
    runs = []
    for entry in journal.entries:
        if entry.event == "start":
            started[entry.task_id] = entry
        elif entry.event in _ENDINGS and entry.task_id in started:
            start = started.pop(entry.task_id)
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
    for entry in started.values():
        runs.append(
            Run(journal.instance, entry.task_id, entry.at_s, None, "", entry.boot)
        )
    return runs


def work_of(task_id: str) -> str:
    """Return the id of the work or check that a task id belongs to.

    Task ids are ``work#attempt`` for recorded work, ``request~attempt`` for checks.
    """
    return task_id.rpartition("#")[0] or task_id.rpartition("~")[0]


def _group_by_work(runs: t.Iterable[Run]) -> dict[str, list[Run]]:
    by_work: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_work[work_of(run.task_id)].append(run)
    return by_work


def _work_key(operation: Operation) -> str:
    if operation.category is Category.CHECK:
        return operation.work_id
    return f"{operation.upstream}/{operation.work_id}"


def _check_answers(operations: t.Iterable[Operation]) -> t.Iterator[Breach]:
    for operation in operations:
        is_matching = operation.answer.endswith(" " + operation.body)
        if operation.outcome == "done" and not is_matching:
            yield Breach("whole answer", operation.work_id)


def _check_not_run(
    operations: t.Iterable[Operation], by_work: t.Mapping[str, list[Run]]
) -> t.Iterator[Breach]:
    outcomes_by_work: dict[str, set[str]] = collections.defaultdict(set)
    for operation in operations:
        outcomes_by_work[_work_key(operation)].add(operation.outcome)
    for key, outcomes in outcomes_by_work.items():
        if outcomes == {"not_run"} and by_work.get(key):
            yield Breach("not run", key)


def _check_run_count(
    history: History, by_work: t.Mapping[str, list[Run]]
) -> t.Iterator[Breach]:
    plans = {
        _work_key(op): op for op in history.operations if op.category is Category.PLAN
    }
    for key, operation in plans.items():
        runs = by_work.get(key, [])
        if operation.non_idempotent and len(runs) > 1:
            yield Breach("at most once", f"{key} started {len(runs)} times")
        done = sum(run.ending == Ending.DONE.value for run in runs)
        # Work whose result was lost with its instance may be done a second time.
        done_and_remembered = sum(
            run.ending == Ending.DONE.value and run.boot not in history.lost_boots
            for run in runs
        )
        if done_and_remembered > 1:
            yield Breach("done once", f"{key} completed {done_and_remembered} times")
        if operation.outcome == "done" and not done:
            yield Breach("done once", f"{key} was reported done but no run completed")


def _check_overlap(by_work: t.Mapping[str, list[Run]]) -> t.Iterator[Breach]:
    for key, runs in by_work.items():
        if "~" in runs[0].task_id:
            # Checks are idempotent and may be offered twice.
            continue
        by_start = sorted(runs, key=lambda run: run.started_s)
        for first, second in itertools.pairwise(by_start):
            if first.ended_s is None or first.ended_s > second.started_s:
                yield Breach(
                    "two places", f"{key}: {first.task_id} overlaps {second.task_id}"
                )


def _check_capacity(history: History, runs: t.Iterable[Run]) -> t.Iterator[Breach]:
    by_instance: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_instance[run.instance].append(run)
    for instance, instance_runs in by_instance.items():
        slots = history.slots.get(instance)
        if slots is not None and _peak_concurrency(instance_runs) > slots:
            yield Breach(
                "capacity",
                f"{instance} ran {_peak_concurrency(instance_runs)} tasks at once",
            )


def _peak_concurrency(runs: t.Iterable[Run]) -> int:
    changes = []
    for run in runs:
        changes.append((run.started_s, 1))
        if run.ended_s is not None:
            changes.append((run.ended_s, -1))
    # Sorting puts an end before a start at the same time.
    return max(itertools.accumulate(c for _, c in sorted(changes)), default=0)


def _check_violations(journals: t.Iterable[Journal]) -> t.Iterator[Breach]:
    for journal in journals:
        violations = journal.violations
        for count, promise in (
            (violations.over_capacity, "capacity"),
            (violations.same_task_twice, "at most once"),
            (violations.stale_start, "stale start"),
        ):
            for _ in range(count):
                yield Breach(promise, f"counted by {journal.instance}")


def _attempt_number(run: Run) -> int:
    return int(run.task_id.rpartition("#")[2] or 0)


def _later_attempts(run: Run, by_work: t.Mapping[str, list[Run]]) -> list[Run]:
    later = by_work[work_of(run.task_id)]
    return [other for other in later if _attempt_number(other) > _attempt_number(run)]


def _check_attempts(by_work: t.Mapping[str, list[Run]]) -> t.Iterator[Breach]:
    for key, runs in by_work.items():
        counts = collections.Counter(run.task_id for run in runs)
        for task_id, count in counts.items():
            if count > 1 and "#" in task_id:
                yield Breach("resumed once", f"{key}: {task_id} ran {count} times")
