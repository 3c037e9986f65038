"""Calls to the platform's instances, and decoding of their registrations."""

import datetime as dt
import json
import re
import typing as t

from attrs import define

from ..exceptions import (
    WorkerNotReachedError,
    WorkerRefusedError,
    WorkerRestartedError,
    WorkerUnreachableError,
)
from ..http_client import (
    HttpLostError,
    HttpNotSentError,
    HttpPool,
    HttpRequest,
    HttpResponse,
)
from ..job import Demand, TaskKey
from ..run import (
    EndKind,
    ListedRun,
    Listing,
    PaceRun,
    RefusalReason,
    RegisteredInstance,
    RunEnd,
    StartRun,
    StopRun,
)
from ..settings import read_address
from .decoding import (
    DECODE_ERRORS,
    expect_list,
    expect_number,
    expect_quantity,
    expect_text,
)

Json = dict[str, t.Any]
T = t.TypeVar("T")

#: Prefix of the keys under which instances register themselves.
INSTANCES_PREFIX = "servers/"
#: ID of an instance, which calls carry in a header; the store limits its length.
_INSTANCE_ID = re.compile(r"[!-~]{1,200}")
OK = 200
OTHER_INCARNATION_STATUS = 421
TARGET_INSTANCE_HEADER = "Fighead-Target-Instance"
UNHEALTHY_STATUSES = (429, 503)
#: Statuses of a call that certainly had no effect.
REFUSED_STATUSES = (400, 409, OTHER_INCARNATION_STATUS, *UNHEALTHY_STATUSES)
_ENCODER = json.JSONEncoder(separators=(",", ":"), check_circular=False)
#: Refusals by the ``Reason`` of the response.
_REFUSAL_BY_REASON = {
    "fence": RefusalReason.FENCED,
    "old": RefusalReason.STALE,
    "late": RefusalReason.LATE,
    "room": RefusalReason.NO_ROOM,
    "ticket": RefusalReason.NO_TICKET,
}


@define(eq=False)
class PlatformInstanceClient:
    """Sends orders to one incarnation of an instance.

    Implements :class:`.InstanceClient`.
    """

    pool: HttpPool
    instance: RegisteredInstance

    async def start(
        self, order: StartRun, lease_until_ms: int, fence: int, timeout: dt.timedelta
    ) -> int:
        """Start a run; a start that is repeated while the run exists has no effect.

        :param lease_until_ms: Expiry of the lease, in ms on the instance's clock.
        :return: The instance's clock in ms.
        :raises WorkerRefusedError: If the run was not started.
        :raises WorkerRestartedError: If another incarnation may have started it.
        :raises WorkerUnreachableError: If the run may have started or may still
            start.
        """
        body: Json = {
            "Task": encode_task(order.task),
            "Run": order.number,
            "Spec": order.payload,
            "DeadlineMs": lease_until_ms,
            "Fence": fence,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        return await self._call("run-start", body, timeout, _decode_clock)

    async def stop(self, order: StopRun, fence: int, timeout: dt.timedelta) -> None:
        """Stop a run; if its start arrives only later, the instance refuses it.

        :raises WorkerRefusedError: If the instance has seen a higher fence or
            refused the call for another reason.
        :raises WorkerUnreachableError: If no response was received.
        """
        body = {
            "Task": encode_task(order.task),
            "Run": order.number,
            "Fence": fence,
        }
        await self._call("run-stop", body, timeout, _decode_nothing)

    async def set_pace(self, order: PaceRun, fence: int, timeout: dt.timedelta) -> None:
        """Set the speed of a run to a percentage of its full speed.

        :raises WorkerError: As for :meth:`stop`.
        """
        body = {
            "Task": encode_task(order.task),
            "Run": order.number,
            "Percent": order.percent,
            "Fence": fence,
        }
        await self._call("pace", body, timeout, _decode_nothing)

    async def renew_and_list(
        self,
        fence: int,
        acknowledged: int,
        lease_until_ms: int,
        wait: dt.timedelta,
        timeout: dt.timedelta,
    ) -> Listing:
        """Extend the lease of all runs on the instance; list the runs and ends.

        :param acknowledged: Sequence number up to which ends are recorded, so
            that the instance can discard them.
        :param lease_until_ms: As for :meth:`start`; 0 doesn't extend the lease.
        :param wait: How long the instance may wait for a run to end before it
            responds.
        :raises WorkerError: As for :meth:`stop`.
        """
        body: Json = {"Fence": fence, "Acked": acknowledged}
        if lease_until_ms:
            body["DeadlineMs"] = lease_until_ms
        if wait:
            body["WaitMs"] = int(wait.total_seconds() * 1000)
        return await self._call("hold", body, wait + timeout, _decode_listing)

    async def _call(
        self,
        call: str,
        body: Json,
        timeout: dt.timedelta,
        decode: t.Callable[[Json], T],
    ) -> T:
        """Send a call and decode its answer.

        An answer that can't be decoded may follow a call that took effect, so it
        counts as a call without an answer.
        """
        req = HttpRequest(
            "POST",
            f"/fighead/{call}",
            _ENCODER.encode(body).encode(),
            ((TARGET_INSTANCE_HEADER, self.instance.instance_id),),
        )
        try:
            response = await self.pool.request(self.instance.address, req, timeout)
        except HttpNotSentError as exc:
            raise WorkerNotReachedError(
                str(exc), "No action needed: the call is retried."
            ) from exc
        except HttpLostError as exc:
            raise WorkerUnreachableError(
                str(exc), "No action needed: the call is retried."
            ) from exc
        answer = self._decode_response(response)
        try:
            return decode(answer)
        except DECODE_ERRORS as exc:
            raise WorkerUnreachableError(
                f"Instance {self.instance.instance_id} answered {call} with a body "
                f"that can't be read: {exc!r}.",
                "No action needed: the call is retried.",
            ) from exc

    def _decode_response(self, response: HttpResponse) -> Json:
        body = _parse_body(response)
        if response.status in REFUSED_STATUSES:
            raise WorkerRefusedError(
                f"Instance {self.instance.instance_id} refused the call with status "
                f"{response.status}.",
                "No action needed: the task is placed again.",
                _decode_refusal(response.status, body).value,
            )
        if response.status != OK:
            raise WorkerUnreachableError(
                f"Instance {self.instance.instance_id} answered with status "
                f"{response.status}, which doesn't tell whether the call took effect.",
                "No action needed: the call is retried.",
            )
        # After a restart, a later incarnation answers at the same address and id.
        incarnation = _decode_incarnation(body)
        if incarnation not in ("", self.instance.incarnation):
            raise WorkerRestartedError(
                f"Instance {self.instance.instance_id} has restarted.",
                "No action needed: the next calls are sent to the new incarnation.",
                incarnation,
            )
        return body


def _parse_body(response: HttpResponse) -> Json:
    try:
        body = json.loads(response.body) if response.body else {}
    except (ValueError, RecursionError):
        body = {}
    return body if isinstance(body, dict) else {}


def _decode_refusal(status: int, body: Json) -> RefusalReason:
    if status == OTHER_INCARNATION_STATUS:
        return RefusalReason.OTHER_INCARNATION
    if status in UNHEALTHY_STATUSES:
        return RefusalReason.UNHEALTHY
    return _REFUSAL_BY_REASON.get(str(body.get("Reason")), RefusalReason.INVALID)


def _decode_incarnation(body: Json) -> str:
    # "born" is the Unix time in ms at which this incarnation started.
    return str(body.get("born", ""))


def encode_task(task: TaskKey) -> str:
    """Return the name of a task in the platform's messages.

    >>> encode_task(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.stage}.{task.index}"


def decode_task(name: str) -> TaskKey:
    """Parse a name that :func:`encode_task` returned.

    :raises ValueError: If the name doesn't have this form.
    """
    job_id, occurrence, stage, index = name.split(".")
    return TaskKey(job_id, int(occurrence), int(stage), int(index))


def _decode_nothing(body: Json) -> None:
    """Ignore the body of an answer whose status says all."""


def _decode_clock(body: Json) -> int:
    return expect_number(body["ClockMs"])


def _decode_listing(body: Json) -> Listing:
    return Listing(
        expect_number(body["ClockMs"]),
        tuple(_decode_listed_run(row) for row in body.get("Running", ())),
        tuple(_decode_end(row) for row in body.get("Finished", ())),
    )


def _decode_listed_run(row: t.Sequence[t.Any]) -> ListedRun:
    task, number, checkpoint, percent = row[:4]
    usage = row[4] if len(row) > 4 else 0
    return ListedRun(
        decode_task(task),
        expect_number(number),
        expect_text(checkpoint),
        expect_number(percent),
        expect_number(usage),
    )


def _decode_end(row: t.Sequence[t.Any]) -> RunEnd:
    sequence, task, number, kind, checkpoint = row[:5]
    return RunEnd(
        expect_number(sequence),
        decode_task(task),
        expect_number(number),
        EndKind(kind),
        expect_text(checkpoint),
    )


def decode_instance(key: str, value: str) -> RegisteredInstance | None:
    """Return a registered instance.

    Returns ``None`` if the registration is malformed, if its ID or address can't be
    used in calls, or if its state is neither ready nor draining.
    """
    try:
        body = json.loads(value)
        is_draining = {"ready": False, "draining": True}[body["State"]]
        capacity = body["Capacity"]
        return RegisteredInstance(
            _expect_instance_id(key.removeprefix(INSTANCES_PREFIX)),
            _decode_registered_incarnation(body),
            _expect_address(body["Address"]),
            expect_text(body["Service"]),
            expect_text(body["Zone"]),
            Demand(
                expect_quantity(capacity["Cpu"], 1),
                expect_quantity(capacity["MemMb"]),
                expect_quantity(capacity["Gpu"]),
            ),
            tuple(expect_text(label) for label in expect_list(body["Labels"])),
            is_draining,
            # Minimum time in ms that a draining instance has left; absent otherwise.
            expect_quantity(body.get("RemainingMs", 0)),
            # Absent on platforms whose instances are never cold.
            expect_quantity(body.get("ColdLeftMs", 0)),
        )
    except DECODE_ERRORS:
        return None


def _decode_registered_incarnation(body: Json) -> str:
    if "born" not in body:
        return ""
    # Answers are compared with its text, so a number written otherwise never matches.
    if not isinstance(body["born"], int):
        raise TypeError("expected a whole number")
    return str(expect_quantity(body["born"]))


def _expect_instance_id(value: str) -> str:
    if not _INSTANCE_ID.fullmatch(value):
        raise ValueError("expected an ID of printable ASCII characters")
    return value


def _expect_address(value: t.Any) -> str:
    read_address(expect_text(value))
    return value
