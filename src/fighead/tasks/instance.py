"""The task that owns one upstream instance and the connections to it."""

import datetime as dt
import typing as t

import treq
from attrs import define, evolve, field
from twisted.internet import defer
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed

from .. import message as m
from ..clock import Clock, sleep, with_timeout
from ..codec import from_json, to_json
from ..decisions import instance as instance_decisions
from ..decisions import instance_state
from ..decisions.instance import InstanceOwnerState
from ..exceptions import WorkerRefusedError, WorkerUnreachableError
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..metric import Metrics
from ..model import InstanceReport
from ..worker import (
    CHECK_PATH,
    CONTROL_PATH,
    FENCE_PATH,
    POLL_PATH,
    REASON_FAILED,
    REASON_STALE_EPOCH,
    START_PATH,
    CheckAnswer,
    ControlOrder,
    FenceOrder,
    PollOrder,
    Refusal,
    TaskOrder,
)
from .call import Call

#: Maximum time for which an instance may delay its answer to a poll.
POLL_WAIT = dt.timedelta(seconds=2)
#: Timeout of a call, in addition to the wait that it asks for.
CALL_TIMEOUT = dt.timedelta(seconds=2)
#: Pause before a failed poll or fence call is retried.
RETRY_PAUSE = dt.timedelta(milliseconds=300)
TICK_INTERVAL = dt.timedelta(milliseconds=250)
CONNECT_TIMEOUT_S = 1.0


@define(eq=False)
class InstanceTask:
    """Owns one instance: its state, its mailbox and its connections.

    :param send_to_line: Sends a message to the holder of the upstream's line.
    :param on_superseded: Called with the instance's name and this owner's epoch, at
        most once, when the instance turns out to have seen a higher epoch.
    :param is_superseded: Whether this owner has lost its claim and must stop polling.
    """

    state: InstanceOwnerState
    clock: Clock
    reactor: t.Any
    metrics: Metrics
    send_to_line: t.Callable[[t.Any], None]
    on_superseded: t.Callable[[str, int], None]
    mailbox: Mailbox[t.Any] = field(init=False)
    is_superseded: bool = False
    _check_replies: dict[str, Deferred[t.Any]] = field(factory=dict)
    _recorded_task_ids: list[str] = field(factory=list)
    _children: list[Deferred] = field(factory=list)
    _client: treq.client.HTTPClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.mailbox = Mailbox(f"instance {self.state.instance.name}")
        pool = HTTPConnectionPool(self.reactor)
        pool.maxPersistentPerHost = self.state.instance.connections
        # With automatic retries, a start could be sent twice without notice.
        pool.retryAutomatically = False
        agent = Agent(self.reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)

    async def run(self) -> None:
        """Fence and poll the instance, and handle messages until cancelled."""
        self._children = [spawn(self._fence_and_poll()), spawn(self._send_ticks())]
        try:
            await process_messages(self.mailbox, self._handle, self.mailbox.name)
        finally:
            for child in self._children:
                child.cancel()
            self._answer_all_checks("The owner stopped.")

    def _handle(self, msg: t.Any) -> None:
        if isinstance(msg, Call):
            offer = t.cast(m.OfferCheck, msg.message)
            self._check_replies[offer.request.request_id] = msg.reply
            msg = offer
        was_quarantined = self.state.health.is_quarantined
        step = instance_decisions.decide(self.state, msg, self.clock.now())
        self.state = step.state
        self._log_quarantine(was_quarantined)
        for effect in step.effects:
            self._execute_effect(effect)

    def _log_quarantine(self, was_active: bool) -> None:
        is_active = self.state.health.is_quarantined
        if is_active != was_active:
            event = Event.INSTANCE_QUARANTINED if is_active else Event.INSTANCE_RELEASED
            log_event(event, instance=self.state.instance.name)

    def _execute_effect(self, effect: t.Any) -> None:
        match effect:
            case instance_state.RunCheck(request, lease_until):
                spawn(self._run_check(request, lease_until))
            case instance_state.RunTask():
                spawn(self._start_task(effect))
            case instance_state.ControlTask():
                spawn(self._control_task(effect))
            case instance_state.AnswerCheck(request_id, outcome):
                self._answer_check(request_id, outcome)
            case instance_state.ListTasks():
                spawn(self._list_tasks())
            case instance_state.ConfirmRecorded(task_id):
                self._recorded_task_ids.append(task_id)
            case _:
                self.send_to_line(effect)

    def _answer_check(self, request_id: str, outcome: m.CheckOutcome) -> None:
        reply = self._check_replies.pop(request_id, None)
        if reply is not None and not reply.called:
            reply.callback(outcome)

    def _answer_all_checks(self, reason: str) -> None:
        for request_id in list(self._check_replies):
            self._answer_check(request_id, m.Unknown(reason))

    async def _run_check(
        self, request: m.CheckRequest, lease_until: dt.timedelta
    ) -> None:
        sent_at = self.clock.now()
        state = self.state
        order = TaskOrder(
            state.epoch,
            state.boot,
            request.request_id,
            request.kind,
            request.body,
            request.cores,
            request.memory_bytes,
            dt.timedelta(),
            lease_until=lease_until,
        )
        kind = state.kinds.get(request.kind)
        if kind is not None:
            order = _with_run_time(order, kind.run_time)
        timeout = max(request.deadline - sent_at, dt.timedelta(milliseconds=1))
        certain, failed = True, False
        outcome: m.CheckOutcome
        try:
            answer = await self._post(CHECK_PATH, order, CheckAnswer, timeout)
            outcome = m.Answered(answer.answer, state.instance.name)
        except WorkerRefusedError as exc:
            failed = exc.reason == REASON_FAILED
            self._handle_refusal(exc)
            outcome = m.NotRun(f"The instance refused: {exc.reason}.")
            if failed:
                outcome = m.Unknown("The instance failed the check.")
        except WorkerUnreachableError:
            certain = False
            outcome = m.Unknown("The instance gave no answer in time.")
        took = self.clock.now() - sent_at
        ended = m.CheckEnded(request.request_id, outcome, took, certain, failed)
        await self.mailbox.put(ended)

    async def _start_task(self, effect: instance_state.RunTask) -> None:
        record, kind = effect.record, effect.kind
        order = TaskOrder(
            self.state.epoch,
            self.state.boot,
            record.task_id,
            record.kind,
            record.body,
            kind.cores,
            kind.memory_bytes,
            kind.run_time,
            record.checkpoint,
            effect.lease_until,
        )
        started: bool | None = True
        reason = ""
        try:
            await self._post(START_PATH, order, None, CALL_TIMEOUT)
        except WorkerRefusedError as exc:
            self._handle_refusal(exc)
            started, reason = False, f"The instance refused: {exc.reason}."
        except WorkerUnreachableError:
            started = None
        await self.mailbox.put(m.StartEnded(record.task_id, started, reason))

    async def _control_task(self, effect: instance_state.ControlTask) -> None:
        order = ControlOrder(
            self.state.epoch, effect.task_id, effect.speed, effect.evict
        )
        if effect.evict:
            self.metrics.count_eviction(self.state.instance.upstream)
            log_event(Event.TASK_EVICTED, task=effect.task_id)
        try:
            await self._post(CONTROL_PATH, order, None, CALL_TIMEOUT)
        except WorkerRefusedError as exc:
            self._handle_refusal(exc)
        except WorkerUnreachableError:
            # A later order or the expiry of the task's lease makes up for this one.
            return

    async def _list_tasks(self) -> None:
        await self._poll(dt.timedelta())

    async def _fence_and_poll(self) -> None:
        while not self.is_superseded:
            if self.state.stage is instance_state.OwnershipStage.FENCING:
                succeeded = await self._fence()
            else:
                succeeded = await self._poll(POLL_WAIT)
            if not succeeded:
                await sleep(self.clock, RETRY_PAUSE)

    async def _fence(self) -> bool:
        return await self._request_report(
            FENCE_PATH, FenceOrder(self.state.epoch), CALL_TIMEOUT
        )

    async def _poll(self, wait: dt.timedelta) -> bool:
        recorded, self._recorded_task_ids = self._recorded_task_ids, []
        ended = tuple(
            task.task_id
            for task in self.state.tasks.values()
            if task.phase is instance_state.TaskPhase.ENDED
        )
        order = PollOrder(
            self.state.epoch,
            self.state.clock_at_report + instance_state.TASK_LEASE,
            tuple(recorded),
            ended,
            wait,
        )
        succeeded = await self._request_report(POLL_PATH, order, wait + CALL_TIMEOUT)
        if not succeeded:
            self._recorded_task_ids = recorded + self._recorded_task_ids
        return succeeded

    async def _request_report(
        self, path: str, order: t.Any, timeout: dt.timedelta
    ) -> bool:
        asked_at = self.clock.now()
        try:
            report = await self._post(path, order, InstanceReport, timeout)
        except WorkerRefusedError as exc:
            self._handle_refusal(exc)
            return False
        except WorkerUnreachableError as exc:
            await self.mailbox.put(m.PollFailed(exc.message))
            return False
        await self.mailbox.put(m.ReportReceived(report, asked_at))
        return True

    async def _send_ticks(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            await self.mailbox.put(m.Tick())

    def has_calls_in_flight(self) -> bool:
        """Whether a check or the start of a task awaits the instance's answer."""
        starting = instance_state.TaskPhase.STARTING
        tasks = self.state.tasks.values()
        return bool(self._check_replies) or any(
            task.phase is starting for task in tasks
        )

    def _handle_refusal(self, exc: WorkerRefusedError) -> None:
        """Stop polling and report the higher epoch if the order had a stale one."""
        if exc.reason != REASON_STALE_EPOCH or self.is_superseded:
            return
        self.is_superseded = True
        name, epoch = self.state.instance.name, self.state.epoch
        log_event(Event.CLAIM_SUPERSEDED, instance=name, epoch=epoch)
        self.on_superseded(name, epoch)

    async def _post(
        self, path: str, order: t.Any, answer_type: type | None, timeout: dt.timedelta
    ) -> t.Any:
        url = self.state.instance.address + path
        deferred = defer.ensureDeferred(self._exchange(url, order))
        try:
            status, content = await with_timeout(self.clock, deferred, timeout)
        except (ConnectError, ResponseFailed, TimeoutError) as exc:
            raise WorkerUnreachableError(
                f"Instance {self.state.instance.name} did not answer a call"
                f" ({type(exc).__name__}).",
                "Check that the instance is running at its declared address.",
            ) from exc
        if status >= 400:
            refusal = from_json(content, Refusal)
            raise WorkerRefusedError(
                f"Instance {self.state.instance.name} refused a call:"
                f" {refusal.reason}.",
                "No action is needed; the entry handles the refusal.",
                refusal.reason,
            )
        return None if answer_type is None else from_json(content, answer_type)

    async def _exchange(self, url: str, order: t.Any) -> tuple[int, bytes]:
        headers = {"Content-Type": ["application/json"]}
        response = await self._client.post(
            url, data=to_json(order).encode(), headers=headers
        )
        return response.code, await response.content()


def _with_run_time(order: TaskOrder, run_time: dt.timedelta) -> TaskOrder:
    return evolve(order, run_time=run_time)
