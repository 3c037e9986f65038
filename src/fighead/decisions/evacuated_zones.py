"""Which availability zones the operator has evacuated, and which view of that is newer.

Entries learn of it from their own watch of the store and from their peers. Each view is
complete as of a revision of the store, so the one with the higher revision replaces
the other, whoever it came from.
"""

import typing as t

from attrs import field, frozen
from attrs.validators import deep_iterable, ge, instance_of


@frozen
class Evacuations:
    """The evacuated zones as of a revision of the store.

    :param revision: Revision at which the view is complete; 0 before anything was read.
    :param zones: Names of the zones, sorted.
    """

    revision: int = field(default=0, validator=[instance_of(int), ge(0)])
    zones: tuple[str, ...] = field(
        default=(), validator=deep_iterable(instance_of(str))
    )

    def is_newer_than(self, other: "Evacuations") -> bool:
        """Whether this view replaces the other one."""
        return self.revision > other.revision


def apply_changes(
    known: Evacuations,
    revision: int,
    written: t.Iterable[str],
    deleted: t.Iterable[str],
) -> Evacuations:
    """Return the view after the keys of some zones were written or deleted.

    >>> apply_changes(Evacuations(7, ("a",)), 9, written=["b"], deleted=["a"])
    Evacuations(revision=9, zones=('b',))
    """
    zones = (set(known.zones) - set(deleted)) | set(written)
    return Evacuations(revision, tuple(sorted(zones)))


def find_unknown(
    zones: t.Iterable[str], known_zones: t.Collection[str]
) -> frozenset[str]:
    """Return the zones that the deployment doesn't have.

    :param known_zones: Zones of the deployment; empty if they are not known, so that
        each zone counts as one of them.
    """
    return frozenset(zones).difference(known_zones) if known_zones else frozenset()
