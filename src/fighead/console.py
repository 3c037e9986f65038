"""Runs coroutines for the command line, among them the load tool."""

import datetime as dt
import pathlib
import typing as t

from attrs import evolve, frozen
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import react

from .clock import Clock, sleep
from .codec import to_json
from .exceptions import FigheadError
from .load.client import LoadClient
from .load.drive import drive, read_journals
from .load.file import load_plan
from .load.history import History, LoadVerdict, check_history
from .load.table import KindResult, render, summarize
from .runtime import make_clock, reactor

#: Exit code of a command that failed with a :exc:`.FigheadError`.
EXIT_REFUSED = 2
#: Wait after the last outcome, for tasks that are still running.
SETTLE_TIME = dt.timedelta(seconds=5)

#: Command of the command line: takes reactor and clock, returns the exit code.
Main = t.Callable[[t.Any, Clock], t.Coroutine[t.Any, t.Any, int]]


def run_command(main: Main) -> None:
    """Run ``main`` under the reactor and exit with the code that it returns.

    A :exc:`.FigheadError` is printed, and the exit code is :data:`EXIT_REFUSED`.
    """

    def start(_reactor: t.Any) -> Deferred:
        return ensureDeferred(_exit_with(main(reactor, make_clock())))

    react(start, _reactor=reactor)


async def _exit_with(coroutine: t.Coroutine[t.Any, t.Any, int]) -> None:
    try:
        code = await coroutine
    except FigheadError as exc:
        print(f"fighead: {exc}")
        code = EXIT_REFUSED
    raise SystemExit(code)


@frozen
class LoadResult:
    """Result of one load run.

    :param name: Name of the load plan.
    :param seed: Seed with which the plan was run.
    """

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
    """Run a load plan, read the stand-ins' journals and check the guarantees.

    :param entries: Base URLs of caller fronts.
    :param workers: Base URLs of stand-ins for instances.
    :param seed: Seed in place of the plan's own; 0 for the plan's own.
    """
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
    """Write a result to a file as JSON, replacing its content."""
    pathlib.Path(path).write_text(to_json(result) + "\n", encoding="utf-8")


def format_result(result: LoadResult) -> str:
    """Return a result as a text table with violations of guarantees below it."""
    return render(result.kinds, result.verdict)
