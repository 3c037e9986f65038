"""Listings that wait until the jobs that they name are known or absent."""

from attrs import define, field

from .agent import ListingReceived


@define(eq=False)
class PendingListing:
    """The latest listing of an instance, which has not been applied yet.

    :param awaited_job_ids: Jobs that are being looked up for it.
    :param absent_job_ids: Jobs that were looked up for it, or for an earlier listing of
        the instance in its place, and that the store does not contain.
    """

    msg: ListingReceived
    awaited_job_ids: set[str] = field(factory=set)
    absent_job_ids: set[str] = field(factory=set)


@define(eq=False)
class PendingListings:
    """All pending listings, and which of them wait for a job.

    :param by_instance: The pending listing by instance ID.
    :param instance_ids_by_job: Instances whose listings wait, by awaited job ID.
    """

    by_instance: dict[str, PendingListing] = field(factory=dict)
    instance_ids_by_job: dict[str, set[str]] = field(factory=dict)


def put_listing(
    pending: PendingListings, instance_id: str, msg: ListingReceived
) -> None:
    """Add a listing, in place of an earlier one of the same instance.

    The earlier one's absent jobs are kept, so that an instance that is listed more
    often than its jobs are looked up does not wait for ever.
    """
    earlier = remove_listing(pending, instance_id)
    absent_job_ids = earlier.absent_job_ids if earlier is not None else set()
    pending.by_instance[instance_id] = PendingListing(
        msg, absent_job_ids=absent_job_ids
    )


def remove_listing(pending: PendingListings, instance_id: str) -> PendingListing | None:
    """Remove and return the listing of an instance, if there is one."""
    listing = pending.by_instance.pop(instance_id, None)
    for job_id in listing.awaited_job_ids if listing else ():
        instance_ids = pending.instance_ids_by_job[job_id]
        instance_ids.discard(instance_id)
        if not instance_ids:
            del pending.instance_ids_by_job[job_id]
    return listing


def await_jobs(pending: PendingListings, instance_id: str, job_ids: set[str]) -> None:
    """Let the listing of an instance wait for jobs."""
    pending.by_instance[instance_id].awaited_job_ids |= job_ids
    for job_id in job_ids:
        pending.instance_ids_by_job.setdefault(job_id, set()).add(instance_id)


def resolve_job(pending: PendingListings, job_id: str, *, is_absent: bool) -> list[str]:
    """End the wait for a job that is known now, or that the store does not contain.

    Returns the instances whose listings now wait for no job.
    """
    ready_ids = []
    for instance_id in sorted(pending.instance_ids_by_job.pop(job_id, ())):
        listing = pending.by_instance[instance_id]
        listing.awaited_job_ids.discard(job_id)
        if is_absent:
            listing.absent_job_ids.add(job_id)
        if not listing.awaited_job_ids:
            ready_ids.append(instance_id)
    return ready_ids


def count_awaiting_listings(pending: PendingListings) -> int:
    """Return the number of listings that wait for jobs."""
    return sum(bool(each.awaited_job_ids) for each in pending.by_instance.values())
