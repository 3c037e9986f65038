"""Decides when a client comes back whose job is refused because the store is away.

The load that this is built for: outages of 4 to 9 s, and clients that send a job five
times at most. Pauses of a second would put all five into one outage, and equal pauses
would bring clients that were refused together back together.
"""

import datetime as dt

import xxhash

#: Pause while the entry's own watch reaches the store, and at the start of an outage.
MIN_RETRY_S = 1
#: Longest pause. A longer one would reach little further than the longest outage, and
#: leave a job idle for longer after a short one.
MAX_RETRY_S = 4
#: How much sooner jobs of the first priority come back, since they are due sooner.
FIRST_PRIORITY_LEAD_S = 1


def find_retry_after(
    outage: dt.timedelta | None, job_id: str, priority: int
) -> dt.timedelta:
    """Return the pause before the job is sent again, in whole seconds.

    Its longest value grows by a second per second of the outage. Jobs are spread over
    the upper half of the range, anew for each second of the outage, so that the same
    job is not among the last each time.

    :param outage: Length of the outage so far; ``None`` if the store is reached.
    :param priority: Priority of the job's queue; 0 comes first.
    """
    if outage is None:
        return dt.timedelta(seconds=MIN_RETRY_S)
    elapsed = max(0, int(outage.total_seconds()))
    longest = min(MIN_RETRY_S + elapsed, MAX_RETRY_S)
    if priority == 0:
        longest = max(longest - FIRST_PRIORITY_LEAD_S, MIN_RETRY_S)
    shortest = (longest + 1) // 2
    digest = xxhash.xxh64_intdigest(f"{job_id}|{elapsed}".encode())
    return dt.timedelta(seconds=shortest + digest % (longest - shortest + 1))
