"""Draws the faults of a seed."""

import random

from .model import Fault, Kind

#: Seconds of load with faults.
LOAD_S = 16.0
#: Seconds before the first fault.
WARM_UP_S = 2.0
#: Number of pairs of faults in a seed; the two of a pair overlap.
PAIRS = 3
#: Shortest and longest fault in seconds: shorter and longer than leases.
DURATIONS_S = (0.3, 6.0)


def draw_faults(seed: int, entries: int, instances: int) -> tuple[Fault, ...]:
    """Return the faults of a seed, ordered by their begin.

    :param entries: Number of entries.
    :param instances: Number of instances.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    slot_s = (LOAD_S - WARM_UP_S) / PAIRS
    for pair in range(PAIRS):
        begin_s = WARM_UP_S + pair * slot_s + rng.uniform(0, slot_s / 2)
        for number, kind in enumerate(rng.sample(list(Kind), 2)):
            count = instances if kind.name.startswith("INSTANCE") else entries
            at_s = begin_s + number * rng.uniform(0, 1)
            target = rng.randrange(count)
            faults.append(Fault(kind, target, at_s, rng.uniform(*DURATIONS_S)))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
