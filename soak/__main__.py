"""The command of the soak."""

import pathlib
import shutil
import sys
import typing as t

import fire
from twisted.internet.defer import Deferred

from fighead.log import configure_logging
from fighead.runtime import make_clock, reactor

from . import report
from .model import Result
from .player import Player

FOLDER = "run/soak"


def run(
    seeds: str = "1-3", folder: str = FOLDER, entries: int = 3, instances: int = 3
) -> None:
    """Play seeds one after the other; ends with status 1 if a promise was broken.

    Args:
        seeds: Numbers and ranges, such as 1-10,17.
        folder: Receives summary.html, and settings, logs and timelines; of these
            only those of seeds that broke a promise are kept.
        entries: Number of entries.
        instances: Number of instances.
    """
    root = pathlib.Path(folder)
    results: list[Result] = []
    failures: list[t.Any] = []
    players: list[Player] = []

    async def play_all() -> None:
        for seed in read_seeds(str(seeds)):
            path = root / str(seed)
            shutil.rmtree(path, ignore_errors=True)
            path.mkdir(parents=True)
            player = Player(reactor, make_clock(), path, seed, entries, instances)
            players[:] = [player]
            result = await player.play()
            results.append(result)
            print(report.summarize(result), flush=True)
            for breach in result.breaches[:5]:
                print(f"  {breach.promise}: {breach.text}", flush=True)
            if result.breaches:
                (path / "timeline.txt").write_text(report.write_timeline(result))
            else:
                shutil.rmtree(path)

    def end_processes() -> None:
        for player in players:
            player.fleet.stop()

    def begin() -> None:
        reactor.addSystemEventTrigger("before", "shutdown", end_processes)
        done = Deferred.fromCoroutine(play_all())
        done.addErrback(failures.append).addBoth(lambda _: reactor.stop())

    configure_logging("soak")
    reactor.callWhenRunning(begin)
    reactor.run()
    pairs = report.count_pairs(results)
    (root / "summary.html").write_text(report.write_page(results))
    print(f"{len(results)} seeds, {len(pairs)} pairs of kinds that overlapped")
    for failure in failures:
        failure.printTraceback(sys.stderr)
    if failures or any(result.breaches for result in results):
        sys.exit(1)


def read_seeds(text: str) -> list[int]:
    """Return the numbers in a list of numbers and ranges.

    >>> read_seeds("1-3,7")
    [1, 2, 3, 7]
    """
    seeds: list[int] = []
    for part in text.strip("()").replace(" ", "").split(","):
        first, _, last = part.partition("-")
        if first:
            seeds += range(int(first), int(last or first) + 1)
    return seeds


if __name__ == "__main__":
    fire.Fire(run)
