"""Open channels to the store go silent; a worker that drains goes on to get starts."""

import asyncio

from support.fleet import PREFIX, Fleet, job, make_config, make_route, run_case

#: Bounds of the deployment, in seconds.
STABILITY_S = 3.0
DRAIN_S = 2.0


async def play(fleet: Fleet, with_disruption: bool) -> list[str]:
    """Silence the channels, let a worker drain under a steady load, see its starts."""
    await fleet.start(make_config(1, make_route("plans", PREFIX)))
    await asyncio.sleep(3)
    load = asyncio.create_task(submit_steadily(fleet))
    await asyncio.sleep(4)
    if with_disruption:
        for entry in fleet.entries:
            fleet.link(entry, "store").silence_open_channels()
        fleet.record("open channels to the store are silent")
    silent_at = fleet.now()
    await asyncio.sleep(0.5)
    draining_at = await fleet.drain_worker("w1")
    await asyncio.sleep(8)
    load.cancel()
    late_after = max(draining_at + DRAIN_S, silent_at + STABILITY_S)
    return [
        f"DRAIN: {row['task']} started on w1 at {row['at']}, "
        f"{row['at'] - draining_at:.3f} s after the store accepted that it drains and "
        f"{row['at'] - silent_at:.3f} s after the channels went silent"
        for row in fleet.find("start", worker="w1")
        if row["at"] > late_after
    ]


async def submit_steadily(fleet: Fleet) -> None:
    """Submit a short job every 150 ms, in turn at all entries."""
    calls = []
    for number in range(1000):
        entry = fleet.entries[number % len(fleet.entries)]
        body = job({"ms": 500, "cpu": 4000}, 4)
        path = f"{PREFIX}{0xD000 + number:016x}"
        calls.append(asyncio.create_task(fleet.call(entry, "POST", path, body)))
        await asyncio.sleep(0.15)


if __name__ == "__main__":
    run_case(__file__, entries=3, workers=4, play=play)
