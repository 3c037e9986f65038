"""Limits the starts that have no answer yet to what this entry can carry.

The load that this is built for: bursts of wide jobs, and the backlog that a scheduler
finds after its election. Each start costs processor time and bandwidth of the entry.
If all starts that fit are sent at once, renewals of the leader's lease and listings
wait behind them, the lease expires, and the next scheduler finds an even larger
backlog. With a limit, waiting tasks stay in the queue, where the most urgent go first.

The limit follows how late answers come, and not how many come. While it is reached, it
approaches the number that this entry sends within the delay that is tolerated. It falls
while even the quickest answers take longer, which congestion of this entry explains and
slow instances do not.

This entry sends starts in the order in which they were ordered. An answer thus shows
that all earlier starts have been sent too: those without an answer wait for their
instance, are no load on this entry, and leave the window. If nothing is answered for
longer than it takes to send what is in flight, the starts leave without such a proof,
and each time after a longer wait.
"""

import collections
import datetime as dt
import itertools
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
INCREASE = 2.0
#: How far the limit may exceed what the rate of sending suggests, so that it can rise.
HEADROOM = 1.25
#: Added delay of the quickest answers up to which nothing waits at this entry.
MIN_ADDED_DELAY = MAX_ADDED_DELAY / 4
#: Number of intervals of which the rates count: about a second.
RATE_INTERVALS = 10
#: Time with starts in flight over which a rate of sending is measured.
MIN_BUSY_TIME = dt.timedelta(milliseconds=100)
#: Multiple of the tolerated delay after which a wait for an answer shows nothing more.
MAX_WAIT_FACTOR = 2
#: Multiple of the time to send all starts in flight after which they have been sent.
SENDING_FACTOR = 2
#: Number of times that the wait for an answer doubles while there is none.
MAX_DOUBLINGS = 2
#: Time without an answer that counts at most between two adjustments: a late loop has
#: answers that it has yet to read.
MAX_SILENT_INTERVAL = dt.timedelta(milliseconds=150)
#: Time after which a start is dropped: it is repeated or stopped by then.
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
class SendRate:
    """How many starts this entry sends per second while some are in flight.

    :param busy_since: When starts were first in flight after none were, or after a wait
        for answers that says nothing about the rate.
    :param answered_at: When a start was last answered.
    :param busy_time: Time of the current sample.
    :param sent: Starts that were sent in it.
    :param samples: The latest rates.
    """

    busy_since: dt.datetime | None = None
    answered_at: dt.datetime | None = None
    busy_time: dt.timedelta = dt.timedelta()
    sent: int = 0
    samples: collections.deque[float] = field(
        factory=lambda: collections.deque(maxlen=RATE_INTERVALS)
    )

    @property
    def highest(self) -> float:
        """The highest of the latest rates; 0 if there is none."""
        return max(self.samples, default=0.0)


@define(eq=False)
class StartWindow:
    """The starts in flight and their limit.

    :param limit: Number of starts that may be in flight.
    :param sent_at: When each start in flight was ordered, in that order.
    :param answer_times: How long the answers of the current interval took.
    :param shortest: Shortest time of any answer so far.
    :param was_full: Whether the limit was reached in the current interval.
    :param sent: Starts that were found to be sent in the current interval.
    :param rates: Such starts per second in the latest intervals.
    :param send_rate: The rate at which starts leave this entry.
    :param silent_time: Time without an answer, while starts are in flight.
    :param releases: Number of times in a row that starts left for want of answers.
    :param adjusted_at: When the current interval began.
    :param full_since: Since when the limit has been reached again and again.
    :param full_at: When it was last reached.
    :param answered_since_report: Starts that were answered since the last report.
    :param times_since_report: How long these took that were in flight.
    :param unanswered_since_report: Starts that were given up since then.
    """

    limit: float = INITIAL_STARTS
    sent_at: dict[StartId, dt.datetime] = field(factory=dict)
    answer_times: list[dt.timedelta] = field(factory=list)
    shortest: dt.timedelta | None = None
    was_full: bool = False
    sent: int = 0
    rates: collections.deque[float] = field(
        factory=lambda: collections.deque(maxlen=RATE_INTERVALS)
    )
    send_rate: SendRate = field(factory=SendRate)
    silent_time: dt.timedelta = dt.timedelta()
    releases: int = 0
    adjusted_at: dt.datetime | None = None
    full_since: dt.datetime | None = None
    full_at: dt.datetime | None = None
    answered_since_report: int = 0
    times_since_report: list[dt.timedelta] = field(factory=list)
    unanswered_since_report: int = 0

    def full_for(self, now: dt.datetime) -> dt.timedelta:
        """Return for how long the limit has been reached again and again."""
        return now - self.full_since if self.full_since else dt.timedelta()

    def mean_rate(self) -> float:
        """Return the mean number of starts sent per second in the latest intervals."""
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
    if not window.sent_at:
        window.send_rate.busy_since = now
        window.silent_time = dt.timedelta()
    window.sent_at[start] = now
    if len(window.sent_at) >= window.limit:
        window.was_full = True


def note_answer(
    window: StartWindow,
    start: StartId,
    now: dt.datetime,
    repeated_after: dt.timedelta = dt.timedelta(),
) -> None:
    """Take into account that an instance has answered a start.

    :param repeated_after: Time between the first call and the one that was answered.
    """
    window.answered_since_report += 1
    sent_at = window.sent_at.get(start)
    if sent_at is None:
        return
    sent = 1
    while (earlier := next(iter(window.sent_at))) != start:
        del window.sent_at[earlier]
        sent += 1
    del window.sent_at[start]
    window.sent += sent
    _note_sent(window, sent, sent_at, now)
    window.silent_time, window.releases = dt.timedelta(), 0
    took = now - sent_at - repeated_after
    window.answer_times.append(took)
    window.times_since_report.append(took)
    if window.shortest is None or took < window.shortest:
        window.shortest = took


def _note_sent(
    window: StartWindow, count: int, sent_at: dt.datetime, now: dt.datetime
) -> None:
    """Add starts to the sample of the rate of sending.

    :param sent_at: When the last of them was ordered.
    """
    rate = window.send_rate
    since = max(rate.busy_since or sent_at, rate.answered_at or sent_at)
    gap = now - since
    if window.shortest is not None:
        gap = min(gap, _longest_wait(window.shortest))
    rate.busy_time += gap
    rate.sent += count
    rate.answered_at = now


def _longest_wait(shortest: dt.timedelta) -> dt.timedelta:
    """Return the time after which a further wait for an answer shows nothing."""
    return MAX_WAIT_FACTOR * (shortest + MAX_ADDED_DELAY)


def forget_start(window: StartWindow, start: StartId) -> None:
    """No longer count a start that gets no answer."""
    window.unanswered_since_report += 1
    window.sent_at.pop(start, None)


def take_counts(window: StartWindow) -> StartCounts:
    """Return what became of starts since the last call."""
    times = window.times_since_report
    counts = StartCounts(
        window.answered_since_report,
        window.unanswered_since_report,
        _find_quickest(times) if times else None,
    )
    window.answered_since_report = window.unanswered_since_report = 0
    window.times_since_report = []
    return counts


def adjust(window: StartWindow, now: dt.datetime) -> None:
    """Adapt the limit to the answers since the last call; called at short intervals."""
    _update_rates(window, now)
    if window.answer_times and window.shortest is not None:
        window.limit = max(float(MIN_STARTS), _next_limit(window, window.shortest))
    if window.was_full:
        window.full_since = window.full_since or now
        window.full_at = now
    elif window.full_at is not None and now - window.full_at > MAX_FULL_GAP:
        window.full_since = None
    window.answer_times.clear()
    window.was_full = False
    _drop_starts(window, now - MAX_FLIGHT_TIME)
    _release_silent_starts(window, now)


def _update_rates(window: StartWindow, now: dt.datetime) -> None:
    if window.adjusted_at is not None and now > window.adjusted_at:
        interval = now - window.adjusted_at
        window.silent_time += min(interval, MAX_SILENT_INTERVAL)
        window.rates.append(window.sent / interval.total_seconds())
    window.sent, window.adjusted_at = 0, now
    rate = window.send_rate
    if rate.busy_time >= MIN_BUSY_TIME:
        rate.samples.append(rate.sent / rate.busy_time.total_seconds())
        rate.sent, rate.busy_time = 0, dt.timedelta()


def _drop_starts(window: StartWindow, latest: dt.datetime) -> bool:
    """Drop the starts that were sent until ``latest``; return whether there are any."""
    starts = [
        start
        for start, _ in itertools.takewhile(
            lambda item: item[1] <= latest, window.sent_at.items()
        )
    ]
    for start in starts:
        del window.sent_at[start]
    return bool(starts)


def _release_silent_starts(window: StartWindow, now: dt.datetime) -> None:
    """Drop the starts in a full window that nothing but silence keeps there.

    The limit does not limit the starts then, so it does not count as reached.
    """
    shortest, highest_rate = window.shortest, window.send_rate.highest
    if not window.is_full or shortest is None:
        return
    wait = _longest_wait(shortest)
    if highest_rate:
        sending = dt.timedelta(seconds=len(window.sent_at) / highest_rate)
        wait = min(
            max(wait, shortest + sending),
            max(MAX_ADDED_DELAY, shortest + SENDING_FACTOR * sending),
        )
    if window.silent_time < wait * 2**window.releases:
        return
    if _drop_starts(window, now - wait):
        window.send_rate.busy_since = now
        window.silent_time = dt.timedelta()
        window.releases = min(window.releases + 1, MAX_DOUBLINGS)
        window.full_since = None


def _find_quickest(times: t.Iterable[dt.timedelta]) -> dt.timedelta:
    """Return the time below which the quickest answers stayed."""
    ordered = sorted(times)
    return ordered[int(len(ordered) * QUICKEST_SHARE)]


def _next_limit(window: StartWindow, shortest: dt.timedelta) -> float:
    """Return the next limit, for answers that take the time ``shortest`` and longer."""
    added_delay = _find_quickest(window.answer_times) - shortest
    if added_delay > MAX_ADDED_DELAY:
        return window.limit * DECREASE
    if not window.was_full:
        return window.limit
    tolerated_s = (shortest + MAX_ADDED_DELAY).total_seconds()
    highest = window.send_rate.highest * tolerated_s * HEADROOM
    if added_delay < MIN_ADDED_DELAY:
        highest = max(highest, window.limit * HEADROOM)
    return min(window.limit * INCREASE, highest, float(MAX_STARTS))
