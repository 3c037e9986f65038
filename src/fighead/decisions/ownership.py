"""Which entry should own which resource, and when to claim or hand over."""

import datetime as dt
import math
import typing as t

import xxhash

from ..model import Inventory, Member

INSTANCE_PREFIX = "instance/"
LINE_PREFIX = "line/"
#: Time for which the preferred entry alone may claim a free resource; every
#: entry further down waits as long again.
CLAIM_PRECEDENCE = dt.timedelta(seconds=2)
#: Time for which another entry must be preferred before a hand-over.
HANDOVER_DELAY = dt.timedelta(seconds=4)


def instance_resource(name: str) -> str:
    """Return the resource name of an instance."""
    return INSTANCE_PREFIX + name


def line_resource(upstream: str) -> str:
    """Return the resource name of an upstream's line."""
    return LINE_PREFIX + upstream


def resources_of(inventory: Inventory) -> dict[str, str]:
    """Return the availability zone of each resource; a line has none."""
    zones = {
        instance_resource(instance.name): instance.availability_zone
        for instance in inventory.instances.values()
    }
    zones.update((line_resource(name), "") for name in inventory.upstreams)
    return zones


def rank(resource: str, zone: str, members: t.Iterable[Member]) -> list[str]:
    """Return the ready members, the one best suited to own ``resource`` first.

    Members of the resource's own zone come first; among equals the order is
    pseudo-random by resource but the same for everyone.
    """
    ready = [member for member in members if member.ready]
    ready.sort(
        key=lambda member: (
            member.availability_zone != zone if zone else False,
            xxhash.xxh64_intdigest(f"{resource}|{member.name}".encode()),
        )
    )
    return [member.name for member in ready]


def assign_owners(
    zones: t.Mapping[str, str], members: t.Collection[Member]
) -> dict[str, str]:
    """Return the preferred owner of each resource.

    No member gets more than its even share of the instances of its own zone,
    or of all lines. Everyone who knows the same members gets the same result.
    """
    owners: dict[str, str] = {}
    for zone in sorted(set(zones.values())):
        resources = sorted(name for name in zones if zones[name] == zone)
        local = [m for m in members if m.ready and m.availability_zone == zone]
        candidates = local or [m for m in members if m.ready]
        owners.update(_share_out(resources, zone, candidates))
    return owners


def _share_out(
    resources: t.Sequence[str], zone: str, members: t.Sequence[Member]
) -> t.Iterator[tuple[str, str]]:
    if not members:
        return
    most = math.ceil(len(resources) / len(members))
    held = dict.fromkeys((member.name for member in members), 0)
    for resource in resources:
        ranked = rank(resource, zone, members)
        owner = next(name for name in ranked if held[name] < most)
        held[owner] += 1
        yield resource, owner


def claim_delay(
    resource: str, zone: str, me: str, preferred: str, members: t.Iterable[Member]
) -> dt.timedelta:
    """Return how long a resource must be free before ``me`` claims it."""
    if me == preferred:
        return dt.timedelta()
    ranked = rank(resource, zone, members)
    if me not in ranked:
        return dt.timedelta.max
    return CLAIM_PRECEDENCE * (ranked.index(me) + 1)
