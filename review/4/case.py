"""A route is added while the store turns the leader away for a moment."""

import asyncio

from support.fleet import PREFIX, Fleet, job, make_config, make_route, run_case

JOB_ID = "0000000000000071"
NEW_PREFIX = "/checks/"
MAX_ATTEMPTS = 3
PLANS = make_route("plans", PREFIX, MaxAttempts=MAX_ATTEMPTS)
CHECKS = make_route("checks", NEW_PREFIX, MaxAttempts=MAX_ATTEMPTS)
#: How long the store turns the leader away, in seconds; less than its lease.
AWAY_S = 1.0


async def play(fleet: Fleet, with_disruption: bool) -> list[str]:
    """Submit a job to the new route at once; only its first run fails."""
    await fleet.start(make_config(1, PLANS))
    await asyncio.sleep(4)
    leader = fleet.leader()
    entry = next(name for name in fleet.entries if name != leader)
    if with_disruption:
        link = fleet.link(leader, "store")
        link.refuse()
        fleet.record("turned away by the store", entry=leader)
        asyncio.get_running_loop().call_later(AWAY_S, link.admit)
        await asyncio.sleep(0.1)
    fleet.put_config(make_config(4, PLANS, CHECKS))
    body = job({"ms": 3000, "cpu": 4000, "fails": [1]})
    for _ in range(300):
        status, _ = await fleet.call(entry, "POST", NEW_PREFIX + JOB_ID, body)
        if status == 200:
            break
        await asyncio.sleep(0.01)
    await fleet.wait_for(lambda: fleet.find("end", how="failed"), 15)
    state = ""
    for _ in range(30):
        await asyncio.sleep(0.5)
        _, answer = await fleet.call(entry, "GET", NEW_PREFIX + JOB_ID)
        state = answer.get("State", "")
        if state in ("completed", "failed"):
            break
    fleet.record("leader at the end", entry=fleet.leader(), before=leader)
    failed = len(fleet.find("end", how="failed"))
    if state == "failed" and failed < MAX_ATTEMPTS:
        return [
            f"LOST: the submission is shown as failed after {failed} failed run of its "
            f"task; MaxAttempts is {MAX_ATTEMPTS} in the only configuration with its "
            "route"
        ]
    return []


if __name__ == "__main__":
    run_case(__file__, entries=3, workers=3, play=play)
