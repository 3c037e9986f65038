"""Decides whether a new job is refused because the scheduler can't start it in time.

The load that this is built for: a burst of wide jobs on a scheduler whose processor or
link, not the room on the instances, limits its starts. A backlog that it can't work off
makes all jobs late and leaves accepted jobs undone at the end. Clients that are told at
once can come back when the backlog is smaller.
"""

import collections
import datetime as dt
import typing as t

from attrs import frozen

from .schedule_state import Schedule

#: Time to start all accepted tasks above which new jobs are refused. With it, the
#: backlog is worked off before a job that waits although there is room counts as lost.
MAX_START_DELAY = dt.timedelta(seconds=8)
#: How long a full window of starts shows that it limits the starts. A round that sends
#: the tasks of one job fills it for less.
LIMITED_TIME = dt.timedelta(seconds=1)
#: Time after which an announced backlog is no longer believed: a few announcements.
BACKLOG_LIFETIME = dt.timedelta(seconds=2)
#: Bounds of the time after which a refused client is asked to come back.
MIN_RETRY_AFTER = dt.timedelta(seconds=1)
MAX_RETRY_AFTER = dt.timedelta(seconds=30)


@frozen
class QueuedStarts:
    """Tasks of one priority that have no run yet.

    :param priority: Priority of their queue; 0 comes first.
    :param delay: How long the scheduler takes to start them and all that goes before.
    """

    priority: int
    delay: dt.timedelta


def find_backlog(schedule: Schedule, now: dt.datetime) -> tuple[QueuedStarts, ...]:
    """Return the backlog by priority; empty unless this entry limits the starts."""
    window = schedule.start_window
    full_for = window.full_for(now)
    rate = window.mean_rate()
    if full_for < LIMITED_TIME or rate <= 0:
        return ()
    counts: collections.Counter[int] = collections.Counter()
    for job in schedule.jobs.values():
        if not job.is_ended:
            counts[job.queue.priority] += sum(
                len(stage.waiting_indexes) for stage in job.stages.values()
            )
    backlog, total = [], 0
    for priority in sorted(counts):
        total += counts[priority]
        backlog.append(QueuedStarts(priority, dt.timedelta(seconds=total / rate)))
    return tuple(backlog)


def find_retry_after(
    backlog: t.Sequence[QueuedStarts],
    age: dt.timedelta,
    priority: int,
) -> dt.timedelta | None:
    """Return when a client may come back; ``None`` if its job can be accepted.

    :param age: Time since the backlog was reported.
    :param priority: Priority of the job's queue.
    """
    if age > BACKLOG_LIFETIME:
        return None
    delays = [row.delay for row in backlog if row.priority <= priority]
    excess = max(delays, default=dt.timedelta()) - MAX_START_DELAY
    if excess <= dt.timedelta():
        return None
    return min(max(excess, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
