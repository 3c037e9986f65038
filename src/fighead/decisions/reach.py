"""Decides whether a peer reaches enough instances that the leader does not.

Nothing can start on an instance that the leader doesn't reach, and the runs there end
with their leases. Where only some entries are cut off from instances, another one
should lead.
"""

import datetime as dt
import typing as t

from attrs import define, field, frozen

from ..run import RegisteredInstance
from .schedule_state import InstanceState, Schedule

#: Silence of an instance after which peers are asked whether they reach it. It leaves a
#: successor the time to list the instance before the leases of its runs end.
MIN_SILENCE = dt.timedelta(seconds=1)
#: Share of the registered instances that a hand-over must gain.
MIN_GAIN_SHARE = 0.1
#: Maximum loss of instances in a hand-over, as a share of those gained. It is far below
#: 1, so that leaders don't take turns.
MAX_LOSS_SHARE = 1 / 6
#: Number of silent instances that each peer calls. Each call is billed.
SAMPLE_SIZE = 8
#: Number of answering instances that each peer calls, by round. In the second round
#: these are others: of many peers, some reach all of a few by chance, and lose more
#: than they gain.
ANSWERING_SIZES = (SAMPLE_SIZE, 3 * SAMPLE_SIZE)
#: Number of peers that are asked, by round.
MAX_PEERS = (12, 6)
#: Pause after a survey; it doubles with each that finds no successor.
MIN_PAUSE = dt.timedelta(seconds=2)
MAX_PAUSE = dt.timedelta(seconds=32)


@frozen
class Survey:
    """Instances that peers are to call.

    :param silent: A sample of those that don't answer the leader.
    :param answering: Samples of those that do, by round.
    :param silent_share: Share of the registered instances that don't answer.
    """

    silent: tuple[RegisteredInstance, ...]
    answering: tuple[tuple[RegisteredInstance, ...], ...]
    silent_share: float


@define(eq=False)
class SurveyPlan:
    """When the next survey is due.

    :param pause: Pause after it.
    """

    next_at: dt.datetime | None = None
    pause: dt.timedelta = field(default=MIN_PAUSE)


def plan_survey(
    plan: SurveyPlan,
    schedule: Schedule,
    called: t.Container[str],
    now: dt.datetime,
) -> Survey | None:
    """Return the survey that is due, if any; called at short intervals.

    :param called: IDs of the instances that the leader calls. It calls none whose
        address another one has.
    """
    registered = [
        state
        for name, state in schedule.instances.items()
        if state.is_registered and name in called
    ]
    silent = [state for state in registered if _is_silent(state, now)]
    if not silent or len(silent) < MIN_GAIN_SHARE * len(registered):
        plan.pause = MIN_PAUSE
        return None
    if plan.next_at is not None and now < plan.next_at:
        return None
    plan.next_at = now + plan.pause
    plan.pause = min(2 * plan.pause, MAX_PAUSE)
    answering = [state.instance for state in registered if state.is_reachable]
    first = _take_sample(answering, ANSWERING_SIZES[0])
    others = [each for each in answering if each not in first]
    second = _take_sample(others, ANSWERING_SIZES[1]) or first
    return Survey(
        _take_sample([state.instance for state in silent], SAMPLE_SIZE),
        (first, second),
        len(silent) / len(registered),
    )


def _is_silent(state: InstanceState, now: dt.datetime) -> bool:
    if state.is_reachable or state.silent_since is None:
        return False
    return now - state.silent_since >= MIN_SILENCE


def _take_sample(
    instances: t.Sequence[RegisteredInstance], size: int
) -> tuple[RegisteredInstance, ...]:
    """Return instances at equal distances in the order of the schedule."""
    count = min(len(instances), size)
    return tuple(instances[n * len(instances) // count] for n in range(count))


def is_better_placed(
    survey: Survey, own: t.Collection[str], reached: t.Collection[str]
) -> bool:
    """Whether a peer should lead, by the IDs of the instances that it reaches.

    :param own: IDs of those that this entry reaches when asked at the same time. Calls
        may be lost at random, or an instance turn some of all callers away.
    """
    silent = {each.instance_id for each in survey.silent}
    gain = _estimate(survey, silent, set(reached) & silent, own)
    loss = _estimate(survey, silent, own, reached)
    return gain >= MIN_GAIN_SHARE and loss <= MAX_LOSS_SHARE * gain


def _estimate(
    survey: Survey,
    silent: set[str],
    reached: t.Collection[str],
    others: t.Collection[str],
) -> float:
    """Return the share of the registered instances in ``reached`` and not ``others``.

    :param silent: IDs of the sample of silent instances; all others that were called
        are of the answering ones.
    """
    missing = set(reached) - set(others)
    answering = len(set(reached) - silent) or 1
    return (
        survey.silent_share * len(missing & silent) / len(silent)
        + (1 - survey.silent_share) * len(missing - silent) / answering
    )
