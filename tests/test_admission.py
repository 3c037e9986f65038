"""Refusal of jobs that the scheduler can't start in time."""

import datetime as dt

import pytest
from attrs import define, evolve
from structlog.testing import capture_logs

from fighead.codec import from_json, from_wire, to_wire
from fighead.commands.job import Accepted, NotAccepted
from fighead.decisions import admission, start_window
from fighead.decisions.admission import (
    BACKLOG_LIFETIME,
    LIMITED_TIME,
    MAX_RETRY_AFTER,
    MAX_START_DELAY,
    QueuedStarts,
    find_backlog,
    find_retry_after,
)
from fighead.decisions.start_window import StartWindow
from fighead.exceptions import MailboxFullError
from fighead.job import JobRecord, JobSpec, Stage
from fighead.job_message import JOB_MESSAGES, JobTold, LeaderIs
from fighead.store import JOBS_PREFIX
from job_builders import add_job, at_seconds, make_schedule
from job_cluster import JobCluster

NOW = dt.timedelta()
JOB = JobSpec("x", (Stage(count=2, cpu=1000, memory_mb=1, estimate_ms=300),))
LONG_DELAY = MAX_START_DELAY + dt.timedelta(seconds=5)


def job_id(number):
    return f"{number:016x}"


def make_limited_schedule(rate, seconds=3.0):
    """Return a schedule whose window has been full, at ``rate`` answers a second."""
    schedule = make_schedule()
    window = schedule.start_window = StartWindow(limit=8)
    number = 0
    for step in range(round(seconds * 10)):
        at = at_seconds(step / 10)
        for _ in range(round(rate / 10)):
            number += 1
            start_window.note_start(window, (job_id(number), 1), at)
            start_window.note_answer(window, (job_id(number), 1), at)
        window.was_full = True
        start_window.adjust(window, at)
    return schedule


def test_a_backlog_is_what_has_no_run_yet_divided_by_the_rate_of_starts():
    schedule = make_limited_schedule(rate=50)
    add_job(schedule, Stage(count=100), Stage(count=50, after=(0,)), job_id=job_id(1))
    ((priority, delay),) = [
        (row.priority, row.delay) for row in find_backlog(schedule, at_seconds(3))
    ]
    assert priority == schedule.config.queues[0].priority
    assert delay == pytest.approx(dt.timedelta(seconds=3), rel=0.2)


def test_urgent_jobs_wait_only_for_what_is_as_urgent():
    schedule = make_limited_schedule(rate=50)
    urgent = add_job(schedule, Stage(count=10), job_id=job_id(1))
    urgent.queue = evolve(urgent.queue, priority=0)
    add_job(schedule, Stage(count=1000), job_id=job_id(2))
    backlog = find_backlog(schedule, at_seconds(3))
    assert find_retry_after(backlog, NOW, 0) is None
    assert find_retry_after(backlog, NOW, 2) is not None


@pytest.mark.parametrize("seconds", [0.0, 0.5])
def test_no_backlog_is_reported_unless_starts_are_limited_for_a_while(seconds):
    schedule = make_limited_schedule(50, seconds)
    add_job(schedule, Stage(count=100_000), job_id=job_id(1))
    assert dt.timedelta(seconds=seconds) < LIMITED_TIME
    assert not find_backlog(schedule, at_seconds(seconds))


def test_tasks_that_wait_for_room_are_no_backlog():
    schedule = make_limited_schedule(rate=50)
    add_job(schedule, Stage(count=100_000), job_id=job_id(1))
    for step in range(30, 42):
        start_window.adjust(schedule.start_window, at_seconds(step / 10))
    assert not find_backlog(schedule, at_seconds(4.2))


def test_ended_jobs_and_running_tasks_are_no_backlog():
    schedule = make_limited_schedule(rate=50)
    ended = add_job(schedule, Stage(count=1000), job_id=job_id(1))
    for stage in ended.stages.values():
        stage.waiting_indexes.clear()
    (row,) = find_backlog(schedule, at_seconds(3))
    assert row.delay == dt.timedelta()


def test_clients_are_told_to_come_back_when_the_backlog_is_worked_off():
    backlog = (QueuedStarts(2, LONG_DELAY),)
    assert find_retry_after(backlog, NOW, 2) == dt.timedelta(seconds=5)
    endless = (QueuedStarts(2, dt.timedelta(hours=1)),)
    assert find_retry_after(endless, NOW, 2) == MAX_RETRY_AFTER
    assert find_retry_after((QueuedStarts(2, MAX_START_DELAY),), NOW, 2) is None


def test_an_old_report_of_a_backlog_refuses_nobody():
    backlog = (QueuedStarts(0, LONG_DELAY),)
    assert find_retry_after(backlog, BACKLOG_LIFETIME, 2) is not None
    age = BACKLOG_LIFETIME + dt.timedelta(milliseconds=1)
    assert find_retry_after(backlog, age, 2) is None


def test_an_announcement_carries_the_backlog_and_may_lack_it():
    backlog = (QueuedStarts(2, LONG_DELAY),)
    sent = LeaderIs("e1", None, 3, True, backlog)
    assert from_wire(to_wire(sent), JOB_MESSAGES) == sent
    assert from_wire(to_wire(LeaderIs("e1", None, 3)), JOB_MESSAGES).backlog == ()


@pytest.fixture
def overloaded(monkeypatch):
    """A cluster whose scheduler reports a backlog, and a function that ends it."""
    backlog = [QueuedStarts(0, LONG_DELAY)]
    monkeypatch.setattr(admission, "find_backlog", lambda *_: tuple(backlog))
    cluster = JobCluster()
    cluster.advance(4)
    return cluster, backlog.clear


def outcome_of(cluster, entry, spec=JOB, number=1):
    outcomes = cluster.submit(job_id(number), spec, entry=entry)
    cluster.advance(0.1)
    return outcomes


@pytest.mark.parametrize("entry", ["e1", "e2", "e3"])
def test_a_job_is_refused_at_every_entry_and_never_runs(overloaded, entry):
    cluster, end_overload = overloaded
    results = outcome_of(cluster, entry)
    assert [type(result) for result in results] == [NotAccepted]
    assert results[0].retry_after == dt.timedelta(seconds=5)
    assert JOBS_PREFIX + job_id(1) not in cluster.store.items
    end_overload()
    cluster.advance(5)
    assert not cluster.history


def test_a_job_that_is_stored_is_accepted_again(overloaded):
    cluster, end_overload = overloaded
    end_overload()
    cluster.advance(1)
    assert [type(r) for r in outcome_of(cluster, "e1")] == [Accepted]
    with pytest.MonkeyPatch.context() as patch:
        backlog = (QueuedStarts(0, LONG_DELAY),)
        patch.setattr(admission, "find_backlog", lambda *_: backlog)
        cluster.advance(1)
        assert [type(r) for r in outcome_of(cluster, "e2")] == [Accepted]
        cluster.advance(3)
        # It has ended by now, and is still known.
        assert [type(r) for r in outcome_of(cluster, "e3")] == [Accepted]
    assert not cluster.find_breaches()


def test_a_job_is_refused_while_nobody_can_tell_whether_it_is_stored(overloaded):
    cluster, _ = overloaded
    cluster.store.is_unavailable = True
    results = outcome_of(cluster, "e1")
    assert [type(result) for result in results] == [NotAccepted]


@define
class FullMailbox:
    """A mailbox that has no room for notices of jobs."""

    mailbox: object

    def __len__(self):
        return len(self.mailbox)

    def offer(self, msg):
        if isinstance(msg, JobTold):
            raise MailboxFullError("The mailbox is full.", "Retry.")
        self.mailbox.offer(msg)


def test_a_stored_job_is_accepted_though_the_scheduler_can_take_no_notice():
    cluster = JobCluster()
    cluster.advance(4)
    leader = cluster.entries[cluster.leader()].entry
    mailbox = leader.scheduler.mailbox
    leader.scheduler.mailbox = FullMailbox(mailbox)
    with capture_logs() as logs:
        results = outcome_of(cluster, cluster.leader())
        outcome_of(cluster, next(iter(cluster.entries.keys() - {cluster.leader()})))
        stored = cluster.store.items[JOBS_PREFIX + job_id(1)]
        record = from_json(stored.value, JobRecord)
        leader._handle_peer_message("e9", JobTold(record, stored.mod_revision))
    assert [type(result) for result in results] == [Accepted]
    dropped = [log for log in logs if log["event_name"] == "notice_dropped"]
    assert len(dropped) == 2
    leader.scheduler.mailbox = mailbox
    cluster.advance(4)
    starts = [event for event in cluster.history if event.event == "started"]
    assert len(starts) == 2
