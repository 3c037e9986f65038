"""Decides what an entry that does not reach the store can still serve.

Such an entry asks its peers what they reach. A peer that reaches the store makes store
calls for it, and one that schedules with authority answers questions about jobs. While
there is neither, requests are refused at once, and the entry is not ready, so that the
balancer sends clients to others. In an outage of the store that all entries share
there are no others: an entry whose peers all answer stays ready.
"""

import datetime as dt
import typing as t

from attrs import define, field, frozen

#: Interval at which peers are asked while the store is not reached.
ASK_INTERVAL = dt.timedelta(milliseconds=500)
#: Time after the loss of the store, and after a question, from which a missing answer
#: counts as silence.
ANSWER_TIME = dt.timedelta(seconds=1)
#: Age, from when it was asked for, up to which an answer counts.
REPORT_LIFETIME = dt.timedelta(milliseconds=1500)
#: Maximum number of peers that are asked at a time.
MAX_ASKED = 16
#: Maximum number among them of those that reach the store or schedule, and of those
#: that have left a question without an answer.
MAX_ASKED_AGAIN = 5


@frozen
class PeerReport:
    """What a peer reaches, as it answered a question sent at ``asked_at``.

    :param schedules: Whether it is the leader and may act as such.
    """

    asked_at: dt.datetime
    reaches_store: bool = False
    schedules: bool = False


@define(eq=False)
class Connectivity:
    """What an entry knows of its paths to the store.

    :param lost_at: Time of the first of the store calls that failed since the last
        that was answered; ``None`` if the last one was.
    :param reports: The latest answers of peers since then.
    :param asked_at: When the first question was sent that a peer has not answered.
    """

    lost_at: dt.datetime | None = None
    reports: dict[str, PeerReport] = field(factory=dict)
    asked_at: dict[str, dt.datetime] = field(factory=dict)


def note_store(state: Connectivity, is_reached: bool, now: dt.datetime) -> None:
    """Record whether the store answered a call."""
    if not is_reached:
        state.lost_at = state.lost_at or now
        return
    state.lost_at = None
    state.reports.clear()
    state.asked_at.clear()


def note_question(state: Connectivity, peer: str, now: dt.datetime) -> None:
    """Record that a peer was asked."""
    state.asked_at.setdefault(peer, now)


def note_report(state: Connectivity, peer: str, report: PeerReport) -> None:
    """Record a peer's answer; it may belong to a question of an earlier loss."""
    if state.lost_at is not None and report.asked_at >= state.lost_at:
        state.reports[peer] = report
        state.asked_at.pop(peer, None)


def forget_others(state: Connectivity, peers: t.Collection[str]) -> None:
    """Forget all peers but ``peers``."""
    for known in (state.reports, state.asked_at):
        for name in known.keys() - set(peers):
            del known[name]


def choose_asked(
    state: Connectivity,
    peers: t.Sequence[str],
    leader: str | None,
    now: dt.datetime,
    sample: t.Callable[[t.Sequence[str], int], list[str]],
) -> list[str]:
    """Return the peers to ask next: the leader and a sample of the others.

    Peers of use are asked again before their answers expire, and those without an
    answer before they count as silent, since messages may be lost.

    :param sample: Returns a number of random elements of a sequence.
    """
    useful = {
        name
        for name, row in _find_current(state, now)
        if row.reaches_store or row.schedules
    }
    asked = [name for name in peers if name == leader]
    for group, limit in (
        (useful, MAX_ASKED_AGAIN),
        (state.asked_at.keys(), MAX_ASKED_AGAIN),
        (set(peers), MAX_ASKED),
    ):
        others = [name for name in peers if name in group and name not in asked]
        asked += sample(others, min(len(others), limit, MAX_ASKED - len(asked)))
    return asked


def find_relays(state: Connectivity, now: dt.datetime) -> list[str]:
    """Return the peers that reach the store, as they told lately."""
    return [name for name, row in _find_current(state, now) if row.reaches_store]


def is_silent(state: Connectivity, peer: str, now: dt.datetime) -> bool:
    """Whether a peer has left a question without an answer."""
    asked_at = state.asked_at.get(peer)
    return asked_at is not None and now - asked_at >= ANSWER_TIME


def is_store_out_of_reach(state: Connectivity, now: dt.datetime) -> bool:
    """Whether it is known that neither this entry nor a peer reaches the store."""
    return _has_noticed(state, now) and not find_relays(state, now)


def is_cut_off(state: Connectivity, schedules: bool, now: dt.datetime) -> bool:
    """Whether it is known that this entry can't serve requests, nor by a peer.

    :param schedules: Whether this entry is the leader and may act as such.
    """
    return (
        _has_noticed(state, now)
        and not schedules
        and not any(
            row.reaches_store or row.schedules for _, row in _find_current(state, now)
        )
    )


def is_ready(state: Connectivity, schedules: bool, now: dt.datetime) -> bool:
    """Whether the balancer should send clients here.

    An entry that is cut off is ready only if no peer is silent, which could serve them.
    """
    return not is_cut_off(state, schedules, now) or not any(
        is_silent(state, peer, now) for peer in state.asked_at
    )


def _has_noticed(state: Connectivity, now: dt.datetime) -> bool:
    """Whether the store has been lost long enough for peers to have answered."""
    return state.lost_at is not None and now - state.lost_at >= ANSWER_TIME


def _find_current(
    state: Connectivity, now: dt.datetime
) -> t.Iterator[tuple[str, PeerReport]]:
    for name, report in state.reports.items():
        if now - report.asked_at < REPORT_LIFETIME:
            yield name, report
