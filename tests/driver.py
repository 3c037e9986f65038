"""Sends load to a cluster from a process of its own and writes the outcomes.

Arguments: path of the load plan, output file (JSON lines), seed, URLs of entries.
"""

import sys

from attrs import evolve
from twisted.internet.defer import ensureDeferred
from twisted.internet.task import react

from fighead.codec import to_json
from fighead.load.client import LoadClient
from fighead.load.drive import drive
from fighead.load.file import load_plan
from fighead.runtime import make_clock


async def run(reactor, clock, plan_path, entries, out, seed):
    plan = evolve(load_plan(plan_path), seed=seed)
    client = LoadClient(tuple(entries), clock, reactor)
    await drive(client, clock, plan)
    with open(out, "w", encoding="utf-8") as file:
        for operation in client.operations:
            file.write(to_json(operation) + "\n")


def main(reactor):
    plan_path, out, seed, *entries = sys.argv[1:]
    clock = make_clock()
    return ensureDeferred(run(reactor, clock, plan_path, entries, out, int(seed)))


if __name__ == "__main__":
    react(main)
