"""Queries of clients on jobs."""

from ..codec import from_json
from ..exceptions import PeerUnreachableError
from ..job import JobEnding, JobPhase
from ..job_desk import JobDesk
from ..job_message import CountPending, FindPhase, PendingIs, PhaseIs
from ..store import JOB_ENDINGS, JOB_PROGRESS, JOBS, Range
from ..tasks.watch import STORE_TIMEOUT


async def find_phase(desk: JobDesk, job_id: str) -> JobPhase | None:
    """Return the state of a job; ``None`` if there is no such job.

    The scheduler knows best; without it, the store tells what was recorded.

    :raises StoreError: If neither could be asked.
    """
    try:
        answer = await desk.ask(FindPhase(job_id))
        if isinstance(answer, PhaseIs) and answer.phase is not None:
            return answer.phase
    except PeerUnreachableError:
        pass
    return await _read_phase(desk, job_id)


async def _read_phase(desk: JobDesk, job_id: str) -> JobPhase | None:
    # A job moves from its record to its ending, so the record is read first.
    record = await desk.store.call(Range(JOBS + job_id), STORE_TIMEOUT)
    if record.kvs:
        progress = await desk.store.call(Range(JOB_PROGRESS + job_id), STORE_TIMEOUT)
        return JobPhase.RUNNING if progress.kvs else JobPhase.QUEUED
    ending = await desk.store.call(Range(JOB_ENDINGS + job_id), STORE_TIMEOUT)
    if not ending.kvs:
        return None
    return from_json(ending.kvs[0].value, JobEnding).phase


async def count_pending(desk: JobDesk, queue: str) -> int | None:
    """Return how many jobs of a queue have not begun; ``None`` if unknown.

    :raises PeerUnreachableError: If the scheduler gave no answer.
    """
    answer = await desk.ask(CountPending(queue))
    return answer.count if isinstance(answer, PendingIs) else None
