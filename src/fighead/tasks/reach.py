"""Finds out which instances this entry and its peers reach."""

import datetime as dt
import random
import typing as t

from attrs import define, field, frozen
from twisted.internet.defer import Deferred, gatherResults

from ..decisions import reach
from ..decisions.reach import Survey
from ..exceptions import (
    PeerUnreachableError,
    WorkerRefusedError,
    WorkerRestartedError,
    WorkerUnreachableError,
)
from ..job_message import ReachAsked, ReachIs, YieldAsked
from ..log import Event, log_event
from ..mailbox import Mailbox, process_messages, spawn
from ..run import RefusalReason, RegisteredInstance
from .agent import CALL_TIMEOUT, InstanceClient

#: Timeout of a peer's answer, which follows those of all its calls.
SURVEY_TIMEOUT = CALL_TIMEOUT + dt.timedelta(milliseconds=400)
#: Fence below that of any leader: an instance that has one refuses the call, and no
#: other does anything.
NO_FENCE = 0

#: Sends a question to a peer and returns a deferred with the answer.
AskPeer = t.Callable[[str, ReachAsked, dt.timedelta], Deferred[t.Any]]


@frozen
class SurveyWanted:
    """Asks for a survey on behalf of the leader.

    :param fence: Fence under which this entry leads.
    """

    fence: int
    survey: Survey


@define(eq=False)
class SurveyTask:
    """Asks peers, in one survey at a time, whether one should lead in place of this.

    :param find_peers: Returns the peers to which there is a connection.
    :param send: Sends a message to a peer, without an answer.
    :param find_fence: Returns the fence under which this entry leads; ``None`` if it
        doesn't.
    :param on_better: Called with that fence and the name of a better placed peer.
    """

    make_client: t.Callable[[RegisteredInstance], InstanceClient]
    random: random.Random
    find_peers: t.Callable[[], t.Sequence[str]]
    ask: AskPeer
    send: t.Callable[[str, t.Any], None]
    find_fence: t.Callable[[], int | None]
    on_better: t.Callable[[int, str], None]
    mailbox: Mailbox[SurveyWanted] = field(factory=lambda: Mailbox("survey"))

    async def run(self) -> None:
        """Carry out surveys until cancelled."""
        await process_messages(self.mailbox, self._handle, "survey")

    async def _handle(self, msg: SurveyWanted) -> None:
        if self.find_fence() != msg.fence:
            return
        peers = sorted(self.find_peers())
        better = peers
        for answering, count in zip(msg.survey.answering, reach.MAX_PEERS, strict=True):
            asked = self.random.sample(better, min(len(better), count))
            better = await self._find_better_placed(msg.survey, answering, asked)
        if not better or self.find_fence() != msg.fence:
            return
        for name in peers:
            if name not in better:
                self.send(name, YieldAsked())
        self.on_better(msg.fence, better[0])

    async def _find_better_placed(
        self,
        survey: Survey,
        answering: tuple[RegisteredInstance, ...],
        peers: list[str],
    ) -> list[str]:
        """Return those of some peers that reach more instances than this entry.

        :param answering: Instances that answer this entry, which peers are to call.
        """
        if not peers:
            return []
        instances = survey.silent + answering
        asking = spawn(ask_peers(self.ask, peers, ReachAsked(instances)))
        own = await find_reached(self.make_client, instances)
        answers = await asking
        better = [
            name
            for name, answer in sorted(answers.items())
            if answer.can_lead and reach.is_better_placed(survey, own, answer.instances)
        ]
        log_event(
            Event.REACH_SURVEYED,
            silent_share=round(survey.silent_share, 3),
            asked=len(peers),
            answered=len(answers),
            called=len(instances),
            reached=len(own),
            better=better,
        )
        return better


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
    ask: AskPeer,
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
    ask: AskPeer,
    name: str,
    asked: ReachAsked,
) -> t.Any:
    try:
        return await ask(name, asked, SURVEY_TIMEOUT)
    except PeerUnreachableError:
        return None
