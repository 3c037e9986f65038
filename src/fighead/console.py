"""Runs the coroutines of the command line, and the load tool among them."""

import datetime as dt
import pathlib
import typing as t

from attrs import evolve, frozen
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from .clock import Clock, ReactorClock, sleep
from .codec import to_json
from .exceptions import FigheadError
from .load.client import LoadClient
from .load.drive import drive, read_journals
from .load.file import load_plan
from .load.history import History, LoadVerdict, check_history
from .load.table import KindResult, render, summarize

#: Exit code of a command that was refused.
EXIT_REFUSED = 2
#: Time for work that is still open after the last arrival.
SETTLE_TIME = dt.timedelta(seconds=5)

Run = t.Callable[[t.Any, Clock], t.Coroutine[t.Any, t.Any, int]]


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
        code = EXIT_REFUSED
    raise SystemExit(code)


@frozen
class LoadResult:
    """What the load tool writes."""

    name: str
    seed: int
    kinds: tuple[KindResult, ...]
    verdict: LoadVerdict


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
