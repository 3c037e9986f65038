"""The clocks of a process, and the figures that show how busy its tasks are."""

import time
import typing as t

from attrs import define, field, frozen

from .clock import read_steady_s, read_wall_time
from .decisions.start_window import StartCounts

R = t.TypeVar("R")


@frozen
class Reading:
    """The clocks of a process, read together, in seconds.

    :param steady_s: Time of the steady clock, with any origin.
    :param wall_s: Unix time.
    :param cpu_s: Processor time used so far.
    """

    steady_s: float
    wall_s: float
    cpu_s: float


@frozen
class ProcessClocks:
    """Functions that read the clocks of a process, in seconds."""

    steady_s: t.Callable[[], float] = read_steady_s
    wall_s: t.Callable[[], float] = lambda: read_wall_time().timestamp()
    cpu_s: t.Callable[[], float] = time.process_time

    def read(self) -> Reading:
        """Return a reading of all clocks."""
        return Reading(self.steady_s(), self.wall_s(), self.cpu_s())


@define
class Durations:
    """Number, sum and maximum of durations.

    >>> durations = Durations()
    >>> durations.add(0.5)
    >>> durations.add(0.1)
    >>> durations.count, durations.longest_s, durations.mean_s
    (2, 0.5, 0.3)
    """

    count: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, duration_s: float) -> None:
        """Count a duration."""
        self.count += 1
        self.total_s += duration_s
        self.longest_s = max(self.longest_s, duration_s)

    @property
    def mean_s(self) -> float:
        """The mean duration, 0 if there is none."""
        return self.total_s / self.count if self.count else 0.0


def timed(
    steady_s: t.Callable[[], float],
    record: t.Callable[[float], None],
    fn: t.Callable[..., R],
    *args: t.Any,
) -> R:
    """Call ``fn`` and record its duration in seconds, also if it fails.

    :param steady_s: Source of steady seconds.
    """
    started_s = steady_s()
    try:
        return fn(*args)
    finally:
        record(steady_s() - started_s)


@define
class SchedulerCounters:
    """What a scheduler has done since its load was last taken.

    :param rounds: Rounds of placement, without their effects.
    :param messages: Handling of messages, with their effects and with ticks.
    :param ticks: Checks of timeouts, with regrouping.
    :param regroupings: Looks for a serving task to move for waiting fillers.
    :param effects: Execution of effects: agents send their orders meanwhile, and
        lines are logged.
    """

    listings: int = 0
    orders: int = 0
    rounds: Durations = field(factory=Durations)
    messages: Durations = field(factory=Durations)
    ticks: Durations = field(factory=Durations)
    regroupings: Durations = field(factory=Durations)
    effects: Durations = field(factory=Durations)


@frozen
class SchedulerLoad:
    """The load of a scheduler.

    :param done: What it has done since its load was last taken.
    :param mailbox_length: Messages that wait to be handled.
    :param waiting_tasks: Tasks that could run and have no run.
    :param unsaved_jobs: Changed jobs that wait for the write in progress.
    :param write_age_s: Age of the write in progress; 0 if there is none.
    :param start_limit: Number of starts that may be in flight.
    :param starts_in_flight: Number of starts that this entry may not have sent yet.
    :param starts: What became of starts since the load was last taken.
    """

    term: int
    done: SchedulerCounters
    mailbox_length: int
    jobs: int
    waiting_tasks: int
    instances: int
    unsaved_jobs: int
    write_age_s: float
    start_limit: int = 0
    starts_in_flight: int = 0
    starts: StartCounts = StartCounts()


@frozen
class CallCounts:
    """Calls to one kind of server since the start of the process.

    :param sent: Calls that were sent.
    :param connections: Connection attempts.
    :param failed: Calls that failed, without those that timed out.
    :param timed_out: Calls without an answer in time.
    :param unsent: Calls that failed or timed out before anything was sent.
    """

    sent: int = 0
    connections: int = 0
    failed: int = 0
    timed_out: int = 0
    unsent: int = 0

    def __sub__(self, earlier: "CallCounts") -> "CallCounts":
        return CallCounts(
            self.sent - earlier.sent,
            self.connections - earlier.connections,
            self.failed - earlier.failed,
            self.timed_out - earlier.timed_out,
            self.unsent - earlier.unsent,
        )


@frozen
class AllCallCounts:
    """Calls of an entry to the store and to instances."""

    store: CallCounts = CallCounts()
    instances: CallCounts = CallCounts()

    def __sub__(self, earlier: "AllCallCounts") -> "AllCallCounts":
        return AllCallCounts(
            self.store - earlier.store, self.instances - earlier.instances
        )
