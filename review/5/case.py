"""One worker refuses starts; jobs that have not begun no longer count as pending."""

import asyncio

from support.fleet import PREFIX, Fleet, job, make_config, make_route, run_case

WORKERS = 7
JOBS = 10
#: Length of the fault in seconds, that of the longest ``srv_grey`` of the site file.
GREY_S = 6.9
#: ``visible_ms`` and 2 s more.
OWED_AFTER_S = 5.0


async def play(fleet: Fleet, with_disruption: bool) -> list[str]:
    """Fill all workers but one, let that one refuse, and ask for ``Pending``."""
    await fleet.start(make_config(1, make_route("plans", PREFIX)))
    await asyncio.sleep(3)
    watch = job(
        {"lasts": True, "cpu": 60_000}, WORKERS - 1, LongRunning=True, MaxPerServer=1
    )
    await fleet.call("e1", "POST", PREFIX + "00000000000000c0", watch)
    await fleet.wait_for(lambda: len(fleet.find("start")) >= WORKERS - 1, 10)
    await asyncio.sleep(1)
    free = next(worker for worker in fleet.workers.values() if not worker.runs)
    free.is_refusing = with_disruption
    fleet.record("refuses starts", worker=free.name, is_refusing=with_disruption)
    ends_at = fleet.now() + GREY_S
    accepted = {}
    for number in range(JOBS):
        name = f"{0xC1 + number:016x}"
        entry = fleet.entries[number % len(fleet.entries)]
        status, _ = await fleet.call(
            entry, "POST", PREFIX + name, job({"ms": 8000, "cpu": 5000})
        )
        if status == 200:
            accepted[name] = fleet.now()
    breaches = []
    while fleet.now() < ends_at - 0.5:
        for entry in fleet.entries:
            sent_at = fleet.now()
            status, answer = await fleet.call(entry, "GET", PREFIX)
            begun = {row["task"].partition(".")[0] for row in fleet.find("start")}
            owed = [
                name
                for name, at in accepted.items()
                if sent_at - at > OWED_AFTER_S and name not in begun
            ]
            if status == 200 and answer["Pending"] * 2 < len(owed):
                breaches.append(
                    f"MIXED: at {sent_at} {entry} gives Pending {answer['Pending']}; "
                    f"{len(owed)} submissions accepted over 5 s before have not begun"
                )
        await asyncio.sleep(0.4)
    free.is_refusing = False
    await asyncio.sleep(1)
    return breaches


if __name__ == "__main__":
    run_case(__file__, entries=3, workers=WORKERS, play=play)
