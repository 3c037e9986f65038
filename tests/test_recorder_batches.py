"""Requests to the recorder that take several transactions."""

import datetime as dt

import pytest
from structlog.testing import capture_logs
from twisted.internet.task import Clock

from fighead.clock import ReactorClock
from fighead.job import JobEnding, JobPhase, JobProgress, JobSpec, Stage, StageProgress
from fighead.mailbox import spawn
from fighead.store import (
    JOB_ENDINGS_PREFIX,
    JOB_LEADER_KEY,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    KeyValue,
    Put,
)
from fighead.tasks.recorder import (
    MAX_CONCURRENT_TXNS,
    JobWrite,
    LeadershipLost,
    RecorderTask,
    RecordJobs,
)
from job_cluster import START_TIME, STEP_S, JobCluster
from memory_store import MemoryStore

ENDINGS = 80
CALL_TIME = dt.timedelta(milliseconds=300)
END_SEQUENCES = {"i1/1": 7}
PROGRESS = JobProgress((StageProgress(0, 0, "1"),))
ENDING = JobEnding(JobPhase.COMPLETED, "plans", 1, "")
SHORT_JOB = JobSpec("s", (Stage(count=1, cpu=100, memory_mb=1, estimate_ms=300),))


def job_id(number):
    return f"{number:016x}"


class Recording:
    """A recorder at a slow store, with the time of each of its reports."""

    def __init__(self):
        self.reactor = Clock()
        clock = ReactorClock(self.reactor, START_TIME)
        self.store = MemoryStore(clock, delay=CALL_TIME)
        self.store.items[JOB_LEADER_KEY] = KeyValue(JOB_LEADER_KEY, "", 1, 1)
        self.reports = []
        self.recorder = RecorderTask(self.store, clock, self.add_report)
        spawn(self.recorder.run())

    def add_report(self, report):
        self.reports.append((self.reactor.seconds(), report))

    def request_endings(self, *others):
        writes = [JobWrite(job_id(n), 1, 0, ENDING) for n in range(ENDINGS)]
        for write in writes:
            key = JOBS_PREFIX + write.job_id
            self.store.items[key] = KeyValue(key, "", 1, 1)
        request = RecordJobs(1, (*others, *writes), END_SEQUENCES)
        self.recorder.mailbox.offer(request)
        return request

    def advance(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.reactor.advance(0.01)


@pytest.fixture
def recording():
    return Recording()


def test_endings_are_reported_when_they_are_written_not_after_the_last(recording):
    request = recording.request_endings()
    recording.advance(0.35)
    assert len(recording.reports) == MAX_CONCURRENT_TXNS
    reported = set()
    for at, report in recording.reports:
        assert at == pytest.approx(0.3, abs=0.02)
        assert report.writes
        reported |= {JOB_ENDINGS_PREFIX + write.job_id for write in report.writes}
    # Those of the transactions under way are stored only with their answers.
    stored = {k for k in recording.store.items if k.startswith(JOB_ENDINGS_PREFIX)}
    assert reported == stored
    recording.advance(10)
    written = [write for _, report in recording.reports for write in report.writes]
    assert sorted(w.job_id for w in written) == [w.job_id for w in request.writes]


def test_only_the_report_of_the_last_write_carries_end_sequences(recording):
    request = recording.request_endings()
    for _ in range(1000):
        recording.advance(0.01)
        stored = [
            JOB_ENDINGS_PREFIX + write.job_id in recording.store.items
            for write in request.writes
        ]
        carried = [r.end_sequences for _, r in recording.reports if r.end_sequences]
        assert carried in ([], [END_SEQUENCES])
        assert not carried or all(stored)
    assert carried


def test_endings_are_written_before_progress(recording):
    progress = [JobWrite(f"p{number}", 1, 0, PROGRESS) for number in range(40)]
    recording.request_endings(*progress)
    recording.advance(10)
    # 16 transactions of endings and 3 of progress.
    kinds = [type(report.writes[0].value) for _, report in recording.reports]
    assert kinds == [JobEnding] * 16 + [JobProgress] * 3
    for write in progress:
        assert JOB_PROGRESS_PREFIX + write.job_id in recording.store.items


def test_a_term_that_ends_during_a_request_reports_no_end_sequences(recording):
    recording.request_endings()
    recording.advance(1)
    recording.store.put(JOB_LEADER_KEY, "another")
    recording.advance(10)
    *written, last = [report for _, report in recording.reports]
    assert isinstance(last, LeadershipLost)
    assert not any(report.end_sequences for report in written)


def test_finished_jobs_are_not_shown_as_running_until_all_are_stored():
    cluster = JobCluster()
    for number in range(60):
        cluster.submit(job_id(number), SHORT_JOB)
    cluster.advance(0.2)
    cluster.store.delay = dt.timedelta(milliseconds=100)
    call, endings_by_txn = cluster.store.call, []

    def count_endings(req, timeout):
        puts = [c for c in getattr(req, "success", ()) if isinstance(c, Put)]
        endings = sum(put.key.startswith(JOB_ENDINGS_PREFIX) for put in puts)
        endings_by_txn.append(endings)
        return call(req, timeout)

    with capture_logs() as logs, pytest.MonkeyPatch.context() as patch:
        patch.setattr(MemoryStore, "call", lambda _, *args: count_endings(*args))
        times, acknowledged = {}, set()
        for step in range(200):
            cluster.advance(0.02)
            for log in logs:
                if log["event_name"] == "job_recorded":
                    times.setdefault(log["job"], step)
            for event in cluster.history:
                if event.event == "acknowledged done":
                    acknowledged.add(event.task.job_id)
                    key = JOB_ENDINGS_PREFIX + event.task.job_id
                    assert key in cluster.store.items
    assert len(times) == len(acknowledged) == 60
    # No transaction holds more than five endings, and few are under way at once.
    assert max(endings_by_txn) <= 5
    most = max(list(times.values()).count(step) for step in times.values())
    assert most <= 5 * MAX_CONCURRENT_TXNS < len(times)
    assert not cluster.find_breaches()


def test_an_ending_waits_for_one_write_at_most():
    cluster = JobCluster()
    cluster.advance(5)
    cluster.store.delay = dt.timedelta(milliseconds=40)
    ended, recorded = {}, {}
    with capture_logs() as logs:
        for step in range(250):
            if step < 100:
                cluster.submit(job_id(step), SHORT_JOB)
            cluster.advance(STEP_S)
            for log in logs:
                if log["event_name"] == "job_ended":
                    ended.setdefault(log["job"], step)
                if log["event_name"] == "job_recorded":
                    recorded.setdefault(log["job"], step)
    delays = sorted(recorded[job] - ended[job] for job in ended)
    assert len(delays) == 100
    # In steps of 20 ms: the write under way, a round of placement, and its own write.
    assert delays[-1] <= 3 + 1 + 3
    assert not cluster.find_breaches()


def test_a_request_that_loses_the_leadership_midway_says_so_once(recording):
    recording.request_endings()
    recording.advance(0.35)
    recording.store.put(JOB_LEADER_KEY, "another")
    recording.advance(3)
    lost = [r for _, r in recording.reports if isinstance(r, LeadershipLost)]
    assert len(lost) == 1 and recording.reports[-1][1] is lost[0]
