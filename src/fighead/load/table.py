"""Aggregates the results of a load run per kind and renders them as a table."""

import collections
import typing as t

from attrs import frozen
from ddsketch import DDSketch

from ..model import Category
from .history import LoadVerdict, Operation

#: Relative error of the latency quantiles.
QUANTILE_ACCURACY = 0.01


@frozen
class KindResult:
    """Counts and latencies of the requests of one kind.

    :param answered: Requests with the outcome ``done``.
    :param accepted: Recorded work that had not ended when the caller was answered.
    :param late: Checks that were answered after their deadline.
    :param unknown: Requests with an unknown outcome or without an answer.
    :param other: Requests with any other outcome.
    :param p50_ms: Median latency of the ``done`` requests; ``p99_ms`` and
        ``p999_ms`` are the 99 and 99.9 percent quantiles. 0 if there are none.
    """

    kind: str
    category: str
    sent: int
    answered: int
    accepted: int
    late: int
    not_run: int
    unknown: int
    other: int
    p50_ms: float
    p99_ms: float
    p999_ms: float

    @property
    def share_in_time(self) -> float:
        """Share of the requests that were answered in time; 1 if none was sent."""
        return (self.answered - self.late) / self.sent if self.sent else 1.0


def summarize(operations: t.Iterable[Operation]) -> tuple[KindResult, ...]:
    """Return the results of each kind, sorted by kind."""
    by_kind: dict[str, list[Operation]] = collections.defaultdict(list)
    for operation in operations:
        by_kind[operation.kind].append(operation)
    return tuple(_summarize(kind, ops) for kind, ops in sorted(by_kind.items()))


def _summarize(kind: str, operations: list[Operation]) -> KindResult:
    counts = collections.Counter(op.outcome for op in operations)
    done = [op for op in operations if op.outcome == "done"]
    is_check = operations[0].category is Category.CHECK
    late = sum(not op.is_in_time for op in done) if is_check else 0
    latencies_ms = DDSketch(QUANTILE_ACCURACY)
    for operation in done:
        latencies_ms.add(operation.took_s * 1000)
    named_outcomes = ("done", "accepted", "not_run", "unknown", "lost")
    return KindResult(
        kind,
        operations[0].category.value,
        len(operations),
        len(done),
        counts["accepted"],
        late,
        counts["not_run"],
        counts["unknown"] + counts["lost"],
        sum(count for name, count in counts.items() if name not in named_outcomes),
        _quantile(latencies_ms, 0.5),
        _quantile(latencies_ms, 0.99),
        _quantile(latencies_ms, 0.999),
    )


def _quantile(latencies_ms: DDSketch, quantile: float) -> float:
    value = latencies_ms.get_quantile_value(quantile)
    return round(value, 2) if value is not None else 0.0


def render(results: t.Iterable[KindResult], verdict: LoadVerdict) -> str:
    """Return a table, a line of totals and at most 20 breaches as text."""
    header = f"{'kind':16} {'sent':>6} {'done':>6} {'queued':>6} {'late':>5}"
    header += f" {'notrun':>6} {'unkn.':>6} {'other':>5} {'p50ms':>8} {'p99ms':>8}"
    lines = [header]
    for row in results:
        lines.append(
            f"{row.kind:16} {row.sent:6} {row.answered:6} {row.accepted:6} "
            f"{row.late:5} {row.not_run:6} {row.unknown:6} {row.other:5} "
            f"{row.p50_ms:8.1f} {row.p99_ms:8.1f}"
        )
    promises = collections.Counter(breach.promise for breach in verdict.breaches)
    lines.append(
        f"run twice {promises['at most once'] + promises['done once']}, "
        f"two places {promises['two places']}, over capacity {promises['capacity']}, "
        f"evicted {verdict.evicted}, resumed {verdict.resumed}, "
        f"broken promises {len(verdict.breaches)} in {verdict.runs} runs"
    )
    lines.extend(f"  {b.promise}: {b.detail}" for b in verdict.breaches[:20])
    return "\n".join(lines)
