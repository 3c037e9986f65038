"""Stand-in for an instance of the platform, served over HTTP.

The payload of a job says how long its tasks run, as a number of milliseconds;
a payload of ``lasts`` stands for tasks that last.
"""

import datetime as dt
import json
import typing as t

from attrs import define, evolve
from klein import Klein
from twisted.web.iweb import IRequest

from ..clock import Clock, sleep
from ..exceptions import StoreError, WorkerRefusedError
from ..job import Stage
from ..log import Event, log_event
from ..mailbox import spawn
from ..run import Listing, PaceRun, Refusal, RunEnd, RunRow, StartRun, StopRun
from ..standins.job_machine import JobMachine, RunEvent
from ..store import LeaseGrant, LeaseKeepAlive, Put, Txn
from .instance import INCARNATION_HEADER, INSTANCES, decode_task, encode_task
from .store import PlatformStore

#: How often the instance registers itself.
HEARTBEAT = dt.timedelta(milliseconds=1500)
#: Heartbeats after whose silence a registration is removed.
HEARTBEATS_TO_MISS = 3
STORE_TIMEOUT = dt.timedelta(seconds=1)
#: How often a waiting listing looks for news.
NEWS_INTERVAL = dt.timedelta(milliseconds=20)

Json = dict[str, t.Any]

_REASONS = {
    Refusal.FENCED.value: "fence",
    Refusal.STALE.value: "old",
    Refusal.LATE.value: "late",
    Refusal.NO_ROOM.value: "room",
}


def read_stage(order: StartRun) -> Stage:
    """Return the stage that a payload describes."""
    if order.payload == "lasts":
        return Stage(is_lasting=True)
    estimate_ms = int(order.payload) if order.payload.isdigit() else 0
    return Stage(estimate_ms=estimate_ms)


@define(eq=False)
class InstanceStandIn:
    """One instance that registers itself and takes orders."""

    machine: JobMachine
    store: PlatformStore
    clock: Clock
    is_draining: bool = False
    app: t.ClassVar[Klein] = Klein()

    def start(self) -> None:
        """Begin to register."""
        spawn(self._keep_registering())

    async def _keep_registering(self) -> None:
        lease, sequence = 0, 0
        while True:
            try:
                lease = await self._renew(lease)
                sequence += 1
                put = Put(self._key(), json.dumps(self._describe(sequence)), lease)
                await self.store.call(Txn(success=(put,)), STORE_TIMEOUT)
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="heartbeat", reason=exc.message)
                lease = 0
            await sleep(self.clock, HEARTBEAT)

    async def _renew(self, lease: int) -> int:
        if lease:
            renewed = await self.store.call(LeaseKeepAlive(lease), STORE_TIMEOUT)
            if renewed.ttl_s:
                return lease
        ttl_s = int((HEARTBEAT * HEARTBEATS_TO_MISS).total_seconds())
        return (await self.store.call(LeaseGrant(ttl_s), STORE_TIMEOUT)).lease

    def _key(self) -> str:
        return INSTANCES + self.machine.instance.instance_id

    def _describe(self, sequence: int) -> Json:
        instance = self.machine.instance
        room = instance.capacity
        return {
            "Service": instance.upstream,
            "Address": instance.address,
            "Zone": instance.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.is_draining else "ready",
            "ColdLeftMs": 0,
            "Capacity": {"Cpu": room.cpu, "MemMb": room.memory_mb, "Gpu": room.gpu},
            "Labels": list(instance.labels),
            "ClockMs": self.machine.now_ms(),
            "Seq": sequence,
            "born": int(instance.incarnation),
        }

    @app.route("/fighead/run-start", methods=["POST"])
    def serve_start(self, request: IRequest) -> bytes:
        """Start a run."""
        body = _body(request)
        order = StartRun(
            decode_task(body["Task"]),
            body["Run"],
            body["Spec"],
            body.get("Checkpoint", ""),
        )
        return self._carry_out(
            request,
            lambda: self.machine.start(order, body["DeadlineMs"], body["Fence"]),
        )

    @app.route("/fighead/run-stop", methods=["POST"])
    def serve_stop(self, request: IRequest) -> bytes:
        """Stop a run."""
        body = _body(request)
        order = StopRun(decode_task(body["Task"]), body["Run"])
        return self._carry_out(request, lambda: self.machine.stop(order, body["Fence"]))

    @app.route("/fighead/pace", methods=["POST"])
    def serve_pace(self, request: IRequest) -> bytes:
        """Change the speed of a run."""
        body = _body(request)
        order = PaceRun(decode_task(body["Task"]), body["Run"], body["Percent"])
        return self._carry_out(request, lambda: self.machine.pace(order, body["Fence"]))

    @app.route("/fighead/hold", methods=["POST"])
    async def serve_hold(self, request: IRequest) -> bytes:
        """Extend the lease and list runs and ends."""
        body = _body(request)
        deadline = self.clock.now() + dt.timedelta(milliseconds=body.get("WaitMs", 0))
        arguments = (body["Fence"], body["Acked"], body.get("DeadlineMs", 0))
        answer = self._carry_out(request, lambda: self.machine.hold(*arguments))
        while self.clock.now() < deadline and not self.machine.has_news(arguments[1]):
            await sleep(self.clock, NEWS_INTERVAL)
        if request.code == 200:
            answer = self._carry_out(
                request, lambda: self.machine.hold(*arguments[:2], 0)
            )
        return answer

    @app.route("/history", methods=["GET"])
    def serve_history(self, request: IRequest) -> bytes:
        """Serve what happened to runs, for history checks."""
        return json.dumps([_encode_event(e) for e in self.machine.history]).encode()

    def _carry_out(self, request: IRequest, act: t.Callable[[], t.Any]) -> bytes:
        request.setHeader("Content-Type", "application/json")
        meant_for = request.getHeader(INCARNATION_HEADER)
        body: Json = {"ClockMs": self.machine.now_ms()}
        body["born"] = int(self.machine.instance.incarnation)
        if meant_for not in (None, self.machine.instance.instance_id):
            request.setResponseCode(421)
            return json.dumps(body).encode()
        try:
            result = act()
        except WorkerRefusedError as exc:
            request.setResponseCode(409)
            body["Reason"] = _REASONS.get(exc.reason, exc.reason)
            return json.dumps(body).encode()
        if isinstance(result, Listing):
            body["Running"] = [_encode_row(row) for row in result.running]
            body["Finished"] = [_encode_end(end) for end in result.ended]
        return json.dumps(body).encode()


def _body(request: IRequest) -> Json:
    return json.loads(request.content.read())


def _encode_row(row: RunRow) -> list[t.Any]:
    task = encode_task(row.task)
    return [task, row.number, row.checkpoint, row.percent, row.usage]


def _encode_end(end: RunEnd) -> list[t.Any]:
    task = encode_task(end.task)
    return [end.sequence, task, end.number, end.kind.value, end.checkpoint]


def _encode_event(event: RunEvent) -> Json:
    task = encode_task(event.task)
    at_s = event.at.timestamp()
    return {"at": at_s, "event": event.event, "task": task, "run": event.number}


def make_machine(instance: t.Any, clock: Clock) -> JobMachine:
    """Return the first life of an instance of the demo."""
    born = str(int(clock.now().timestamp() * 1000))
    return JobMachine(evolve(instance, incarnation=born), clock, read_stage)
