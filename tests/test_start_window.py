"""The limit of starts without an answer, under load and beside slow instances."""

import datetime as dt
import heapq
import itertools
import random
from functools import partial

import pytest
from attrs import define, field

from fighead.decisions import admission, placement, start_window
from fighead.decisions.start_window import (
    INITIAL_STARTS,
    MAX_ADDED_DELAY,
    MAX_FLIGHT_TIME,
    MAX_STARTS,
    MIN_STARTS,
    StartWindow,
)
from fighead.job import Demand, Stage, TaskKey
from job_builders import add_job, at_seconds, make_schedule, orders_in

INTERVAL_S = 0.1
#: Time after which a call without an answer is repeated, or given up: as in the agent.
REPEAT_S = 0.95
SLOW_S = 0.3
#: Timeout of a renewal of the leader's lease, which waits behind the starts.
RENEWAL_TIMEOUT_S = 0.7
WIDE_STAGE = Stage(count=400, cpu=100, memory_mb=1, estimate_ms=1000)


def make_job_id(number):
    return f"{number:016x}"


def start_id(number):
    return (TaskKey("a" * 16, 0, 0, number), 1)


@define
class Playing:
    """Starts sent through a sender of limited rate, and what becomes of them.

    Each start takes its turn at the sender, so its answer is as late as the starts
    before it take. A start without an answer is repeated once and then given up.

    :param starts_per_s: Rate of the sender.
    :param base_s: Time to an instance and back.
    :param demand_per_s: Starts wanted; they don't add up while the limit is reached.
    :param stuck: Number of first starts that get no answer.
    :param silent_share: Share of the calls that get no answer.
    :param silent_instances: Share of the instances that never answer.
    :param slow_share: Share of the instances that take ``SLOW_S`` to answer.
    :param sent: Number of starts.
    :param calls: Number of calls, with repetitions.
    :param longest_s: Longest queue of the sender, in seconds.
    :param longest_later_s: The same after the first two seconds.
    """

    starts_per_s: float
    base_s: float = 0.005
    demand_per_s: int = 10_000
    stuck: int = 0
    silent_share: float = 0.0
    silent_instances: float = 0.0
    slow_share: float = 0.0
    window: StartWindow = field(factory=StartWindow)
    sent: int = 0
    answered: int = 0
    longest_s: float = 0.0
    longest_later_s: float = 0.0
    calls: int = 0
    now_s: float = 0.0
    _free_at: float = 0.0
    _events: list = field(factory=list)
    _order: itertools.count = field(factory=itertools.count)
    rng: random.Random = field(factory=lambda: random.Random(1))

    def play(self, seconds):
        """Play until a second, and return this object."""
        now_s = self.now_s
        while now_s < seconds:
            for _ in range(10):
                now_s += INTERVAL_S / 10
                wanted = int(self.demand_per_s * INTERVAL_S / 10)
                for _ in range(int(min(self.window.free_starts(), wanted))):
                    self._start(now_s)
                while self._events and self._events[0][0] <= now_s:
                    _, _, act = heapq.heappop(self._events)
                    act(now_s)
            start_window.adjust(self.window, at_seconds(now_s))
        self.now_s = now_s
        return self

    @property
    def turns(self):
        """The number of calls that the sender has sent."""
        queue_s = max(0.0, self._free_at - self.now_s)
        return self.calls - queue_s * self.starts_per_s

    def _at(self, second, act):
        heapq.heappush(self._events, (second, next(self._order), act))

    def _start(self, now_s):
        self.sent += 1
        number = self.sent
        start_window.note_start(self.window, start_id(number), at_seconds(now_s))
        never_answers = (
            number <= self.stuck or self.rng.random() < self.silent_instances
        )
        base_s = SLOW_S if self.rng.random() < self.slow_share else self.base_s
        self._call(number, now_s, base_s, never_answers)

    def _call(self, number, now_s, base_s, never_answers, is_repetition=False):
        self.calls += 1
        self._free_at = max(self._free_at, now_s) + 1 / self.starts_per_s
        queue_s = self._free_at - now_s
        self.longest_s = max(self.longest_s, queue_s)
        if now_s > 2:
            self.longest_later_s = max(self.longest_later_s, queue_s)
        start = start_id(number)
        if not never_answers and self.rng.random() >= self.silent_share:
            self._at(
                self._free_at + base_s, partial(self._answer, start, is_repetition)
            )
        elif is_repetition:
            self._at(
                now_s + REPEAT_S,
                lambda _: start_window.forget_start(self.window, start),
            )
        else:
            self._at(
                now_s + REPEAT_S,
                lambda later_s: self._call(
                    number, later_s, base_s, never_answers, is_repetition=True
                ),
            )

    def _answer(self, start, is_repetition, now_s):
        repeated_after = dt.timedelta(seconds=REPEAT_S if is_repetition else 0)
        start_window.note_answer(self.window, start, at_seconds(now_s), repeated_after)
        self.answered += 1


def play(starts_per_s, seconds, **settings):
    """Play some seconds; return the window, the answers and the longest queue."""
    played = Playing(starts_per_s, **settings).play(seconds)
    return played.window, played.answered, played.longest_s


def test_the_queue_at_a_small_entry_stays_short_and_its_rate_is_used():
    _, answered, longest_s = play(starts_per_s=60, seconds=10)
    assert answered > 0.85 * 60 * 10
    # The first group alone takes a second; later ones wait less than a renewal may.
    assert longest_s < 1.2


def test_the_limit_of_a_small_entry_settles_below_the_timeout_of_a_renewal():
    window, _, _ = play(starts_per_s=60, seconds=10)
    assert window.limit / 60 < 0.7


def test_a_large_entry_soon_sends_all_that_is_wanted():
    window, answered, _ = play(starts_per_s=5000, seconds=4, demand_per_s=1500)
    assert answered > 0.9 * 1500 * 4
    assert window.limit <= MAX_STARTS


def test_long_ways_to_the_instances_are_no_congestion():
    _, answered, _ = play(starts_per_s=5000, seconds=6, base_s=0.3, demand_per_s=1000)
    assert answered > 0.7 * 1000 * 6


def test_starts_without_an_answer_do_not_block_others_for_long():
    _, answered, _ = play(
        starts_per_s=1000, seconds=6, demand_per_s=500, stuck=INITIAL_STARTS
    )
    assert answered > 500 * (6 - MAX_FLIGHT_TIME.total_seconds() - 0.5)


def test_the_limit_never_falls_below_its_minimum():
    window, answered, _ = play(starts_per_s=3, seconds=20)
    assert window.limit >= MIN_STARTS and answered > 30


def test_an_answer_to_a_forgotten_start_does_not_count():
    window = StartWindow()
    start_window.note_start(window, start_id(1), at_seconds(0))
    start_window.forget_start(window, start_id(1))
    start_window.note_answer(window, start_id(1), at_seconds(9))
    assert not window.answer_times and not window.sent_at


def test_a_round_sends_no_more_starts_than_are_free():
    schedule = make_schedule(tuple(f"i{n}" for n in range(8)))
    schedule.start_window = StartWindow()
    add_job(schedule, WIDE_STAGE)
    first = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))
    assert len(first) == INITIAL_STARTS
    assert not placement.place_waiting_tasks(schedule, at_seconds(0.01))
    for order in first[: INITIAL_STARTS // 2]:
        start = (order.task, order.number)
        start_window.note_answer(schedule.start_window, start, at_seconds(0.02))
    more = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0.03)))
    assert len(more) == INITIAL_STARTS // 2


def test_urgent_tasks_that_come_later_go_before_the_rest_of_a_wide_job():
    schedule = make_schedule(tuple(f"i{n}" for n in range(8)))
    schedule.start_window = StartWindow()
    add_job(schedule, WIDE_STAGE, job_id=make_job_id(1))
    first = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))
    urgent = add_job(schedule, Stage(cpu=100, memory_mb=1), job_id=make_job_id(2))
    urgent.queue = type(urgent.queue)("urgent", "a.example", "/u/", "mill", 0)
    for order in first[: INITIAL_STARTS // 2]:
        start = (order.task, order.number)
        start_window.note_answer(schedule.start_window, start, at_seconds(0.02))
    more = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0.03)))
    assert more[0].task.job_id == make_job_id(2)


def test_a_gang_starts_whole_also_beyond_the_limit():
    schedule = make_schedule(("i1",), capacity=Demand(64_000, 1000, 0))
    schedule.start_window = StartWindow(limit=8)
    gang = Stage(count=12, cpu=100, memory_mb=1, is_gang=True)
    add_job(schedule, gang)
    orders = orders_in(placement.place_waiting_tasks(schedule, at_seconds(0)))
    assert len(orders) == 12


def test_times_are_measured_between_order_and_answer():
    window = StartWindow()
    start_window.note_start(window, start_id(1), at_seconds(1))
    start_window.note_answer(window, start_id(1), at_seconds(1.25))
    assert window.shortest == dt.timedelta(seconds=0.25)


def test_answered_and_silent_starts_are_told_apart():
    window = StartWindow()
    for number in range(8):
        start_window.note_start(window, start_id(number), at_seconds(0))
    # Start 0 is answered after later ones.
    for number, second in ((1, 0.01), (2, 0.02), (0, 0.3), (3, 0.9)):
        start_window.note_answer(window, start_id(number), at_seconds(second))
    for number in (4, 5):
        start_window.forget_start(window, start_id(number))
    counts = start_window.take_counts(window)
    quickest = dt.timedelta(milliseconds=10)
    assert counts == start_window.StartCounts(4, 2, quickest)
    assert start_window.take_counts(window) == start_window.StartCounts()


def test_an_answer_shows_that_earlier_starts_are_no_load_on_this_entry():
    window = StartWindow()
    for number in range(8):
        start_window.note_start(window, start_id(number), at_seconds(0))
    start_window.note_answer(window, start_id(5), at_seconds(0.01))
    assert list(window.sent_at) == [start_id(6), start_id(7)]
    start_window.adjust(window, at_seconds(0))
    start_window.note_start(window, start_id(8), at_seconds(0.05))
    start_window.note_answer(window, start_id(8), at_seconds(0.06))
    start_window.adjust(window, at_seconds(0.1))
    assert window.mean_rate() == pytest.approx(30)


def test_the_time_of_a_repeated_start_is_that_of_the_answered_call():
    window = StartWindow()
    start_window.note_start(window, start_id(1), at_seconds(0))
    repeated_after = dt.timedelta(seconds=0.9)
    start_window.note_answer(window, start_id(1), at_seconds(1), repeated_after)
    assert window.answer_times == [dt.timedelta(seconds=0.1)]


def make_full_window():
    """Return a window that is full of starts sent after an answer at 0.01 s."""
    window = StartWindow(limit=MIN_STARTS)
    start_window.note_start(window, start_id(0), at_seconds(0))
    start_window.note_answer(window, start_id(0), at_seconds(0.01))
    for number in range(1, MIN_STARTS + 1):
        start_window.note_start(window, start_id(number), at_seconds(0.01))
    return window


def find_release(window, interval_s):
    """Return the second at which starts may be sent again without any answer."""
    step = 0
    while window.is_full and step * interval_s < MAX_FLIGHT_TIME.total_seconds():
        step += 1
        window.free_starts()
        start_window.adjust(window, at_seconds(step * interval_s))
    return step * interval_s


def test_a_window_full_of_silence_is_released_later_each_time():
    window = make_full_window()
    first = find_release(window, INTERVAL_S)
    assert MAX_ADDED_DELAY.total_seconds() < first < 0.7
    # It does not count as limited by this entry.
    assert not window.full_for(at_seconds(first))
    for number in range(10, 10 + MIN_STARTS):
        start_window.note_start(window, start_id(number), at_seconds(first))
    for step in range(1, 30):
        start_window.adjust(window, at_seconds(first + step * INTERVAL_S))
        if not window.is_full:
            break
    assert step * INTERVAL_S > 1.5 * first


# Failure: starts that a slow sender has yet to send make room for further ones.
@pytest.mark.parametrize("starts_per_s", [8, 10, 15])
def test_no_start_is_released_before_it_can_have_been_sent(starts_per_s):
    window = make_full_window()
    window.send_rate.samples.append(starts_per_s)
    assert find_release(window, INTERVAL_S) > MIN_STARTS / starts_per_s


def test_answers_that_a_late_loop_has_yet_to_read_are_not_missing():
    window = make_full_window()
    start_window.adjust(window, at_seconds(0.02))
    start_window.adjust(window, at_seconds(0.6))
    assert len(window.sent_at) == MIN_STARTS


SILENT_SHARES = (0.0, 0.1, 0.3, 0.5, 0.7, 0.9)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("share", SILENT_SHARES)
@pytest.mark.parametrize("kind", ["silent_share", "silent_instances"])
def test_silence_does_not_limit_the_starts(kind, share, seed):
    played = Playing(
        1000, demand_per_s=400, rng=random.Random(seed), **{kind: share}
    ).play(10)
    assert played.sent > 0.9 * 400 * 10


@pytest.mark.parametrize("share", SILENT_SHARES)
@pytest.mark.parametrize("kind", ["silent_share", "silent_instances"])
def test_congestion_holds_the_starts_down_beside_silence(kind, share):
    for seed in range(3):
        rng = random.Random(seed)
        played = Playing(60, rng=rng, **{kind: share}).play(20)
        assert played.turns > 0.85 * 60 * 20
        assert played.longest_s < 1.2
        assert played.longest_later_s < RENEWAL_TIMEOUT_S


@pytest.mark.parametrize("share", SILENT_SHARES)
def test_a_limit_at_its_least_rises_beside_silence(share):
    for seed in range(3):
        window = StartWindow(limit=MIN_STARTS)
        played = Playing(
            1000,
            demand_per_s=400,
            window=window,
            silent_share=share,
            rng=random.Random(seed),
        ).play(10)
        sent = played.sent
        assert played.play(20).sent - sent > 0.9 * 400 * 10


@pytest.mark.parametrize("share", SILENT_SHARES)
def test_no_job_is_refused_because_of_silence(share):
    schedule = make_schedule()
    played = Playing(1000, demand_per_s=400, silent_share=share)
    schedule.start_window = played.window
    add_job(schedule, Stage(count=100_000), job_id=make_job_id(1))
    for second in range(2, 20):
        played.play(second)
        assert not admission.find_backlog(schedule, at_seconds(second))


@pytest.mark.parametrize("slow_share", [0.05, 0.5, 0.9])
def test_slow_instances_are_no_congestion(slow_share):
    played = Playing(1000, demand_per_s=400, slow_share=slow_share).play(6)
    assert played.sent > 0.9 * 400 * 6


@pytest.mark.parametrize("silent_share", [0.0, 0.5])
@pytest.mark.parametrize("slow_share", [0.05, 0.5])
def test_congestion_holds_the_starts_down_beside_slow_instances(
    slow_share, silent_share
):
    played = Playing(60, slow_share=slow_share, silent_share=silent_share).play(20)
    assert played.turns > 0.85 * 60 * 20
    assert played.longest_later_s < RENEWAL_TIMEOUT_S


# Failure: repeated calls of silent starts keep renewals waiting at a slow sender.
@pytest.mark.parametrize("starts_per_s", [20, 30])
def test_congestion_of_a_slow_sender_is_held_down_beside_silence(starts_per_s):
    for seed in range(6):
        rng = random.Random(seed)
        played = Playing(starts_per_s, rng=rng, silent_share=0.5).play(20)
        assert played.longest_later_s < RENEWAL_TIMEOUT_S
