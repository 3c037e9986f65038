"""The leader is killed before the tasks of a wide step end; some run again."""

import asyncio
import time

from support.checks import find_starts_after_done
from support.fleet import (
    PREFIX,
    CouldNotRunError,
    Fleet,
    job,
    make_config,
    make_route,
    run_case,
)

JOB_ID = "0000000000000011"
#: Tasks of the step: 1,200 for each of two workers, which list 500 ends at a time.
TASKS = 2400
RUN_S = 10.0
#: How long before the end of the tasks the leader is killed, in seconds.
KILLED_BEFORE_S = 0.3


async def play(fleet: Fleet, with_disruption: bool) -> list[str]:
    """Run a wide step whose tasks end together; kill the leader shortly before."""
    await fleet.start(make_config(1, make_route("plans", PREFIX)))
    await asyncio.sleep(3)
    entry = next(name for name in fleet.entries if name != fleet.leader())
    until = time.time() + RUN_S
    body = job({"ms": int(RUN_S * 1000), "until": until, "cpu": 50}, TASKS)
    status, _ = await fleet.call(entry, "POST", PREFIX + JOB_ID, body)
    if status != 200:
        raise CouldNotRunError(f"the submission was answered {status}")
    await fleet.wait_for(lambda: len(fleet.find("start")) == TASKS, RUN_S)
    await asyncio.sleep(until - KILLED_BEFORE_S - time.time())
    if with_disruption:
        fleet.kill_entry(fleet.leader())
    for _ in range(40):
        await asyncio.sleep(0.5)
        _, answer = await fleet.call(entry, "GET", PREFIX + JOB_ID)
        if answer.get("State") == "completed":
            break
    await asyncio.sleep(1)
    return find_starts_after_done(fleet)


if __name__ == "__main__":
    run_case(__file__, entries=3, workers=2, play=play)
