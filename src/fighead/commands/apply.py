"""The operators' command that changes inventory and rules."""

import random

from attrs import frozen

from ..clock import Clock
from ..codec import from_json, to_json
from ..declaration import MAX_VALUE_BYTES, check_inventory, difference
from ..exceptions import ConflictError, DeclarationError
from ..mailbox import Mailbox
from ..model import HistoryRow, Inventory, Revision
from ..store import (
    CURRENT_REVISION,
    HISTORY,
    Compare,
    KeyValue,
    LeaseGrant,
    Put,
    Range,
    Txn,
)
from ..tasks.settle import settle
from ..tasks.store import StoreCall, ask_store

#: Lines of a difference that are kept with a revision.
MAX_SUMMARY_LINES = 200
#: Time for which the history keeps a revision.
HISTORY_TTL_S = 90 * 24 * 3600


@frozen
class Change:
    """A change as an operator sends it.

    :param base: Number of the revision that the change was made from; 0 for
        the first.
    :param change_id: Identity under which a repeat is recognised.

    .. versionadded:: 0.1
    """

    inventory: Inventory
    base: int
    author: str
    change_id: str


async def apply_change(
    box: Mailbox[StoreCall], clock: Clock, rng: random.Random, change: Change
) -> Revision:
    """Make a change the current revision, if it was based on the current one.

    Repeating a change whose answer was lost returns the revision that it made.

    :raises DeclarationError: If the declarations do not fit together.
    :raises ConflictError: If another change came first.
    :raises StoreError: If the store is away; nothing has changed if it is
        :exc:`.StoreUnavailableError`.

    .. versionadded:: 0.1
    """
    faults = check_inventory(change.inventory)
    if faults:
        raise DeclarationError("; ".join(faults) + ".", "Correct the declarations.")
    kv, current = await read_current(box)
    if current.change_id == change.change_id and current.number:
        return current
    if change.base != current.number:
        raise _conflict(change, current)
    revision = _next_revision(change, current, clock)
    text = to_json(revision)
    if len(text.encode()) > MAX_VALUE_BYTES:
        raise DeclarationError(
            f"The declarations take {len(text)} bytes, more than a value holds.",
            "Leave out instances that are gone.",
        )
    lease = await ask_store(box, LeaseGrant(HISTORY_TTL_S))
    txn = _write(revision, text, kv.mod_revision, lease.lease)
    outcome = await settle(box, clock, rng, txn)
    if outcome.written:
        return revision
    found = from_json(outcome.kv.value, Revision)
    if found.change_id == change.change_id:
        return found
    raise _conflict(change, found)


async def read_current(box: Mailbox[StoreCall]) -> tuple[KeyValue, Revision]:
    """Return the current revision and its key; number 0 if there is none."""
    result = await ask_store(box, Range(CURRENT_REVISION))
    if not result.kvs:
        return KeyValue(CURRENT_REVISION), Revision(0, Inventory())
    return result.kvs[0], from_json(result.kvs[0].value, Revision)


def clock_text(revision: Revision) -> str:
    """Return when a revision was accepted, in ISO format."""
    return revision.accepted_at.isoformat() if revision.accepted_at else ""


def history_key(number: int) -> str:
    """Return the key under which a revision is kept."""
    return f"{HISTORY}{number:09d}"


def _next_revision(change: Change, current: Revision, clock: Clock) -> Revision:
    lines = difference(current.inventory, change.inventory)
    return Revision(
        current.number + 1,
        change.inventory,
        change.author,
        clock.now(),
        change.change_id,
        lines[:MAX_SUMMARY_LINES],
    )


def _write(revision: Revision, text: str, mod_revision: int, lease: int) -> Txn:
    row = HistoryRow(
        revision.number, revision.author, clock_text(revision), revision.summary
    )
    return Txn(
        compares=(Compare(CURRENT_REVISION, mod_revision),),
        success=(
            Put(CURRENT_REVISION, text),
            Put(history_key(revision.number), to_json(row), lease),
        ),
        failure=(Range(CURRENT_REVISION),),
    )


def _conflict(change: Change, current: Revision) -> ConflictError:
    changed = "; ".join(current.summary[:5]) or "no difference"
    return ConflictError(
        f"The change was based on revision {change.base}, but revision "
        f"{current.number} by {current.author or 'nobody'} is in force ({changed}).",
        "Run 'fighead plan' against the new revision and apply again.",
    )
