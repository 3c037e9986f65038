"""Calls to the store by way of a peer, while it turns this entry away."""

import datetime as dt
import typing as t

from attrs import define
from twisted.internet.defer import Deferred

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


@define(eq=False)
class RelayedStore:
    """A store that asks a peer if its own calls certainly had no effect.

    Clients of an entry that only the store turns away are so served all the
    same.

    :param ask_peer: Asks one peer, the likeliest to be served first; raises
        :exc:`.PeerUnreachableError`.
    """

    store: StoreClient
    ask_peer: t.Callable[[StoreAsked, dt.timedelta], Deferred[StoreAnswer]]

    async def call(self, req: t.Any, timeout: dt.timedelta) -> t.Any:
        """Carry out one request; raises as the store does."""
        try:
            return await self.store.call(req, timeout)
        except StoreUnavailableError as exc:
            return await self._relay(req, exc)

    async def watch(self, prefix: str, after: int, wait: dt.timedelta) -> WatchBatch:
        """Watch without a relay."""
        return await self.store.watch(prefix, after, wait)

    async def _relay(self, req: t.Any, exc: StoreUnavailableError) -> t.Any:
        is_write = isinstance(req, Txn)
        asked = StoreAsked(txn=req) if is_write else StoreAsked(read=req)
        try:
            answer = await self.ask_peer(asked, RELAY_TIMEOUT)
        except PeerUnreachableError as lost:
            if not is_write or lost.is_certain:
                raise exc from lost
            raise StoreOutcomeUnknownError(
                "A peer did not tell what became of a write.",
                "Read the key back or repeat the same compare-and-swap.",
            ) from lost
        return _read(answer, exc)


def _read(answer: StoreAnswer, exc: StoreError) -> TxnResult | RangeResult:
    if answer.result is not None:
        return answer.result
    if answer.page is not None:
        return answer.page
    if answer.is_uncertain:
        raise StoreOutcomeUnknownError(
            "A peer's write got no answer.",
            "Read the key back or repeat the same compare-and-swap.",
        )
    raise exc


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
