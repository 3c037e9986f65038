"""Calls to the store by way of a peer, while it turns this entry away."""

import datetime as dt
import typing as t

from attrs import define
from twisted.internet.defer import Deferred

from ..clock import Clock
from ..exceptions import (
    PeerUnreachableError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..job_message import StoreAnswer, StoreAsked
from ..store import RangeResult, Txn, TxnResult, WatchBatch
from .watch import StoreClient

#: Time for which a peer's answer is waited for.
RELAY_TIMEOUT = dt.timedelta(seconds=1)
#: Time after a failure in which peers are asked first.
AVOIDED_TIME = dt.timedelta(seconds=2)


@define(eq=False)
class RelayedStore:
    """A store that is reached by way of a peer while its own calls fail.

    Clients of an entry that only the store turns away are so served all the
    same. Writes have to be such that repeating one does no harm.

    :param ask_peer: Asks one peer, the likeliest to be served first; raises
        :exc:`.PeerUnreachableError`.
    """

    store: StoreClient
    clock: Clock
    ask_peer: t.Callable[[StoreAsked, dt.timedelta], Deferred[StoreAnswer]]
    _failed_at: dt.datetime | None = None

    def note_contact(self, is_reached: bool) -> None:
        """Take in whether another call has reached the store."""
        self._failed_at = None if is_reached else self.clock.now()

    async def call(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Carry out one request; raises as the store does."""
        if not self._is_avoided():
            return await self._try(req, timeout)
        try:
            return await self._relay(req)
        except StoreOutcomeUnknownError as unknown:
            try:
                return await self._try(req, timeout)
            except StoreUnavailableError:
                # That this try did nothing says nothing of the one before it.
                raise unknown from None
        except StoreError:
            return await self._try(req, timeout)

    async def _try(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Call the store, and a peer if the store certainly did nothing."""
        try:
            return await self.store.call(req, timeout)
        except StoreUnavailableError:
            self.note_contact(False)
            return await self._relay(req)
        except StoreOutcomeUnknownError:
            # The caller repeats the write, and then by way of a peer.
            self.note_contact(False)
            raise

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Watch without a relay."""
        return await self.store.watch(prefix, after, wait)

    def _is_avoided(self) -> bool:
        failed_at = self._failed_at
        return failed_at is not None and self.clock.now() - failed_at < AVOIDED_TIME

    async def _relay(self, req: t.Any) -> t.Any:
        is_write = isinstance(req, Txn)
        asked = StoreAsked(txn=req) if is_write else StoreAsked(read=req)
        try:
            answer = await self.ask_peer(asked, RELAY_TIMEOUT)
        except PeerUnreachableError as exc:
            if not is_write or exc.is_certain:
                raise _unavailable() from exc
            raise _unknown() from exc
        return _read(answer)


def _read(answer: StoreAnswer) -> TxnResult | RangeResult:
    if answer.result is not None:
        return answer.result
    if answer.page is not None:
        return answer.page
    raise _unknown() if answer.is_uncertain else _unavailable()


def _unavailable() -> StoreUnavailableError:
    return StoreUnavailableError(
        "The key-value service turns this entry and its peer away.",
        "Retry after a second; check the service's health.",
    )


def _unknown() -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        "A peer did not tell what became of a write.",
        "Read the key back or repeat the same compare-and-swap.",
    )


async def answer_peer(store: StoreClient, asked: StoreAsked) -> StoreAnswer:
    """Carry out a peer's request at the store."""
    try:
        if asked.txn is not None:
            return StoreAnswer(result=await store.call(asked.txn, RELAY_TIMEOUT / 2))
        return StoreAnswer(page=await store.call(asked.read, RELAY_TIMEOUT / 2))
    except StoreOutcomeUnknownError:
        return StoreAnswer(is_uncertain=True)
    except StoreError:
        return StoreAnswer()
