"""Calls to the platform's instances, and what they register about themselves."""

import datetime as dt
import json
import typing as t

from attrs import define

from ..exceptions import (
    WorkerNotReachedError,
    WorkerRefusedError,
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
    Instance,
    Listing,
    PaceRun,
    Refusal,
    RunEnd,
    RunRow,
    StartRun,
    StopRun,
)

Json = dict[str, t.Any]

#: Keys under which instances register themselves.
INSTANCES = "servers/"
OK = 200
OTHER_INCARNATION_STATUS = 421
INCARNATION_HEADER = "Fighead-Target-Instance"
UNHEALTHY_STATUSES = (429, 503)
#: Names of refusals on the wire.
_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.STALE,
    "late": Refusal.LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}


@define(eq=False)
class PlatformInstance:
    """Carries out orders at one life of an instance."""

    pool: HttpPool
    instance: Instance

    async def start(
        self, order: StartRun, until_ms: int, fence: int, timeout: dt.timedelta
    ) -> int:
        """Start a run; starting one that is there already changes nothing.

        :param until_ms: Point on the instance's clock to which its lease lasts.
        :return: The instance's clock in ms.
        :raises WorkerRefusedError: If the run was not started.
        :raises WorkerUnreachableError: If it may have been, or may be later.
        """
        body: Json = {
            "Task": encode_task(order.task),
            "Run": order.number,
            "Spec": order.payload,
            "DeadlineMs": until_ms,
            "Fence": fence,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        return int((await self._post("run-start", body, timeout))["ClockMs"])

    async def stop(self, order: StopRun, fence: int, timeout: dt.timedelta) -> None:
        """Stop a run; one that has not arrived yet will be refused.

        :raises WorkerRefusedError: If a higher fence has been seen.
        :raises WorkerUnreachableError: If there was no answer.
        """
        body = {
            "Task": encode_task(order.task),
            "Run": order.number,
            "Fence": fence,
        }
        await self._post("run-stop", body, timeout)

    async def pace(self, order: PaceRun, fence: int, timeout: dt.timedelta) -> None:
        """Change the share of full speed at which a run works.

        :raises WorkerError: As for :meth:`stop`.
        """
        body = {
            "Task": encode_task(order.task),
            "Run": order.number,
            "Percent": order.percent,
            "Fence": fence,
        }
        await self._post("pace", body, timeout)

    async def hold(
        self,
        fence: int,
        acknowledged: int,
        until_ms: int,
        wait: dt.timedelta,
        timeout: dt.timedelta,
    ) -> Listing:
        """Extend the lease of everything there and list runs and ends.

        :param acknowledged: Highest end that is recorded and can be forgotten.
        :param until_ms: As for :meth:`start`; 0 leaves the lease as it is.
        :param wait: How long the instance may wait for an end.
        :raises WorkerError: As for :meth:`stop`.
        """
        body: Json = {"Fence": fence, "Acked": acknowledged}
        if until_ms:
            body["DeadlineMs"] = until_ms
        if wait:
            body["WaitMs"] = int(wait.total_seconds() * 1000)
        return _decode_listing(await self._post("hold", body, wait + timeout))

    async def _post(self, call: str, body: Json, timeout: dt.timedelta) -> Json:
        req = HttpRequest(
            "POST",
            f"/fighead/{call}",
            json.dumps(body, separators=(",", ":")).encode(),
            ((INCARNATION_HEADER, self.instance.instance_id),),
        )
        try:
            response = await self.pool.request(self.instance.address, req, timeout)
        except HttpNotSentError as exc:
            raise WorkerNotReachedError(str(exc), "The call is sent again.") from exc
        except HttpLostError as exc:
            raise WorkerUnreachableError(str(exc), "The call is sent again.") from exc
        return self._read(response)

    def _read(self, response: HttpResponse) -> Json:
        body = _parse(response)
        if response.status != OK:
            raise WorkerRefusedError(
                f"Instance {self.instance.instance_id} answered {response.status}.",
                "The task is placed again.",
                _refusal(response.status, body).value,
            )
        # A life that began later answers at the same address and id.
        if _incarnation(body) not in ("", self.instance.incarnation):
            raise WorkerRefusedError(
                f"Instance {self.instance.instance_id} has started anew.",
                "Its new life is registered under another incarnation.",
                Refusal.OTHER_INCARNATION.value,
            )
        return body


def _parse(response: HttpResponse) -> Json:
    try:
        body = json.loads(response.body) if response.body else {}
    except ValueError:
        body = {}
    return body if isinstance(body, dict) else {}


def _refusal(status: int, body: Json) -> Refusal:
    if status == OTHER_INCARNATION_STATUS:
        return Refusal.OTHER_INCARNATION
    if status in UNHEALTHY_STATUSES:
        return Refusal.UNHEALTHY
    return _REFUSALS.get(body.get("Reason", ""), Refusal.INVALID)


def _incarnation(body: Json) -> str:
    # "born": Unix ms at which this life of the instance began.
    return str(body.get("born", ""))


def encode_task(task: TaskKey) -> str:
    """Return a task's name on the wire.

    >>> encode_task(TaskKey("5c0e7a21d94b36f8", 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{task.job_id}.{task.occurrence}.{task.stage}.{task.index}"


def decode_task(name: str) -> TaskKey:
    """Return the task that a name on the wire stands for."""
    job_id, occurrence, stage, index = name.split(".")
    return TaskKey(job_id, int(occurrence), int(stage), int(index))


def _decode_listing(body: Json) -> Listing:
    return Listing(
        int(body["ClockMs"]),
        tuple(_decode_row(row) for row in body.get("Running", ())),
        tuple(_decode_end(row) for row in body.get("Finished", ())),
    )


def _decode_row(row: t.Sequence[t.Any]) -> RunRow:
    task, number, checkpoint, percent = row[:4]
    usage = row[4] if len(row) > 4 else 0
    return RunRow(decode_task(task), number, checkpoint, int(percent), int(usage))


def _decode_end(row: t.Sequence[t.Any]) -> RunEnd:
    sequence, task, number, how, checkpoint = row[:5]
    return RunEnd(sequence, decode_task(task), number, EndKind(how), checkpoint)


def decode_instance(key: str, value: str) -> Instance | None:
    """Return a registered instance, or ``None`` if the entry names none to use."""
    try:
        body = json.loads(value)
        is_draining = {"ready": False, "draining": True}[body["State"]]
        capacity = body["Capacity"]
        return Instance(
            key.removeprefix(INSTANCES),
            _incarnation(body),
            _text(body["Address"]),
            _text(body["Service"]),
            _text(body["Zone"]),
            Demand(
                _count(capacity["Cpu"]),
                _count(capacity["MemMb"]),
                _count(capacity["Gpu"]),
            ),
            tuple(_text(label) for label in body["Labels"]),
            is_draining,
            # Least time left while draining, absent otherwise.
            _count(body.get("RemainingMs", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _text(value: t.Any) -> str:
    if not isinstance(value, str):
        raise TypeError("no text")
    return value


def _count(value: t.Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError("no number")
    return int(value)
