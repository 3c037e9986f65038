"""Draws the faults of a seed."""

import random

from fighead.platform.standin_instance import HEARTBEAT_INTERVAL, LEASE_HEARTBEATS

from .model import Crowd, Fault, Kind

#: Seconds of load with faults.
LOAD_S = 16.0
#: Seconds before the first fault.
WARM_UP_S = 2.0
#: Number of pairs of faults in a seed; the two of a pair overlap.
PAIRS = 3
#: Shortest and longest fault in seconds: shorter and longer than leases.
DURATIONS_S = (0.3, 6.0)
#: Fraction of seeds that have a series beside the pairs.
SERIES_SHARE = 0.5
#: Shortest and longest time from the warm-up to a series: lasting tasks run by then.
SERIES_DELAY_S = (2.0, 4.0)
#: Longest time for which an instance without its store stays registered.
REGISTERED_S = (HEARTBEAT_INTERVAL * LEASE_HEARTBEATS).total_seconds()
#: Shortest and longest time from the lapse of registrations to the leader's fault.
LAPSED_S = (0.0, 2.0)
#: Shortest and longest time for which the cut, and the leader's fault, last then.
OVERLAP_S = (3.0, 6.0)

#: Fraction of seeds that have a series of planned stops, and of these of those in which
#: the entries are stopped at once.
STOPS_SHARE = 0.6
AT_ONCE_SHARE = 0.4
#: Shortest and longest time from the warm-up to a series of planned stops.
STOPS_DELAY_S = (0.0, 3.0)
#: Shortest and longest time from one stop to the next: some of them overlap.
STOPS_GAP_S = (1.8, 4.0)
#: How long a planned stop takes that nothing delays, as far as the plan is concerned.
STOP_LASTS_S = 2.5

#: Most crowds of clients in a seed, and the shortest and longest one: some last longer
#: than an entry waits for the rest of a request.
MAX_CROWDS = 2
CROWD_LASTS_S = (2.0, 13.0)

_CUTS = (Kind.INSTANCE_STORE_LINK_SILENT, Kind.INSTANCE_STORE_LINK_RESET)
_LEADER_FAULTS = (Kind.LEADER_KILLED, Kind.LEADER_PAUSED, Kind.LEADER_STOPPED)
# Without kinds that only a series has, so that the pairs of known seeds stay.
_SERIES_KINDS = (*_CUTS, Kind.LEADER_STOPPED, Kind.ENTRY_ROLLED)
_PAIRED_KINDS = [kind for kind in Kind if kind not in _SERIES_KINDS]


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
        for number, kind in enumerate(rng.sample(_PAIRED_KINDS, 2)):
            count = instances if kind.name.startswith("INSTANCE") else entries
            at_s = begin_s + number * rng.uniform(0, 1)
            target = rng.randrange(count)
            faults.append(Fault(kind, target, at_s, rng.uniform(*DURATIONS_S)))
    if rng.random() < SERIES_SHARE:
        faults += _draw_series(rng, entries, instances)
    if rng.random() < STOPS_SHARE:
        faults += _draw_stops(rng, entries)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _draw_series(rng: random.Random, entries: int, instances: int) -> list[Fault]:
    """Return a cut of instances from the store and a fault of the leader.

    The registrations lapse while entries still reach the instances; then the leader
    is killed, paused or stopped. The cut lasts until another entry may lead.
    """
    begin_s = WARM_UP_S + rng.uniform(*SERIES_DELAY_S)
    leader_at_s = begin_s + REGISTERED_S + rng.uniform(*LAPSED_S)
    cut_s = leader_at_s - begin_s + rng.uniform(*OVERLAP_S)
    cut, kind = rng.choice(_CUTS), rng.choice(_LEADER_FAULTS)
    targets = rng.sample(range(instances), rng.randint(1, max(1, instances - 1)))
    return [
        *(Fault(cut, target, begin_s, cut_s) for target in targets),
        Fault(kind, rng.randrange(entries), leader_at_s, rng.uniform(*OVERLAP_S)),
    ]


def _draw_stops(rng: random.Random, entries: int) -> list[Fault]:
    """Return planned stops of all entries in turn, or of several at once."""
    begin_s = WARM_UP_S + rng.uniform(*STOPS_DELAY_S)
    targets = rng.sample(range(entries), entries)
    gap_s = rng.uniform(*STOPS_GAP_S)
    if rng.random() < AT_ONCE_SHARE:
        targets, gap_s = targets[: rng.randint(min(2, entries), entries)], 0.0
    return [
        Fault(Kind.ENTRY_ROLLED, target, begin_s + number * gap_s, STOP_LASTS_S)
        for number, target in enumerate(targets)
    ]


def draw_crowds(seed: int, entries: int) -> tuple[Crowd, ...]:
    """Return the crowds of a seed, which may be none.

    They are drawn apart from the faults, so that those of known seeds stay.

    :param entries: Number of entries.
    """
    rng = random.Random(f"crowds of {seed}")
    crowds = []
    for _ in range(rng.randint(0, MAX_CROWDS)):
        for_s = rng.uniform(*CROWD_LASTS_S)
        at_s = rng.uniform(WARM_UP_S, LOAD_S - for_s)
        crowds.append(Crowd(rng.randrange(entries), at_s, for_s))
    return tuple(crowds)
