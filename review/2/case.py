"""A leader and its confirming peer are cut off together and go on beside another."""

import asyncio

from support.checks import find_overlapping_runs
from support.fleet import (
    PREFIX,
    CouldNotRunError,
    Fleet,
    job,
    make_config,
    make_route,
    run_case,
)

JOB_ID = "00000000000000a1"
TASKS = 6
#: Length of the cut, as long as the longest ``node_cut`` of the site file, in seconds.
CUT_S = 12.0


async def play(fleet: Fleet, with_disruption: bool) -> list[str]:
    """Cut off the leader, a peer and a worker; look for overlapping runs."""
    await fleet.start(make_config(1, make_route("plans", PREFIX)))
    await asyncio.sleep(3)
    status, _ = await fleet.call(
        "e1", "POST", PREFIX + JOB_ID, job({"ms": 60_000, "cpu": 4000}, TASKS)
    )
    if status != 200:
        raise CouldNotRunError(f"the submission was answered {status}")
    await fleet.wait_for(lambda: len(fleet.find("start")) >= TASKS, 10)
    await asyncio.sleep(4)
    leader = fleet.leader()
    peer = next(entry for entry in fleet.entries if entry != leader)
    side = (leader, peer, "w1")
    fleet.record("leader", entry=leader)
    parted = []
    if with_disruption:
        parted = fleet.part(side)
        fleet.record("cut off", machines=side)
    await asyncio.sleep(CUT_S)
    for link in parted:
        link.heal()
    fleet.record("cut ended")
    await asyncio.sleep(3)
    return find_overlapping_runs(fleet)


if __name__ == "__main__":
    run_case(__file__, entries=3, workers=2, play=play)
