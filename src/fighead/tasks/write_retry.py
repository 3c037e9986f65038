"""Retries a write of one key until its outcome is known."""

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

#: Mean pause before the first retry; it doubles with each further one.
FIRST_RETRY_PAUSE = dt.timedelta(milliseconds=50)
#: Upper limit of the mean pause.
MAX_RETRY_PAUSE = dt.timedelta(seconds=2)


async def write_with_retries(
    mailbox: Mailbox[StoreCall],
    clock: Clock,
    rng: random.Random,
    txn: Txn,
    deadline: dt.datetime | None = None,
) -> WriteOutcome:
    """Retry a compare-and-swap until its outcome is known.

    A retry is safe: either no earlier attempt took effect, or the compare fails with
    this value already in place, which counts as written.

    :param mailbox: Mailbox of the store task.
    :param deadline: When to stop retrying; ``None`` for never.
    :raises StoreUnavailableError: At the deadline, if no attempt reached the service.
    :raises StoreOutcomeUnknownError: At the deadline, if an attempt may have taken
        effect.
    """
    pause, maybe_applied = FIRST_RETRY_PAUSE, False
    while True:
        try:
            return read_outcome(await ask_store(mailbox, txn), txn)
        except StoreOutcomeUnknownError:
            maybe_applied = True
        except (StoreUnavailableError, MailboxFullError):
            # The attempt had no effect.
            pass
        jittered_pause = pause * (0.5 + rng.random())
        if deadline is not None and clock.now() + jittered_pause >= deadline:
            raise _deadline_error(maybe_applied)
        await sleep(clock, jittered_pause)
        pause = min(pause * 2, MAX_RETRY_PAUSE)


def _deadline_error(maybe_applied: bool) -> Exception:
    if maybe_applied:
        return StoreOutcomeUnknownError(
            "A write got no answer in time.",
            "Query the outcome by id later.",
        )
    return StoreUnavailableError(
        "The key-value service was not reached in time.",
        "Repeat the request later.",
    )
