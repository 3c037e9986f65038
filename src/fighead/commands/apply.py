"""The operators' command that changes the inventory and the rules."""

import random

from attrs import frozen

from ..clock import Clock
from ..codec import from_json, to_json
from ..declaration import MAX_VALUE_BYTES, diff_inventories, find_inventory_errors
from ..exceptions import ConflictError, DeclarationError
from ..mailbox import Mailbox
from ..model import HistoryRow, Inventory, Revision
from ..store import (
    CURRENT_REVISION_KEY,
    HISTORY_PREFIX,
    Compare,
    KeyValue,
    LeaseGrant,
    Put,
    Range,
    Txn,
)
from ..tasks.store import StoreCall, ask_store
from ..tasks.write_retry import write_with_retries

#: Number of lines of the difference that are stored with a revision.
MAX_SUMMARY_LINES = 200
#: Time after which a revision is removed from the history: 90 days.
HISTORY_TTL_S = 90 * 24 * 3600


@frozen
class Change:
    """A new inventory, as sent by an operator.

    :param base: Number of the revision that the change is based on; 0 if there is
        none yet.
    :param change_id: Unique id by which a repeated change is recognised.

    .. versionadded:: 0.1
    """

    inventory: Inventory
    base: int
    author: str
    change_id: str


async def apply_change(
    box: Mailbox[StoreCall], clock: Clock, rng: random.Random, change: Change
) -> Revision:
    """Store a change as the new revision if it is based on the current one.

    The call is idempotent: repeating a change whose answer was lost returns the
    revision that it made.

    :raises DeclarationError: If the declarations are inconsistent or too large.
    :raises ConflictError: If the change is not based on the current revision.
    :raises StoreError: If the store can't be reached. Nothing has changed if the
        error is a :exc:`.StoreUnavailableError`.

    .. versionadded:: 0.1
    """
    problems = find_inventory_errors(change.inventory)
    if problems:
        raise DeclarationError(
            "; ".join(problems) + ".", "Correct the declarations and apply them again."
        )
    kv, current = await read_current(box)
    if current.change_id == change.change_id and current.number:
        return current
    if change.base != current.number:
        raise _conflict_error(change, current)
    revision = _next_revision(change, current, clock)
    text = to_json(revision)
    if len(text.encode()) > MAX_VALUE_BYTES:
        raise DeclarationError(
            f"The declarations take {len(text)} bytes, more than the store accepts.",
            "Remove instances that no longer exist.",
        )
    lease = await ask_store(box, LeaseGrant(HISTORY_TTL_S))
    txn = _make_txn(revision, text, kv.mod_revision, lease.lease)
    outcome = await write_with_retries(box, clock, rng, txn)
    if outcome.written:
        return revision
    stored = from_json(outcome.kv.value, Revision)
    if stored.change_id == change.change_id:
        return stored
    raise _conflict_error(change, stored)


async def read_current(box: Mailbox[StoreCall]) -> tuple[KeyValue, Revision]:
    """Return the stored revision and its key-value pair; number 0 if there is none."""
    result = await ask_store(box, Range(CURRENT_REVISION_KEY))
    if not result.kvs:
        return KeyValue(CURRENT_REVISION_KEY), Revision(0, Inventory())
    return result.kvs[0], from_json(result.kvs[0].value, Revision)


def format_accepted_at(revision: Revision) -> str:
    """Return the time of acceptance in ISO 8601 format; empty if not accepted yet."""
    return revision.accepted_at.isoformat() if revision.accepted_at else ""


def history_key(number: int) -> str:
    """Return the store key of a revision; keys sort by number."""
    return f"{HISTORY_PREFIX}{number:09d}"


def _next_revision(change: Change, current: Revision, clock: Clock) -> Revision:
    lines = diff_inventories(current.inventory, change.inventory)
    return Revision(
        current.number + 1,
        change.inventory,
        change.author,
        clock.wall_now(),
        change.change_id,
        lines[:MAX_SUMMARY_LINES],
    )


def _make_txn(revision: Revision, text: str, mod_revision: int, lease: int) -> Txn:
    row = HistoryRow(
        revision.number, revision.author, format_accepted_at(revision), revision.summary
    )
    return Txn(
        compares=(Compare(CURRENT_REVISION_KEY, mod_revision),),
        success=(
            Put(CURRENT_REVISION_KEY, text),
            Put(history_key(revision.number), to_json(row), lease),
        ),
        failure=(Range(CURRENT_REVISION_KEY),),
    )


def _conflict_error(change: Change, current: Revision) -> ConflictError:
    changed = "; ".join(current.summary[:5]) or "no difference"
    return ConflictError(
        f"The change was based on revision {change.base}, but revision "
        f"{current.number} by {current.author or 'nobody'} is in force ({changed}).",
        "Run 'fighead plan' against the new revision and apply again.",
    )
