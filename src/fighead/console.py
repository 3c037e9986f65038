"""Operators' calls to an entry, and the load tool, as run by the command line."""

import datetime as dt
import json
import pathlib
import typing as t
import uuid

import treq
from attrs import define, evolve, frozen
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from .clock import Clock, ReactorClock, sleep
from .codec import from_json, to_json
from .commands.apply import Change
from .declaration import difference, load_folder
from .exceptions import ConflictError, FigheadError
from .load.client import LoadClient
from .load.drive import drive, read_journals
from .load.file import load_plan
from .load.history import History, Verdict, check_history
from .load.table import KindResult, render, summarize
from .model import Revision
from .queries.burn import BurnReport
from .queries.page import render_page, render_text
from .queries.status import Status

CALL_TIMEOUT_S = 10
POLL_INTERVAL = dt.timedelta(milliseconds=300)
#: Time for work that is still open after the last arrival.
SETTLE_TIME = dt.timedelta(seconds=5)

Run = t.Callable[[t.Any, Clock], t.Coroutine[t.Any, t.Any, int]]


class CallRefusedError(FigheadError):
    """An entry refused an operator's call."""

    status = 400
    kind = "call_refused"


def make_clock(reactor: t.Any) -> Clock:
    """Return the clock of a command that runs under ``reactor``."""
    return ReactorClock(reactor, dt.datetime.now(dt.UTC))


def run(main: Run) -> None:
    """Run ``main`` under a reactor and exit with the code that it returns."""

    def start(reactor: t.Any) -> Deferred:
        return ensureDeferred(_exit_with(main(reactor, make_clock(reactor))))

    react(start)


async def _exit_with(coroutine: t.Coroutine[t.Any, t.Any, int]) -> None:
    try:
        code = await coroutine
    except FigheadError as exc:
        print(f"fighead: {exc}")
        code = 2
    raise SystemExit(code)


@define(eq=False)
class OperatorClient:
    """Calls the operator front of one entry.

    :param base: ``http://`` or ``https://`` address of the front.
    """

    base: str
    token: str

    async def get(self, path: str) -> t.Any:
        """Return the JSON of a query."""
        return await self._call("GET", path, None)

    async def put(self, path: str, value: t.Any) -> t.Any:
        """Send a command with an attrs object and return its JSON."""
        return await self._call("PUT", path, to_json(value).encode())

    async def post(self, path: str) -> t.Any:
        """Send a command without a body and return its JSON."""
        return await self._call("POST", path, b"")

    async def _call(self, method: str, path: str, data: bytes | None) -> t.Any:
        headers = {"Authorization": [f"Bearer {self.token}"]}
        try:
            response = await treq.request(
                method,
                self.base + path,
                headers=headers,
                data=data,
                timeout=CALL_TIMEOUT_S,
            )
            answer = json.loads(await response.content())
        except Exception as exc:
            raise CallRefusedError(
                f"{self.base} gave no answer ({type(exc).__name__}).",
                "Try another entry; repeating an apply is harmless.",
            ) from exc
        if response.code >= 400:
            raise _refusal(answer)
        return answer


def _refusal(answer: dict[str, str]) -> FigheadError:
    cls = ConflictError if answer.get("outcome") == "conflict" else CallRefusedError
    return cls(answer.get("reason", "The call was refused."), answer.get("remedy", ""))


async def fetch_revision(client: OperatorClient) -> Revision:
    """Return the current revision."""
    answer = await client.get("/v1/revision")
    return from_json(json.dumps(answer), Revision)


async def plan_change(client: OperatorClient, folder: str) -> tuple[int, list[str]]:
    """Return the current revision's number and what a folder would change."""
    current = await fetch_revision(client)
    new = load_folder(folder)
    return current.number, list(difference(current.inventory, new))


async def apply_folder(
    client: OperatorClient,
    folder: str,
    base: int,
    author: str,
    change_id: str = "",
) -> Revision:
    """Send a folder of declarations as a change from revision ``base``."""
    inventory = load_folder(folder)
    change = Change(inventory, base, author, change_id or uuid.uuid4().hex)
    answer = await client.put("/v1/revision", change)
    return from_json(json.dumps(answer), Revision)


async def wait_in_force(
    client: OperatorClient, clock: Clock, number: int, timeout: dt.timedelta
) -> Status:
    """Poll until every live entry works by revision ``number``, or time is up."""
    deadline = clock.now() + timeout
    while True:
        answer = await client.get("/v1/status")
        status = from_json(json.dumps(answer), Status)
        if status.revision >= number and status.in_force:
            return status
        if clock.now() >= deadline:
            return status
        await sleep(clock, POLL_INTERVAL)


async def make_report(client: OperatorClient, form: str) -> str:
    """Return the burn report as ``text``, ``json`` or ``html``."""
    answer = json.dumps(await client.get("/v1/burn"))
    if form == "json":
        return answer
    report = from_json(answer, BurnReport)
    if form == "html":
        return render_page(report.rows, report.at)
    return render_text(report.rows)


async def call_work(
    entry: str, method: str, upstream: str, caller: str, request_id: str
) -> t.Any:
    """Ask for, or cancel, one plan or watch through a caller front."""
    url = f"{entry.rstrip('/')}/v1/{upstream}/work/{request_id}"
    headers = {"Caller": [caller]}
    response = await treq.request(method, url, headers=headers, timeout=CALL_TIMEOUT_S)
    return json.loads(await response.content())


@frozen
class LoadResult:
    """What the load tool writes."""

    name: str
    seed: int
    kinds: tuple[KindResult, ...]
    verdict: Verdict


async def run_load(
    reactor: t.Any,
    clock: Clock,
    plan_path: str,
    entries: tuple[str, ...],
    workers: tuple[str, ...],
    seed: int,
) -> LoadResult:
    """Drive a plan, gather the journals and check the promises."""
    plan = load_plan(plan_path)
    if seed:
        plan = evolve(plan, seed=seed)
    client = LoadClient(entries, clock, reactor)
    await drive(client, clock, plan)
    await sleep(clock, SETTLE_TIME)
    journals = await read_journals(workers)
    verdict = check_history(History(tuple(client.operations), journals))
    kinds = summarize(client.operations)
    return LoadResult(plan.name, plan.seed, kinds, verdict)


def write_result(result: LoadResult, path: str) -> None:
    """Write a result as JSON."""
    pathlib.Path(path).write_text(to_json(result) + "\n", encoding="utf-8")


def show_result(result: LoadResult) -> str:
    """Return a result as a table."""
    return render(result.kinds, result.verdict)
