"""Limits the starts that have no answer yet to what this entry can carry.

The load that this is built for: bursts of wide jobs, and the backlog that a scheduler
finds after its election. Each start costs processor time and bandwidth of the entry.
If all starts that fit are sent at once, renewals of the leader's lease and listings
wait behind them, the lease expires, and the next scheduler finds an even larger
backlog. With a limit, waiting tasks stay in the queue, where the most urgent go first.

The limit follows the answers. While it is reached, it approaches the number that is
answered within the delay that is tolerated. It falls while even the quickest answers
take longer, which congestion of this entry explains and slow instances do not.
"""

import collections
import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..job import TaskKey

#: Starts in flight that are always allowed, and those allowed at first.
MIN_STARTS = 8
INITIAL_STARTS = 32
#: Upper bound of the limit.
MAX_STARTS = 2000
#: By how much the quickest answers may exceed the shortest time of any answer. It is a
#: quarter of the timeout of a renewal, which waits as long.
MAX_ADDED_DELAY = dt.timedelta(milliseconds=175)
#: Share of the answers that count as the quickest.
QUICKEST_SHARE = 0.25
#: Factor of the limit for each interval with slow answers, and largest factor of one
#: with quick answers.
DECREASE = 0.7
INCREASE = 1.5
#: How far the limit may exceed what the rate of answers suggests, so that it can rise.
HEADROOM = 1.25
#: Number of intervals of which the highest rate of answers counts: about a second.
RATE_INTERVALS = 10
#: Time after which a start counts as answered: it is repeated or stopped by then.
MAX_FLIGHT_TIME = dt.timedelta(seconds=2)
#: Share of the limit that must be free for the next starts, so that they are sent in
#: groups and few rounds of placement are made while many tasks wait.
MIN_FREE_SHARE = 0.25
#: Longest time between two moments at which the limit is reached for both to count as
#: one span. A late loop skips intervals.
MAX_FULL_GAP = dt.timedelta(milliseconds=500)

#: A task and the number of its run.
StartId = tuple[TaskKey, int]


@frozen
class StartCounts:
    """What became of starts in a period.

    :param answered: Starts that an instance answered.
    :param unanswered: Starts that were given up.
    :param quickest: Time below which the quickest answers stayed; ``None`` if there
        were none.
    """

    answered: int = 0
    unanswered: int = 0
    quickest: dt.timedelta | None = None


@define(eq=False)
class StartWindow:
    """The starts in flight and their limit.

    :param limit: Number of starts that may be in flight.
    :param sent_at: When each start in flight was ordered.
    :param answer_times: How long the answers of the current interval took.
    :param shortest: Shortest time of any answer so far.
    :param was_full: Whether the limit was reached in the current interval.
    :param rates: Answers per second in the latest intervals.
    :param adjusted_at: When the current interval began.
    :param full_since: Since when the limit has been reached again and again.
    :param full_at: When it was last reached.
    :param times_since_report: How long answers took since the last report of them.
    :param unanswered_since_report: Starts that were given up since then.
    """

    limit: float = INITIAL_STARTS
    sent_at: dict[StartId, dt.datetime] = field(factory=dict)
    answer_times: list[dt.timedelta] = field(factory=list)
    shortest: dt.timedelta | None = None
    was_full: bool = False
    rates: collections.deque[float] = field(
        factory=lambda: collections.deque(maxlen=RATE_INTERVALS)
    )
    adjusted_at: dt.datetime | None = None
    full_since: dt.datetime | None = None
    full_at: dt.datetime | None = None
    times_since_report: list[dt.timedelta] = field(factory=list)
    unanswered_since_report: int = 0

    def full_for(self, now: dt.datetime) -> dt.timedelta:
        """Return for how long the limit has been reached again and again."""
        return now - self.full_since if self.full_since else dt.timedelta()

    def mean_rate(self) -> float:
        """Return the mean number of answers per second in the latest intervals."""
        return sum(self.rates) / len(self.rates) if self.rates else 0.0

    @property
    def is_full(self) -> bool:
        """Whether the next starts wait until a group of them is free."""
        return self.limit - len(self.sent_at) < self.limit * MIN_FREE_SHARE

    def free_starts(self) -> float:
        """Return the starts that may be sent now; 0 until a group of them is free."""
        if self.is_full:
            self.was_full = True
            return 0
        return self.limit - len(self.sent_at)


def note_start(window: StartWindow, start: StartId, now: dt.datetime) -> None:
    """Count a start that is being sent."""
    window.sent_at[start] = now
    if len(window.sent_at) >= window.limit:
        window.was_full = True


def note_answer(window: StartWindow, start: StartId, now: dt.datetime) -> None:
    """Take into account that an instance has answered a start."""
    sent_at = window.sent_at.pop(start, None)
    if sent_at is None:
        return
    took = now - sent_at
    window.answer_times.append(took)
    window.times_since_report.append(took)
    if window.shortest is None or took < window.shortest:
        window.shortest = took


def forget_start(window: StartWindow, start: StartId) -> None:
    """No longer count a start that gets no answer."""
    if window.sent_at.pop(start, None) is not None:
        window.unanswered_since_report += 1


def take_counts(window: StartWindow) -> StartCounts:
    """Return what became of starts since the last call."""
    times, window.times_since_report = window.times_since_report, []
    unanswered, window.unanswered_since_report = window.unanswered_since_report, 0
    quickest = _find_quickest(times) if times else None
    return StartCounts(len(times), unanswered, quickest)


def adjust(window: StartWindow, now: dt.datetime) -> None:
    """Adapt the limit to the answers since the last call; called at short intervals."""
    if window.adjusted_at is not None and now > window.adjusted_at:
        interval_s = (now - window.adjusted_at).total_seconds()
        window.rates.append(len(window.answer_times) / interval_s)
    window.adjusted_at = now
    if window.answer_times and window.shortest is not None:
        window.limit = max(
            float(MIN_STARTS), _next_limit(window, window.shortest + MAX_ADDED_DELAY)
        )
    if window.was_full:
        window.full_since = window.full_since or now
        window.full_at = now
    elif window.full_at is not None and now - window.full_at > MAX_FULL_GAP:
        window.full_since = None
    window.answer_times.clear()
    window.was_full = False
    # Starts are ordered by the time at which they were sent.
    for start, sent_at in list(window.sent_at.items()):
        if now - sent_at < MAX_FLIGHT_TIME:
            break
        forget_start(window, start)


def _find_quickest(times: t.Iterable[dt.timedelta]) -> dt.timedelta:
    """Return the time below which the quickest answers stayed."""
    ordered = sorted(times)
    return ordered[int(len(ordered) * QUICKEST_SHARE)]


def _next_limit(window: StartWindow, tolerated: dt.timedelta) -> float:
    """Return the next limit, for answers that may take the time ``tolerated``."""
    if _find_quickest(window.answer_times) > tolerated:
        return window.limit * DECREASE
    if not window.was_full:
        return window.limit
    answered = max(window.rates, default=0.0) * tolerated.total_seconds()
    return min(window.limit * INCREASE, answered * HEADROOM, float(MAX_STARTS))
