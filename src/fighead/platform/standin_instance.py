"""Stand-in for an instance of the platform, served over HTTP.

The payload of a job is the run time of its tasks in milliseconds, or ``lasts``
for tasks that run until they are stopped.
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
from ..run import ListedRun, Listing, PaceRun, RefusalReason, RunEnd, StartRun, StopRun
from ..standins.simulated_job_instance import RunEvent, SimulatedJobInstance
from ..store import LeaseGrant, LeaseKeepAlive, Put, Txn
from .instance import INSTANCES_PREFIX, TARGET_INSTANCE_HEADER, decode_task, encode_task
from .store import PlatformStoreClient

#: Interval at which the instance renews its lease and registration.
HEARTBEAT_INTERVAL = dt.timedelta(milliseconds=1500)
#: TTL of the registration's lease, in heartbeat intervals.
LEASE_HEARTBEATS = 3
STORE_TIMEOUT = dt.timedelta(seconds=1)
#: Interval at which a waiting ``hold`` call checks for new ends.
END_POLL_INTERVAL = dt.timedelta(milliseconds=20)

Json = dict[str, t.Any]

#: ``Reason`` of a response by the kind of refusal.
_WIRE_REASONS = {
    RefusalReason.FENCED.value: "fence",
    RefusalReason.STALE.value: "old",
    RefusalReason.LATE.value: "late",
    RefusalReason.NO_ROOM.value: "room",
}


def stage_from_payload(order: StartRun) -> Stage:
    """Return a stage with the run time that the order's payload gives."""
    if order.payload == "lasts":
        return Stage(is_lasting=True)
    estimate_ms = int(order.payload) if order.payload.isdigit() else 0
    return Stage(estimate_ms=estimate_ms)


@define(eq=False)
class InstanceStandIn:
    """Registers an instance in the store and carries out orders on its machine."""

    machine: SimulatedJobInstance
    store: PlatformStoreClient
    clock: Clock
    is_draining: bool = False
    app: t.ClassVar[Klein] = Klein()

    def start(self) -> None:
        """Start the task that keeps the instance registered."""
        spawn(self._register_periodically())

    async def _register_periodically(self) -> None:
        lease, sequence = 0, 0
        while True:
            try:
                lease = await self._renew_lease(lease)
                sequence += 1
                put = Put(
                    self._registration_key(),
                    json.dumps(self._make_registration(sequence)),
                    lease,
                )
                await self.store.call(Txn(success=(put,)), STORE_TIMEOUT)
            except StoreError as exc:
                log_event(Event.STORE_CALL_FAILED, what="heartbeat", reason=exc.message)
                lease = 0
            await sleep(self.clock, HEARTBEAT_INTERVAL)

    async def _renew_lease(self, lease: int) -> int:
        if lease:
            renewed = await self.store.call(LeaseKeepAlive(lease), STORE_TIMEOUT)
            if renewed.ttl_s:
                return lease
        ttl_s = int((HEARTBEAT_INTERVAL * LEASE_HEARTBEATS).total_seconds())
        return (await self.store.call(LeaseGrant(ttl_s), STORE_TIMEOUT)).lease

    def _registration_key(self) -> str:
        return INSTANCES_PREFIX + self.machine.instance.instance_id

    def _make_registration(self, sequence: int) -> Json:
        instance = self.machine.instance
        capacity = instance.capacity
        return {
            "Service": instance.upstream,
            "Address": instance.address,
            "Zone": instance.zone,
            "Version": "v1",
            "Slots": 8,
            "State": "draining" if self.is_draining else "ready",
            "ColdLeftMs": 0,
            "Capacity": {
                "Cpu": capacity.cpu,
                "MemMb": capacity.memory_mb,
                "Gpu": capacity.gpu,
            },
            "Labels": list(instance.labels),
            "ClockMs": self.machine.now_ms(),
            "Seq": sequence,
            "born": int(instance.incarnation),
        }

    @app.route("/fighead/run-start", methods=["POST"])
    def serve_start(self, request: IRequest) -> bytes:
        """Start a run; 409 if the machine refuses it."""
        body = _decode_request(request)
        order = StartRun(
            decode_task(body["Task"]),
            body["Run"],
            body["Spec"],
            body.get("Checkpoint", ""),
        )
        return self._execute(
            request,
            lambda: self.machine.start(order, body["DeadlineMs"], body["Fence"]),
        )

    @app.route("/fighead/run-stop", methods=["POST"])
    def serve_stop(self, request: IRequest) -> bytes:
        """Stop a run, or refuse its later start; 409 for a stale fence."""
        body = _decode_request(request)
        order = StopRun(decode_task(body["Task"]), body["Run"])
        return self._execute(request, lambda: self.machine.stop(order, body["Fence"]))

    @app.route("/fighead/pace", methods=["POST"])
    def serve_pace(self, request: IRequest) -> bytes:
        """Change the speed of a run; 409 for a stale fence."""
        body = _decode_request(request)
        order = PaceRun(decode_task(body["Task"]), body["Run"], body["Percent"])
        return self._execute(
            request, lambda: self.machine.set_pace(order, body["Fence"])
        )

    @app.route("/fighead/hold", methods=["POST"])
    async def serve_hold(self, request: IRequest) -> bytes:
        """Extend the lease and list runs and ends.

        Waits up to ``WaitMs`` for an end that is not acknowledged yet.
        """
        body = _decode_request(request)
        deadline = self.clock.now() + dt.timedelta(milliseconds=body.get("WaitMs", 0))
        arguments = (body["Fence"], body["Acked"], body.get("DeadlineMs", 0))
        response = self._execute(
            request, lambda: self.machine.renew_and_list(*arguments)
        )
        while self.clock.now() < deadline and not self.machine.has_new_ends(
            arguments[1]
        ):
            await sleep(self.clock, END_POLL_INTERVAL)
        if request.code == 200:
            response = self._execute(
                request, lambda: self.machine.renew_and_list(*arguments[:2], 0)
            )
        return response

    @app.route("/history", methods=["GET"])
    def serve_history(self, request: IRequest) -> bytes:
        """Return all run events since the start, for history checks."""
        return json.dumps([_encode_event(e) for e in self.machine.history]).encode()

    def _execute(self, request: IRequest, operation: t.Callable[[], t.Any]) -> bytes:
        request.setHeader("Content-Type", "application/json")
        target_id = request.getHeader(TARGET_INSTANCE_HEADER)
        body: Json = {"ClockMs": self.machine.now_ms()}
        body["born"] = int(self.machine.instance.incarnation)
        if target_id not in (None, self.machine.instance.instance_id):
            request.setResponseCode(421)
            return json.dumps(body).encode()
        try:
            result = operation()
        except WorkerRefusedError as exc:
            request.setResponseCode(409)
            body["Reason"] = _WIRE_REASONS.get(exc.reason, exc.reason)
            return json.dumps(body).encode()
        if isinstance(result, Listing):
            body["Running"] = [_encode_listed_run(row) for row in result.running]
            body["Finished"] = [_encode_end(end) for end in result.ended]
        return json.dumps(body).encode()


def _decode_request(request: IRequest) -> Json:
    return json.loads(request.content.read())


def _encode_listed_run(row: ListedRun) -> list[t.Any]:
    task = encode_task(row.task)
    return [task, row.number, row.checkpoint, row.percent, row.usage]


def _encode_end(end: RunEnd) -> list[t.Any]:
    task = encode_task(end.task)
    return [end.sequence, task, end.number, end.kind.value, end.checkpoint]


def _encode_event(event: RunEvent) -> Json:
    task = encode_task(event.task)
    at_s = event.at.timestamp()
    return {"at": at_s, "event": event.event, "task": task, "run": event.number}


def make_machine(instance: t.Any, clock: Clock) -> SimulatedJobInstance:
    """Return a machine whose incarnation is the current Unix time in ms."""
    incarnation = str(int(clock.now().timestamp() * 1000))
    return SimulatedJobInstance(
        evolve(instance, incarnation=incarnation), clock, stage_from_payload
    )
