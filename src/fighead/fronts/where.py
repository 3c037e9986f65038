"""The front that explains where a job would go, on the port of the metrics."""

import datetime as dt
import json
import typing as t

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.iweb import IRequest

from .. import job_message as m
from ..codec import to_json
from ..decisions.schedule_state import Schedule
from ..exceptions import FigheadError, RequestError
from .job import JobCodec

#: Largest body of a request. Legal jobs are a few thousand bytes.
MAX_WHERE_BODY_BYTES = 64 * 1024
NOT_LEADING = 503

#: Gets the leader's schedule, which it must not change, and the time.
Read = t.Callable[[Schedule, dt.datetime], t.Any]


class WhereFront:
    """Answers ``/where``, one request at a time, so that placement goes on.

    :param read_schedule: Returns what a function returns for the leader's schedule;
        ``NotScheduler`` if this entry doesn't lead.
    :param find_leader_name: Returns the name of the leader, if it is known.
    """

    def __init__(
        self,
        read_schedule: t.Callable[[Read], Deferred[t.Any] | t.Any],
        find_leader_name: t.Callable[[], str | None],
        codec: JobCodec,
    ) -> None:
        self._read_schedule = read_schedule
        self._find_leader_name = find_leader_name
        self._codec = codec
        self._is_busy = False

    def add_routes(self, app: Klein) -> None:
        """Add ``/where`` to an app."""

        @app.route("/where", methods=["GET", "POST"])
        async def where(request: IRequest) -> bytes:
            request.setHeader("Content-Type", "application/json")
            try:
                return await self._answer(request)
            except FigheadError as exc:
                return self._refuse(request, exc.status, str(exc))

    async def _answer(self, request: IRequest) -> bytes:
        read = self._decode(request)
        if self._is_busy:
            return self._refuse(request, 503, "Another request is under way.")
        self._is_busy = True
        try:
            answer = self._read_schedule(_capture_errors(read))
            if isinstance(answer, Deferred):
                answer = await answer
        finally:
            self._is_busy = False
        if isinstance(answer, m.NotScheduler):
            name = self._find_leader_name() or ""
            reason = (
                f"The entry can't answer as the leader, which is {name or 'unknown'}."
            )
            return self._refuse(request, NOT_LEADING, reason, name)
        if isinstance(answer, Exception):
            raise answer
        return to_json(answer).encode()

    def _decode(self, request: IRequest) -> Read:
        # Imported here because an entry that is never asked doesn't need it.
        from ..queries.where import explain_described, explain_job

        if request.method == b"GET":
            job_id = self._codec.validate_job_id(_take(request, b"job"))
            return lambda schedule, now: explain_job(schedule, job_id, now)
        queue = _take(request, b"queue")
        spec = self._codec.decode_spec(request.content.read())
        return lambda schedule, now: explain_described(schedule, queue, spec, now)

    def _refuse(
        self, request: IRequest, status: int, reason: str, leader: str = ""
    ) -> bytes:
        request.setResponseCode(status)
        return json.dumps({"error": reason, "leader": leader}).encode()


def _take(request: IRequest, name: bytes) -> str:
    values = request.args.get(name, [])
    if len(values) != 1:
        raise RequestError(
            f"The request has {len(values)} values of {name.decode()}.",
            "Send GET /where?job=ID or POST /where?queue=NAME.",
        )
    return values[0].decode("utf-8", "replace")


def _capture_errors(read: Read) -> Read:
    """Return errors instead of raising them in the scheduler."""

    def capture(schedule: Schedule, now: dt.datetime) -> t.Any:
        try:
            return read(schedule, now)
        except Exception as exc:
            return exc

    return capture
