"""An entry restarts while the leader stands still, and takes answers to its past."""

import asyncio

from support.fleet import (
    PREFIX,
    CouldNotRunError,
    Fleet,
    job,
    make_config,
    make_route,
    run_case,
)

DONE_ID = "00000000000000f1"
RUNNING_ID = "00000000000000f2"
#: Requests for a state, sent side by side.
REQUESTS = 10
#: Longest freeze of the leader, as in the site file, in seconds.
MAX_FREEZE_S = 4.0
#: How long the leader stands still after the last requests were sent, in seconds.
THAW_AFTER_S = 0.2


async def play(fleet: Fleet, with_disruption: bool) -> list[str]:
    """Ask an entry for one job, restart it, and ask it for another one."""
    await fleet.start(make_config(1, make_route("plans", PREFIX)))
    await asyncio.sleep(3)
    leader = fleet.leader()
    entry, other = (name for name in fleet.entries if name != leader)
    await fleet.call(other, "POST", PREFIX + DONE_ID, job({"ms": 200, "cpu": 4000}))
    running = job({"ms": 40_000, "cpu": 4000})
    await fleet.call(other, "POST", PREFIX + RUNNING_ID, running)
    await fleet.wait_for(lambda: fleet.find("end", how="done"), 10)
    await fleet.wait_for(lambda: fleet.find("acked", how="done"), 10)
    await asyncio.sleep(1)
    if with_disruption:
        renewals = fleet.renewals[leader]
        await fleet.wait_for(lambda: fleet.renewals[leader] > renewals, 5)
        fleet.freeze_entry(leader)
    frozen_at = fleet.now()
    earlier = [
        asyncio.create_task(fleet.call(entry, "GET", PREFIX + DONE_ID))
        for _ in range(REQUESTS)
    ]
    await asyncio.sleep(0.1)
    fleet.kill_entry(entry)
    fleet.start_entry(entry)
    await fleet.wait_until_ready(entry)
    fleet.record("ready again", entry=entry)
    later = [
        asyncio.create_task(fleet.call(entry, "GET", PREFIX + RUNNING_ID))
        for _ in range(REQUESTS)
    ]
    await asyncio.sleep(THAW_AFTER_S)
    if with_disruption:
        fleet.thaw_entry(leader)
        if fleet.now() - frozen_at > MAX_FREEZE_S:
            raise CouldNotRunError(f"{entry} took too long to start")
    answers = await asyncio.gather(*later)
    await asyncio.gather(*earlier)
    shown = [answer.get("State") for _, answer in answers]
    wrong = [state for state in shown if state == "completed"]
    if wrong and not fleet.find("end", task=f"{RUNNING_ID}.0.0.0"):
        return [
            f"MIXED: {len(wrong)} of {len(shown)} answers show {RUNNING_ID} as "
            "completed; its task is still running"
        ]
    return []


if __name__ == "__main__":
    run_case(__file__, entries=3, workers=2, play=play)
