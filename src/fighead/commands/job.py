"""Commands of clients that submit and cancel jobs."""

import datetime as dt
import typing as t

from attrs import evolve, field, frozen
from twisted.internet.defer import Deferred

from .. import job_message as m
from ..clock import sleep, with_timeout
from ..codec import from_json, to_json
from ..decisions import admission, outage, task_room
from ..exceptions import (
    RequestError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..job import JobEnding, JobPhase, JobRecord, JobSpec, Queue
from ..job_front_context import JobFrontContext
from ..log import Event, log_event
from ..store import (
    CANCEL_MARK_SUFFIX,
    JOB_ENDINGS_PREFIX,
    JOBS_PREFIX,
    Compare,
    KeyValue,
    Put,
    Range,
    Txn,
    TxnResult,
    put_if_unchanged,
)
from ..tasks.watch import STORE_TIMEOUT

#: Time after which a client is advised to repeat a cancellation if the store is
#: unavailable; the store is probed several times within it.
STORE_RETRY_AFTER = dt.timedelta(seconds=1)
#: Pause before an unanswered write is repeated. A connection reset is reported
#: immediately, so STORE_TIMEOUT alone does not space out the attempts.
WRITE_RETRY_PAUSE = dt.timedelta(milliseconds=100)


@frozen
class Accepted:
    """The command is stored."""


@frozen
class NotAccepted:
    """The command is not stored and never will be.

    :param retry_after: Time after which the client is advised to retry.
    """

    reason: str
    retry_after: dt.timedelta = STORE_RETRY_AFTER


@frozen
class Uncertain:
    """The command may have been stored, or may still be stored later."""

    reason: str


@frozen
class _Refusal:
    """Why a new job can't be done in time.

    :param limit: What is short, ``starts``, ``room`` or ``tasks``.
    :param fields: Figures to log.
    """

    limit: str
    reason: str
    retry_after: dt.timedelta
    fields: dict[str, float] = field(factory=dict)


@frozen
class NoSuchJob:
    """The job is unknown: neither an open nor an ended job has the id."""


async def submit_job(
    context: JobFrontContext,
    queue: Queue,
    job_id: str,
    spec: JobSpec,
    deadline: dt.datetime,
) -> Accepted | NotAccepted | Uncertain:
    """Store a job under the id chosen by the client and notify the scheduler.

    The call is idempotent: an id that is already known, at any entry, is accepted
    without storing the job again.

    :param deadline: When to stop waiting for the store.
    """
    started_at = context.clock.now()
    outcome: Accepted | NotAccepted | Uncertain | None = None
    refusal = _find_refusal(context, queue, spec)
    tasks = task_room.count_tasks(spec)
    if refusal is None and not task_room.reserve(context.task_room, tasks):
        reason = "More tasks are accepted than the scheduler can keep."
        refusal = _Refusal("tasks", reason, admission.MIN_RETRY_AFTER)
    if refusal is not None:
        outcome = await _refuse_unknown_job(context, queue, job_id, refusal, deadline)
        # The job is known, and storing it again changes nothing.
        if outcome is None:
            outcome = await _store_job(context, queue, job_id, spec, deadline)
    else:
        try:
            outcome = await _store_job(context, queue, job_id, spec, deadline)
        finally:
            may_be_stored = not isinstance(outcome, NotAccepted)
            task_room.release(context.task_room, tasks, may_be_stored)
    duration = context.clock.now() - started_at
    context.metrics.count_request(queue.name, type(outcome).__name__.lower(), duration)
    return outcome


def _find_refusal(
    context: JobFrontContext, queue: Queue, spec: JobSpec
) -> _Refusal | None:
    """Return why a new job can't be done in time; ``None`` if it can be accepted."""
    retry_after = context.find_retry_after(queue.priority)
    if retry_after is not None:
        reason = "More tasks are accepted than can be started in time."
        return _Refusal("starts", reason, retry_after)
    found = context.find_room_refusal(queue, spec)
    if found is None:
        return None
    reason = "More work is accepted than there is room for in the job's time."
    fields = {
        "delay_s": round(found.delay.total_seconds(), 1),
        "allowed_s": round(found.allowed.total_seconds(), 1),
    }
    return _Refusal("room", reason, found.retry_after, fields)


async def _refuse_unknown_job(
    context: JobFrontContext,
    queue: Queue,
    job_id: str,
    refusal: _Refusal,
    deadline: dt.datetime,
) -> NotAccepted | None:
    """Refuse a job that is not stored; return ``None`` if it is.

    An earlier request for the same job may have been accepted at another entry.
    """
    reason, retry_after = refusal.reason, refusal.retry_after
    try:
        if await _find_any_record(context, job_id, deadline) is not None:
            return None
    except StoreError as exc:
        reason = exc.message
        store_retry_after = _find_store_retry_after(context, queue, job_id)
        retry_after = max(retry_after, store_retry_after)
    context.metrics.count_refusal(queue.name, refusal.limit)
    log_event(
        Event.JOB_REFUSED,
        job=job_id,
        queue=queue.name,
        reason=reason,
        limit=refusal.limit,
        priority=queue.priority,
        retry_after_s=round(retry_after.total_seconds(), 1),
        **refusal.fields,
    )
    return NotAccepted(reason, retry_after)


async def _find_any_record(
    context: JobFrontContext, job_id: str, deadline: dt.datetime
) -> KeyValue | None:
    record = await _read_key(context, JOBS_PREFIX + job_id, deadline)
    return record or await _read_key(context, JOB_ENDINGS_PREFIX + job_id, deadline)


async def _store_job(
    context: JobFrontContext,
    queue: Queue,
    job_id: str,
    spec: JobSpec,
    deadline: dt.datetime,
) -> Accepted | NotAccepted | Uncertain:
    accepted_ms = int(context.clock.wall_now().timestamp() * 1000)
    version = context.config.version if context.config is not None else 0
    leader = context.view.leader
    record = JobRecord(
        job_id,
        queue.name,
        queue.upstream,
        spec,
        accepted_ms,
        queue,
        version,
        leader.term if leader is not None else 0,
    )
    txn = Txn(
        (Compare(JOBS_PREFIX + job_id, 0), Compare(JOB_ENDINGS_PREFIX + job_id, 0)),
        (Put(JOBS_PREFIX + job_id, to_json(record)),),
    )
    is_certain, reason = True, "The client waits no longer."
    while context.clock.now() < deadline:
        try:
            result: TxnResult = await _call_store(context, txn, deadline)
            await _note_submission(context, queue, result, deadline)
        except StoreOutcomeUnknownError as exc:
            is_certain, reason = False, exc.message
            await sleep(context.clock, WRITE_RETRY_PAUSE)
            continue
        except StoreError as exc:
            reason = exc.message
            break
        if result.succeeded:
            context.send(m.JobTold(record, result.revision))
        log_event(
            Event.JOB_ACCEPTED, job=job_id, queue=queue.name, is_new=result.succeeded
        )
        return Accepted()
    if is_certain:
        log_event(Event.JOB_REFUSED, job=job_id, queue=queue.name, reason=reason)
        return NotAccepted(reason, _find_store_retry_after(context, queue, job_id))
    log_event(Event.JOB_UNCERTAIN, job=job_id, queue=queue.name, reason=reason)
    return Uncertain(reason)


def _find_store_retry_after(
    context: JobFrontContext, queue: Queue, job_id: str
) -> dt.timedelta:
    """Return when a client may come back whose job the store did not take."""
    return outage.find_retry_after(context.find_outage(), job_id, queue.priority)


async def _note_submission(
    context: JobFrontContext, queue: Queue, result: TxnResult, deadline: dt.datetime
) -> None:
    """Note that a client has submitted a job, if it was cancelled before.

    The job is then shown as cancelled.
    """
    for kv in () if result.succeeded else result.kvs:
        ending = _read_ending(kv)
        if ending is not None and not ending.is_known:
            known = to_json(evolve(ending, queue=queue.name, is_known=True))
            txn = put_if_unchanged(kv.key, known, kv.mod_revision)
            await _call_store(context, txn, deadline)


def _read_ending(kv: KeyValue) -> JobEnding | None:
    """Return the stored ending of a job; ``None`` if it is none or can't be read."""
    if not (kv.mod_revision and kv.key.startswith(JOB_ENDINGS_PREFIX)):
        return None
    try:
        return from_json(kv.value, JobEnding)
    except RequestError as exc:
        log_event(Event.RECORD_UNREADABLE, key=kv.key, reason=exc.message)
        return None


async def cancel_job(
    context: JobFrontContext, job_id: str, deadline: dt.datetime
) -> Accepted | NoSuchJob | NotAccepted | Uncertain:
    """Mark a job as cancelled and notify the scheduler, which stops its runs.

    A job that has already ended stays unchanged and is reported as accepted. One that
    is unknown gets an ending, since the store may be about to write it.

    :param deadline: When to stop waiting for the store.
    """
    is_certain, reason = True, ""
    while context.clock.now() < deadline:
        try:
            record = await _read_key(context, JOBS_PREFIX + job_id, deadline)
            if record is None:
                outcome = await _cancel_unknown_job(context, job_id, deadline)
                if outcome is not None:
                    return outcome
                continue
            txn = Txn(
                (Compare(JOBS_PREFIX + job_id, record.mod_revision),),
                (Put(JOBS_PREFIX + job_id + CANCEL_MARK_SUFFIX, "{}"),),
            )
            result: TxnResult = await _call_store(context, txn, deadline)
        except StoreOutcomeUnknownError as exc:
            is_certain, reason = False, exc.message
            await sleep(context.clock, WRITE_RETRY_PAUSE)
            continue
        except StoreError as exc:
            reason = exc.message
            break
        if result.succeeded:
            log_event(Event.JOB_CANCELLING, job=job_id, is_known=True)
            context.send(m.CancelTold(job_id))
            return Accepted()
    return NotAccepted(reason) if is_certain else Uncertain(reason)


async def _cancel_unknown_job(
    context: JobFrontContext, job_id: str, deadline: dt.datetime
) -> Accepted | NoSuchJob | None:
    """Prevent that a job without a record is stored later.

    :return: ``None`` if it has been stored in the meantime.
    """
    key = JOB_ENDINGS_PREFIX + job_id
    kv = await _read_key(context, key, deadline)
    if kv is not None:
        ending = _read_ending(kv)
        return Accepted() if ending is None or ending.is_known else NoSuchJob()
    # Stamped like the end of any job, with the later of both clocks.
    ended_at = max(context.clock.now(), context.clock.wall_now())
    ending = JobEnding(
        JobPhase.CANCELLED, "", int(ended_at.timestamp() * 1000), is_known=False
    )
    txn = Txn(
        (Compare(JOBS_PREFIX + job_id, 0), Compare(key, 0)),
        (Put(key, to_json(ending)),),
    )
    result: TxnResult = await _call_store(context, txn, deadline)
    if not result.succeeded:
        return None
    log_event(Event.JOB_CANCELLING, job=job_id, is_known=False)
    return NoSuchJob()


async def _read_key(
    context: JobFrontContext, key: str, deadline: dt.datetime
) -> KeyValue | None:
    result = await _call_store(context, Range(key), deadline)
    return next(iter(result.kvs), None)


async def _call_store(
    context: JobFrontContext, req: Txn | Range, deadline: dt.datetime
) -> t.Any:
    """Call the store, and give up at the deadline.

    The call may go to a peer as well, so it can take longer than its time-out.
    """
    time_left = max(deadline - context.clock.now(), dt.timedelta())
    call = context.store.call(req, min(STORE_TIMEOUT, time_left))
    try:
        return await with_timeout(
            context.clock, Deferred.fromCoroutine(call), time_left
        )
    except TimeoutError as exc:
        if isinstance(req, Txn):
            raise StoreOutcomeUnknownError(
                "The client waits no longer, and the write was sent.",
                "Ask for the job, or repeat the request.",
            ) from exc
        raise StoreUnavailableError(
            "The store has not answered before the client's deadline.",
            "Retry at another entry, or after a second.",
        ) from exc
