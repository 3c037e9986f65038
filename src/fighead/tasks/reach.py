"""Finds out which instances this entry and its peers reach."""

import datetime as dt
import typing as t

from twisted.internet.defer import Deferred, gatherResults

from ..exceptions import (
    PeerUnreachableError,
    WorkerRefusedError,
    WorkerRestartedError,
    WorkerUnreachableError,
)
from ..job_message import ReachAsked, ReachIs
from ..run import RefusalReason, RegisteredInstance
from .agent import CALL_TIMEOUT, InstanceClient

#: Timeout of a peer's answer, which follows those of all its calls.
SURVEY_TIMEOUT = CALL_TIMEOUT + dt.timedelta(milliseconds=400)
#: Fence below that of any leader: an instance that has one refuses the call, and no
#: other does anything.
NO_FENCE = 0


async def find_reached(
    make_client: t.Callable[[RegisteredInstance], InstanceClient],
    instances: t.Iterable[RegisteredInstance],
) -> tuple[str, ...]:
    """Call instances, without any effect; return the IDs of those that are reached.

    One that turns callers away could not be listed by a leader either.
    """
    clients = [make_client(instance) for instance in instances]
    answers = await gatherResults(
        [Deferred.fromCoroutine(_answers(client)) for client in clients]
    )
    return tuple(
        client.instance.instance_id
        for client, does_answer in zip(clients, answers, strict=True)
        if does_answer
    )


async def _answers(client: InstanceClient) -> bool:
    try:
        await client.renew_and_list(NO_FENCE, 0, 0, dt.timedelta(), CALL_TIMEOUT)
    except WorkerUnreachableError:
        return False
    except WorkerRefusedError as exc:
        return exc.reason != RefusalReason.UNHEALTHY.value
    except WorkerRestartedError:
        return True
    return True


async def ask_peers(
    ask: t.Callable[[str, ReachAsked, dt.timedelta], Deferred[t.Any]],
    peers: t.Iterable[str],
    asked: ReachAsked,
) -> dict[str, ReachIs]:
    """Return the answers of peers by name, without those that give none in time."""
    names = list(peers)
    answers = await gatherResults(
        [Deferred.fromCoroutine(_ask_peer(ask, name, asked)) for name in names]
    )
    return {
        name: answer
        for name, answer in zip(names, answers, strict=True)
        if isinstance(answer, ReachIs)
    }


async def _ask_peer(
    ask: t.Callable[[str, ReachAsked, dt.timedelta], Deferred[t.Any]],
    name: str,
    asked: ReachAsked,
) -> t.Any:
    try:
        return await ask(name, asked, SURVEY_TIMEOUT)
    except PeerUnreachableError:
        return None
