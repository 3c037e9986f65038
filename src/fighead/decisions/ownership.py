"""Preferred owners of resources, and the delays before claims and hand-overs."""

import datetime as dt
import math
import typing as t

import xxhash

from ..model import Inventory, Member

INSTANCE_PREFIX = "instance/"
LINE_PREFIX = "line/"
#: Delay per rank before an entry that isn't the preferred owner may claim an
#: unclaimed resource. The preferred owner may claim it without delay.
CLAIM_DELAY_PER_RANK = dt.timedelta(seconds=2)
#: Time for which another entry must be preferred before a hand-over.
HANDOVER_DELAY = dt.timedelta(seconds=4)


def instance_resource(name: str) -> str:
    """Return the resource name under which an instance is claimed."""
    return INSTANCE_PREFIX + name


def line_resource(upstream: str) -> str:
    """Return the resource name under which an upstream's line is claimed."""
    return LINE_PREFIX + upstream


def zones_by_resource(inventory: Inventory) -> dict[str, str]:
    """Map each resource to its availability zone, which is empty for a line."""
    zone_by_resource = {
        instance_resource(instance.name): instance.availability_zone
        for instance in inventory.instances.values()
    }
    zone_by_resource.update((line_resource(name), "") for name in inventory.upstreams)
    return zone_by_resource


def rank_members(resource: str, zone: str, members: t.Iterable[Member]) -> list[str]:
    """Return the names of the ready members, most suitable owner first.

    Members in the resource's availability zone come first. Within each group
    the order is a hash of resource and member, so all entries compute the same.
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
    zone_by_resource: t.Mapping[str, str], members: t.Collection[Member]
) -> dict[str, str]:
    """Return the preferred owner of each resource.

    The resources of a zone go to the ready members in that zone, or to all ready
    members if it has none; lines go to all ready members. No member gets more
    than an even share, rounded up. The result depends on the arguments alone, so
    entries that know the same members agree on it. Empty without ready members.
    """
    owner_by_resource: dict[str, str] = {}
    for zone in sorted(set(zone_by_resource.values())):
        resources = sorted(
            name for name in zone_by_resource if zone_by_resource[name] == zone
        )
        local = [m for m in members if m.ready and m.availability_zone == zone]
        candidates = local or [m for m in members if m.ready]
        owner_by_resource.update(_assign_evenly(resources, zone, candidates))
    return owner_by_resource


def _assign_evenly(
    resources: t.Sequence[str], zone: str, members: t.Sequence[Member]
) -> t.Iterator[tuple[str, str]]:
    if not members:
        return
    max_per_member = math.ceil(len(resources) / len(members))
    assigned = dict.fromkeys((member.name for member in members), 0)
    for resource in resources:
        ranked = rank_members(resource, zone, members)
        owner = next(name for name in ranked if assigned[name] < max_per_member)
        assigned[owner] += 1
        yield resource, owner


def claim_delay(
    resource: str, zone: str, claimant: str, preferred: str, members: t.Iterable[Member]
) -> dt.timedelta:
    """Return how long a resource must be unclaimed before ``claimant`` claims it.

    Zero for the preferred owner; ``timedelta.max`` for a member that isn't ready.
    """
    if claimant == preferred:
        return dt.timedelta()
    ranked = rank_members(resource, zone, members)
    if claimant not in ranked:
        return dt.timedelta.max
    return CLAIM_DELAY_PER_RANK * (ranked.index(claimant) + 1)
