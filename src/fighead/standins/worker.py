"""Stand-in for one upstream instance of the platform, served over HTTP."""

import datetime as dt
import random
import typing as t

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest

from ..clock import Clock, sleep
from ..codec import from_json, to_json
from ..model import Ending, InstanceReport, TaskStatus
from ..worker import (
    REASON_DUPLICATE,
    REASON_FAILED,
    REASON_FULL,
    REASON_LATE,
    REASON_OTHER_BOOT,
    REASON_STALE_EPOCH,
    CheckAnswer,
    ControlOrder,
    FenceOrder,
    Journal,
    PollOrder,
    Refusal,
    TaskOrder,
    WorkerFaults,
)
from .connection import abort_connection
from .simulated_instance import RunningTask, SimulatedInstance

HTTP_CONFLICT = 409
HTTP_INTERNAL_SERVER_ERROR = 500


class WorkerStandIn:
    """Carries out the orders of an instance's owner on a :class:`Machine`.

    Orders are refused with status 409 and a :class:`Refusal` as body.
    """

    app = Klein()

    def __init__(self, clock: Clock, name: str, machine: SimulatedInstance) -> None:
        self._clock = clock
        self._name = name
        self._machine = machine
        self._unrecorded_ends: dict[str, TaskStatus] = {}
        self._waiting_polls: list[Deferred[None]] = []
        self._faults = WorkerFaults()
        self._random = random.Random(name)
        self._refusal_counts = dict.fromkeys(
            (
                REASON_STALE_EPOCH,
                REASON_OTHER_BOOT,
                REASON_LATE,
                REASON_FULL,
                REASON_DUPLICATE,
            ),
            0,
        )

    @app.route("/v1/fence", methods=["POST"])
    def fence(self, request: IRequest) -> str:
        """Raise the epoch, so that earlier owners are refused, and list all tasks."""
        order = self._read(request, FenceOrder)
        refusal = self._machine.check_epoch(order.epoch)
        if refusal is not None:
            return self._refuse(request, refusal)
        self._machine.record("fence", "", order.epoch)
        return to_json(self._report())

    @app.route("/v1/tasks", methods=["POST"])
    def start(self, request: IRequest) -> str:
        """Start a batch task; its end is reported by :meth:`poll`."""
        order = self._read(request, TaskOrder)
        refusal = self._machine.admit(order)
        if refusal is not None:
            return self._refuse(request, refusal)
        self._machine.start(order, True, self._record_end)
        self._lose_answer_at_random(request)
        return "{}"

    @app.route("/v1/checks", methods=["POST"])
    async def check(self, request: IRequest) -> str:
        """Run a check and answer once it has ended, with status 500 if it failed."""
        order = self._read(request, TaskOrder)
        refusal = self._machine.admit(order)
        if refusal is not None:
            return self._refuse(request, refusal)
        fut: Deferred[Ending] = Deferred()
        self._machine.start(order, False, lambda _task, ending: fut.callback(ending))
        ending = await fut
        self._lose_answer_at_random(request)
        if ending is not Ending.DONE:
            request.setResponseCode(HTTP_INTERNAL_SERVER_ERROR)
            return to_json(Refusal(REASON_FAILED, ending.value))
        return to_json(CheckAnswer(f"{self._name} answers {order.body}"))

    @app.route("/v1/poll", methods=["POST"])
    async def poll(self, request: IRequest) -> str:
        """Renew the leases of batch tasks and answer with all tasks.

        Waits for up to ``order.wait`` if the owner knows of all ended tasks. An
        ended task is reported until the owner has recorded it.
        """
        order = self._read(request, PollOrder)
        refusal = self._machine.check_epoch(order.epoch)
        if refusal is not None:
            return self._refuse(request, refusal)
        self._machine.renew(order.lease_until)
        for task_id in order.recorded:
            self._unrecorded_ends.pop(task_id, None)
        if not self._unrecorded_ends.keys() - set(order.known_ended) and order.wait:
            await self._wait_for_end(order.wait)
        refusal = self._machine.check_epoch(order.epoch)
        if refusal is not None:
            return self._refuse(request, refusal)
        return to_json(self._report())

    @app.route("/v1/control", methods=["POST"])
    def control(self, request: IRequest) -> str:
        """Change the speed of a task, evict it or stop it."""
        order = self._read(request, ControlOrder)
        refusal = self._machine.check_epoch(order.epoch)
        if refusal is not None:
            return self._refuse(request, refusal)
        self._machine.control(order.task_id, order.speed, order.evict)
        return "{}"

    @app.route("/journal", methods=["GET"])
    def journal(self, request: IRequest) -> str:
        """Return all events, violations and counts of refusals since the start."""
        return to_json(
            Journal(
                self._name,
                tuple(self._machine.journal),
                self._machine.violations,
                self._refusal_counts[REASON_STALE_EPOCH],
                self._refusal_counts[REASON_FULL],
                self._refusal_counts[REASON_DUPLICATE],
            )
        )

    @app.route("/faults", methods=["PUT"])
    def change_faults(self, request: IRequest) -> str:
        """Replace the injected faults."""
        self._faults = from_json(request.content.read(), WorkerFaults)
        self._machine.fail_all = self._faults.fail_all
        return "{}"

    def _read(self, request: IRequest, cls: type) -> t.Any:
        if self._faults.unreachable:
            abort_connection(request)
        request.setHeader("Content-Type", "application/json")
        return from_json(request.content.read(), cls)

    def _refuse(self, request: IRequest, refusal: Refusal) -> str:
        self._refusal_counts[refusal.reason] += 1
        request.setResponseCode(HTTP_CONFLICT)
        return to_json(refusal)

    def _record_end(self, task: RunningTask, ending: Ending) -> None:
        order = task.order
        answer = ""
        if ending is Ending.DONE:
            answer = f"{self._name} completed {order.body}"
        self._unrecorded_ends[order.task_id] = TaskStatus(
            order.task_id,
            order.kind,
            ending,
            answer,
            task.checkpoint,
            elapsed=self._clock.now() - task.started_at,
        )
        waiting, self._waiting_polls = self._waiting_polls, []
        for fut in waiting:
            if not fut.called:
                fut.callback(None)

    async def _wait_for_end(self, wait: dt.timedelta) -> None:
        fut: Deferred[None] = Deferred(lambda _: None)
        self._waiting_polls.append(fut)
        timer = sleep(self._clock, wait)
        timer.addCallbacks(lambda _: self._expire_wait(fut), lambda _: None)
        await fut
        timer.cancel()

    def _expire_wait(self, fut: Deferred[None]) -> None:
        if fut in self._waiting_polls:
            self._waiting_polls.remove(fut)
        if not fut.called:
            fut.callback(None)

    def _report(self) -> InstanceReport:
        machine = self._machine
        running = tuple(machine.status(task) for task in list(machine.tasks.values()))
        return InstanceReport(
            machine.boot,
            machine.uptime(),
            machine.highest_epoch,
            running + tuple(self._unrecorded_ends.values()),
        )

    def _lose_answer_at_random(self, request: IRequest) -> None:
        if self._random.random() < self._faults.lose_answers:
            abort_connection(request)
