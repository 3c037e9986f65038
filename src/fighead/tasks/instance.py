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
from ..decisions import instance as deciding
from ..decisions import instance_state as states
from ..decisions.instance import InstanceOwnerState
from ..exceptions import WorkerRefusedError, WorkerUnreachableError
from ..log import Event, log_event
from ..mailbox import Mailbox, receive, spawn
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

#: How long an instance may hold back the answer to a poll.
POLL_WAIT = dt.timedelta(seconds=2)
#: Added to the wait of a call before it counts as lost.
CALL_TIMEOUT = dt.timedelta(seconds=2)
#: Pause before a failed poll or fence is repeated.
RETRY_PAUSE = dt.timedelta(milliseconds=300)
TICK_INTERVAL = dt.timedelta(milliseconds=250)
CONNECT_TIMEOUT_S = 1.0


@define(eq=False)
class InstanceTask:
    """Owns one instance: its state, its mailbox and its connections.

    :param tell_line: Sends a message to the holder of the upstream's line.
    :param on_superseded: Called once the instance has seen a higher epoch.
    """

    state: InstanceOwnerState
    clock: Clock
    reactor: t.Any
    metrics: Metrics
    tell_line: t.Callable[[t.Any], None]
    on_superseded: t.Callable[[str, int], None]
    mailbox: Mailbox[t.Any] = field(init=False)
    is_superseded: bool = False
    _offers: dict[str, Deferred[t.Any]] = field(factory=dict)
    _recorded: list[str] = field(factory=list)
    _children: list[Deferred] = field(factory=list)
    _client: treq.client.HTTPClient = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.mailbox = Mailbox(f"instance {self.state.instance.name}")
        pool = HTTPConnectionPool(self.reactor)
        pool.maxPersistentPerHost = self.state.instance.connections
        # The pool must not repeat a call: a start would be sent twice unseen.
        pool.retryAutomatically = False
        agent = Agent(self.reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)

    async def run(self) -> None:
        """Fence the instance, then serve the mailbox until cancelled."""
        self._children = [spawn(self._follow()), spawn(self._tick())]
        try:
            await receive(self.mailbox, self._handle, self.mailbox.name)
        finally:
            for child in self._children:
                child.cancel()
            self._answer_all("The owner stopped.")

    def _handle(self, msg: t.Any) -> None:
        if isinstance(msg, Call):
            offer = t.cast(m.OfferCheck, msg.message)
            self._offers[offer.request.request_id] = msg.reply
            msg = offer
        was_quarantined = self.state.health.is_quarantined
        step = deciding.decide(self.state, msg, self.clock.now())
        self.state = step.state
        self._log_quarantine(was_quarantined)
        for effect in step.effects:
            self._carry_out(effect)

    def _log_quarantine(self, before: bool) -> None:
        now = self.state.health.is_quarantined
        if now != before:
            event = Event.INSTANCE_QUARANTINED if now else Event.INSTANCE_RELEASED
            log_event(event, instance=self.state.instance.name)

    def _carry_out(self, effect: t.Any) -> None:
        match effect:
            case states.RunCheck(request, lease_until):
                spawn(self._run_check(request, lease_until))
            case states.RunTask():
                spawn(self._start_task(effect))
            case states.ControlTask():
                spawn(self._control(effect))
            case states.AnswerCheck(request_id, outcome):
                self._answer(request_id, outcome)
            case states.ListTasks():
                spawn(self._list())
            case states.ConfirmRecorded(task_id):
                self._recorded.append(task_id)
            case _:
                self.tell_line(effect)

    def _answer(self, request_id: str, outcome: m.CheckOutcome) -> None:
        reply = self._offers.pop(request_id, None)
        if reply is not None and not reply.called:
            reply.callback(outcome)

    def _answer_all(self, reason: str) -> None:
        for request_id in list(self._offers):
            self._answer(request_id, m.Unknown(reason))

    async def _run_check(self, request: m.CheckRequest, lease: dt.timedelta) -> None:
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
            lease_until=lease,
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
            self._note_refusal(exc)
            outcome = m.NotRun(f"The instance refused: {exc.reason}.")
            if failed:
                outcome = m.Unknown("The instance failed the check.")
        except WorkerUnreachableError:
            certain = False
            outcome = m.Unknown("The instance gave no answer in time.")
        took = self.clock.now() - sent_at
        ended = m.CheckEnded(request.request_id, outcome, took, certain, failed)
        await self.mailbox.put(ended)

    async def _start_task(self, effect: states.RunTask) -> None:
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
            self._note_refusal(exc)
            started, reason = False, f"The instance refused: {exc.reason}."
        except WorkerUnreachableError:
            started = None
        await self.mailbox.put(m.StartEnded(record.task_id, started, reason))

    async def _control(self, effect: states.ControlTask) -> None:
        order = ControlOrder(
            self.state.epoch, effect.task_id, effect.speed, effect.evict
        )
        if effect.evict:
            self.metrics.count_eviction(self.state.instance.upstream)
            log_event(Event.TASK_EVICTED, task=effect.task_id)
        try:
            await self._post(CONTROL_PATH, order, None, CALL_TIMEOUT)
        except WorkerRefusedError as exc:
            self._note_refusal(exc)
        except WorkerUnreachableError:
            # The next decision or the lease makes up for a lost order.
            return

    async def _list(self) -> None:
        await self._poll_once(dt.timedelta())

    async def _follow(self) -> None:
        while not self.is_superseded:
            if self.state.stage is states.OwnershipStage.FENCING:
                succeeded = await self._fence_once()
            else:
                succeeded = await self._poll_once(POLL_WAIT)
            if not succeeded:
                await sleep(self.clock, RETRY_PAUSE)

    async def _fence_once(self) -> bool:
        return await self._report(
            FENCE_PATH, FenceOrder(self.state.epoch), CALL_TIMEOUT
        )

    async def _poll_once(self, wait: dt.timedelta) -> bool:
        recorded, self._recorded = self._recorded, []
        ended = tuple(
            task.task_id
            for task in self.state.tasks.values()
            if task.phase is states.TaskPhase.ENDED
        )
        order = PollOrder(
            self.state.epoch,
            self.state.clock_at_report + states.TASK_LEASE,
            tuple(recorded),
            ended,
            wait,
        )
        succeeded = await self._report(POLL_PATH, order, wait + CALL_TIMEOUT)
        if not succeeded:
            self._recorded = recorded + self._recorded
        return succeeded

    async def _report(self, path: str, order: t.Any, timeout: dt.timedelta) -> bool:
        asked_at = self.clock.now()
        try:
            report = await self._post(path, order, InstanceReport, timeout)
        except WorkerRefusedError as exc:
            self._note_refusal(exc)
            return False
        except WorkerUnreachableError as exc:
            await self.mailbox.put(m.PollFailed(exc.message))
            return False
        await self.mailbox.put(m.ReportReceived(report, asked_at))
        return True

    async def _tick(self) -> None:
        while True:
            await sleep(self.clock, TICK_INTERVAL)
            await self.mailbox.put(m.Tick())

    def has_calls_in_flight(self) -> bool:
        """Whether a check or a start waits for the instance's answer."""
        starting = states.TaskPhase.STARTING
        tasks = self.state.tasks.values()
        return bool(self._offers) or any(task.phase is starting for task in tasks)

    def _note_refusal(self, exc: WorkerRefusedError) -> None:
        if exc.reason != REASON_STALE_EPOCH or self.is_superseded:
            return
        self.is_superseded = True
        name, epoch = self.state.instance.name, self.state.epoch
        log_event(Event.CLAIM_SUPERSEDED, instance=name, epoch=epoch)
        self.on_superseded(name, epoch)

    async def _post(
        self, path: str, order: t.Any, answer: type | None, timeout: dt.timedelta
    ) -> t.Any:
        url = self.state.instance.address + path
        fut = defer.ensureDeferred(self._exchange(url, order))
        try:
            status, content = await with_timeout(self.clock, fut, timeout)
        except (ConnectError, ResponseFailed, TimeoutError) as exc:
            raise WorkerUnreachableError(
                f"{self.state.instance.name} gave no answer ({type(exc).__name__}).",
                "Check that the instance runs at its declared address.",
            ) from exc
        if status >= 400:
            refusal = from_json(content, Refusal)
            raise WorkerRefusedError(
                f"{self.state.instance.name} refused: {refusal.reason}.",
                "Nothing is to be done: the entry reacts to the reason itself.",
                refusal.reason,
            )
        return None if answer is None else from_json(content, answer)

    async def _exchange(self, url: str, order: t.Any) -> tuple[int, bytes]:
        headers = {"Content-Type": ["application/json"]}
        response = await self._client.post(
            url, data=to_json(order).encode(), headers=headers
        )
        return response.code, await response.content()


def _with_run_time(order: TaskOrder, run_time: dt.timedelta) -> TaskOrder:
    return evolve(order, run_time=run_time)
