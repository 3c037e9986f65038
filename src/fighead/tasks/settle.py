"""Carries a one-key write to a known outcome although answers are lost."""

import datetime as dt
import random

from ..clock import Clock, sleep
from ..exceptions import (
    MailboxFullError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..mailbox import Mailbox
from ..store import Txn, WriteOutcome, read_outcome
from .store import StoreCall, ask_store

FIRST_PAUSE = dt.timedelta(milliseconds=50)
LONGEST_PAUSE = dt.timedelta(seconds=2)


async def settle(
    box: Mailbox[StoreCall],
    clock: Clock,
    rng: random.Random,
    txn: Txn,
    give_up_at: dt.datetime | None = None,
) -> WriteOutcome:
    """Repeat a compare-and-swap until its outcome is known.

    A repeat is harmless: either an earlier try took effect, and the compare
    fails with this very value in place, or none did.

    :param give_up_at: When to stop trying; ``None`` for never.
    :raises StoreUnavailableError: On giving up, if no try reached the service.
    :raises StoreOutcomeUnknownError: On giving up, if a try may have.
    """
    pause, maybe_applied = FIRST_PAUSE, False
    while True:
        try:
            return read_outcome(await ask_store(box, txn), txn)
        except StoreOutcomeUnknownError:
            maybe_applied = True
        except (StoreUnavailableError, MailboxFullError):
            # Nothing was sent, so only time is lost.
            pass
        delay = pause * (0.5 + rng.random())
        if give_up_at is not None and clock.now() + delay >= give_up_at:
            raise _given_up(maybe_applied)
        await sleep(clock, delay)
        pause = min(pause * 2, LONGEST_PAUSE)


def _given_up(maybe_applied: bool) -> Exception:
    if maybe_applied:
        return StoreOutcomeUnknownError(
            "A write got no answer in time.", "Ask for the outcome by id later."
        )
    return StoreUnavailableError(
        "The key-value service was not reached in time.", "Repeat the request later."
    )
