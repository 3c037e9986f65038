"""Where closed buckets of the burn ledger outlive their entry."""

from ..codec import from_json, to_json
from ..mailbox import Mailbox
from ..store import BURN, Put
from ..tasks.store import StoreCall, read_prefix
from .burn import Bucket


def bucket_put(bucket: Bucket, lease: int) -> Put:
    """Return the write that keeps a bucket until ``lease`` ends."""
    start = int(bucket.start.timestamp())
    return Put(f"{BURN}{start:012d}/{bucket.entry}", to_json(bucket), lease)


async def read_buckets(box: Mailbox[StoreCall]) -> tuple[Bucket, ...]:
    """Return all buckets that are kept."""
    kvs, _ = await read_prefix(box, BURN)
    return tuple(from_json(kv.value, Bucket) for kv in kvs)
