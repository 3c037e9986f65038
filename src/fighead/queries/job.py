"""Queries of clients about jobs."""

from ..codec import from_json
from ..exceptions import PeerUnreachableError, RequestError
from ..job import JobEnding, JobPhase, JobProgress
from ..job_front_context import JobFrontContext
from ..job_message import CountPending, FindPhase, PendingIs, PhaseIs
from ..log import Event, log_event
from ..store import (
    JOB_ENDINGS_PREFIX,
    JOB_PROGRESS_PREFIX,
    JOBS_PREFIX,
    KeyValue,
    Range,
)
from ..tasks.watch import STORE_TIMEOUT


async def find_phase(context: JobFrontContext, job_id: str) -> JobPhase | None:
    """Return the phase of a job; ``None`` if there is no such job.

    The scheduler has the latest phase. If it is unreachable or does not know the
    job, the phase is derived from the store.

    :raises StoreError: If the store can't be reached either.
    """
    try:
        answer = await context.ask(FindPhase(job_id))
        if isinstance(answer, PhaseIs) and answer.phase is not None:
            return answer.phase
    except PeerUnreachableError:
        pass
    return await _read_phase(context, job_id)


async def _read_phase(context: JobFrontContext, job_id: str) -> JobPhase | None:
    # A job that ends gets an ending in place of its record. Reading the record
    # first finds a job that ends between the two reads.
    record = await context.store.call(Range(JOBS_PREFIX + job_id), STORE_TIMEOUT)
    if record.kvs:
        progress = await context.store.call(
            Range(JOB_PROGRESS_PREFIX + job_id), STORE_TIMEOUT
        )
        has_started = any(_has_started(kv) for kv in progress.kvs)
        return JobPhase.RUNNING if has_started else JobPhase.QUEUED
    ending = await context.store.call(Range(JOB_ENDINGS_PREFIX + job_id), STORE_TIMEOUT)
    if not ending.kvs:
        return None
    found = from_json(ending.kvs[0].value, JobEnding)
    return found.phase if found.is_known else None


def _has_started(progress: KeyValue) -> bool:
    try:
        return from_json(progress.value, JobProgress).has_started
    except RequestError as exc:
        log_event(Event.RECORD_UNREADABLE, key=progress.key, reason=exc.message)
        return True


async def count_pending(context: JobFrontContext, queue: str) -> int | None:
    """Return the number of jobs of a queue that have not started.

    :return: ``None`` if the scheduler can't tell yet.
    :raises PeerUnreachableError: If the scheduler gave no answer.
    """
    answer = await context.ask(CountPending(queue))
    return answer.count if isinstance(answer, PendingIs) else None
