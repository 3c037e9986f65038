"""Relays store calls through a peer while the store is unavailable to this entry."""

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

#: Timeout of a relayed call; the peer's own call to the store gets half of it.
RELAY_TIMEOUT = dt.timedelta(seconds=1)
#: Time after a failed call during which further calls go to a peer first.
RELAY_FIRST_TIME = dt.timedelta(seconds=2)


@define(eq=False)
class RelayingStore:
    """A store client that relays calls through a peer while its own calls fail.

    An entry that the store alone refuses can thus still serve its clients. Writes
    must be safe to repeat, since one may be sent more than once.

    :param ask_peer: Sends a request to the peer that is most likely to reach the
        store; raises :exc:`.PeerUnreachableError`.
    :param is_out_of_reach: Whether it is known that no call would reach the store.
    """

    store: StoreClient
    clock: Clock
    ask_peer: t.Callable[[StoreAsked, dt.timedelta], Deferred[StoreAnswer]]
    is_out_of_reach: t.Callable[[], bool] = lambda: False
    _failed_at: dt.datetime | None = None

    def set_store_reached(self, is_reached: bool) -> None:
        """Record whether a call of another client, such as a watch, succeeded."""
        self._failed_at = None if is_reached else self.clock.now()

    async def call(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Execute one request, through a peer if this entry's calls fail.

        :param timeout: Timeout of each direct call; a relayed one has its own.
        :raises StoreUnavailableError: If neither the store nor a peer executed it.
        :raises StoreOutcomeUnknownError: If a write may have taken effect.
        :raises StoreError: Otherwise, as the store raises it.
        """
        if self.is_out_of_reach():
            raise StoreUnavailableError(
                "Neither this entry nor a peer reaches the key-value service.",
                "Retry at another entry, or after a second.",
            )
        if not self._prefers_relay():
            return await self._call_store_first(req, timeout)
        try:
            return await self._relay(req)
        except StoreOutcomeUnknownError as unknown:
            try:
                return await self._call_store_first(req, timeout)
            except StoreUnavailableError:
                # This call had no effect, but the relayed one may have had.
                raise unknown from None
        except StoreError:
            return await self._call_store_first(req, timeout)

    async def _call_store_first(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Call the store, and then a peer if the call certainly had no effect."""
        try:
            return await self.store.call(req, timeout)
        except StoreUnavailableError:
            self.set_store_reached(False)
            return await self._relay(req)
        except StoreOutcomeUnknownError:
            # The caller repeats the write, which then goes to a peer first.
            self.set_store_reached(False)
            raise

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Return changes after a revision; watches are not relayed."""
        return await self.store.watch(prefix, after, wait)

    def _prefers_relay(self) -> bool:
        failed_at = self._failed_at
        return failed_at is not None and self.clock.now() - failed_at < RELAY_FIRST_TIME

    async def _relay(self, req: t.Any) -> t.Any:
        is_write = isinstance(req, Txn)
        asked = StoreAsked(txn=req) if is_write else StoreAsked(read=req)
        try:
            answer = await self.ask_peer(asked, RELAY_TIMEOUT)
        except PeerUnreachableError as exc:
            if not is_write or exc.is_certain:
                raise _unavailable_error() from exc
            raise _unknown_error() from exc
        return _unpack_answer(answer)


def _unpack_answer(answer: StoreAnswer) -> TxnResult | RangeResult:
    if answer.result is not None:
        return answer.result
    if answer.page is not None:
        return answer.page
    raise _unknown_error() if answer.is_uncertain else _unavailable_error()


def _unavailable_error() -> StoreUnavailableError:
    return StoreUnavailableError(
        "The key-value service turns this entry and its peer away.",
        "Retry after 1 s; if it persists, check the health of the key-value service.",
    )


def _unknown_error() -> StoreOutcomeUnknownError:
    return StoreOutcomeUnknownError(
        "A peer did not tell what became of a write.",
        "Read the key back or repeat the same compare-and-swap.",
    )


async def execute_for_peer(store: StoreClient, asked: StoreAsked) -> StoreAnswer:
    """Execute a peer's request at the store, directly.

    A failure is part of the answer: ``is_uncertain`` if a write may have taken effect,
    an empty answer if nothing was done.
    """
    try:
        if asked.txn is not None:
            return StoreAnswer(result=await store.call(asked.txn, RELAY_TIMEOUT / 2))
        return StoreAnswer(page=await store.call(asked.read, RELAY_TIMEOUT / 2))
    except StoreOutcomeUnknownError:
        return StoreAnswer(is_uncertain=True)
    except StoreError:
        return StoreAnswer()
