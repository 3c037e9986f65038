"""What confirms the leader, and when no earlier one can be confirmed any more.

An election asks the store alone. While a leader doesn't reach the store, most entries
and most instances confirm it in its place, for a limited time. Its successor excludes
it once either of the two is out of reach for it.
"""

import datetime as dt
import enum
import math
import typing as t

from attrs import frozen

#: How long most entries, and most instances, may confirm a leader that the store has
#: not confirmed.
MAX_TIME_WITHOUT_STORE = dt.timedelta(seconds=8)
#: The same if no entry or less than a quarter of the instances is missing.
MAX_TIME_WITH_NEARLY_ALL = dt.timedelta(seconds=60)
#: Longest time between two confirmations by peers and instances of which the later one
#: counts, also if the authority has ended in between. Entries that have just started
#: confirm nobody for longer: one may have followed a later leader before it restarted.
MAX_CONFIRMATION_GAP = dt.timedelta(milliseconds=2500)
#: Share of the instances that counts as nearly all.
NEARLY_ALL = 0.75

#: When each entry or instance last did something, by name.
Dates = t.Mapping[str, dt.datetime]


@frozen
class Electorate:
    """The entries and instances of which majorities may confirm a leader.

    It is stored, so that the leader and its successor count the same ones although one
    of them may miss that another has joined.

    :param instances: IDs of the instances; ``None`` if an entry of an earlier version
        has stored it.
    """

    names: tuple[str, ...] = ()
    instances: tuple[str, ...] | None = None


@frozen
class StoredElectorate:
    """The electorate as it is stored.

    Entries of earlier versions, which count no instances, read ``names`` only. None
    must confirm them while others count on instances.

    :param names: Entries, in records of earlier versions.
    """

    names: tuple[str, ...] = ()
    electorate: Electorate | None = None


def read_electorate(stored: StoredElectorate) -> Electorate:
    """Return a stored electorate, maybe of an earlier version.

    >>> read_electorate(StoredElectorate(("a", "b")))
    Electorate(names=('a', 'b'), instances=None)
    """
    return stored.electorate or Electorate(stored.names)


@frozen
class PossibleLeaders:
    """The entries that may act as the leader of a term, or of an earlier one.

    Each election adds an entry. The leader removes the others once none of them can be
    confirmed any more.

    :param term: The term up to which ``names`` is complete.
    """

    term: int
    names: tuple[str, ...]

    def add(self, name: str) -> "PossibleLeaders":
        """Return the record of the next term, for which ``name`` is elected.

        >>> PossibleLeaders(3, ("b",)).add("a")
        PossibleLeaders(term=4, names=('a', 'b'))
        """
        return PossibleLeaders(self.term + 1, tuple(sorted({*self.names, name})))


class ConfirmationSource(enum.Enum):
    """What may confirm an entry as the leader."""

    ELECTION = "election"
    STORE = "store"
    PEERS = "peers"


@frozen
class Confirmation:
    """Evidence that this entry may act as the leader, as of the time ``at``.

    The store proves that no other entry had been elected. Peers and instances don't,
    but another one that they don't follow does not take this entry's runs for ended.
    """

    at: dt.datetime
    source: ConfirmationSource


class Exclusion(enum.Enum):
    """Why no earlier leader can be confirmed any more."""

    LEADERS = "leaders"
    ENTRIES = "entries"
    INSTANCES = "instances"
    TIME = "time"
    #: All have stopped as planned.
    HANDOVER = "handover"


@frozen
class Support:
    """How much of the electorate can't confirm another leader than this one.

    :param followers: Entries that follow it, with itself.
    :param entries: Entries of the electorate.
    :param answered: Instances that have answered it.
    :param instances: Instances of the electorate.
    """

    followers: int = 0
    entries: int = 0
    answered: int = 0
    instances: int = 0


@frozen
class Authority:
    """What a leader may infer from the silence of others.

    :param sole_at: Latest time at which the store held this entry's leader key.
    :param followed_at: When no earlier leader could be confirmed any more; ``None`` if
        one still may.
    :param exclusion: Why none can be.
    :param support: Who counts against an earlier leader at present.
    """

    sole_at: dt.datetime | None = None
    followed_at: dt.datetime | None = None
    exclusion: Exclusion | None = None
    support: Support = Support()


@frozen
class InstanceAnswers:
    """Answers of one incarnation of an instance to orders or listings of a leader.

    :param first_at: When the first call that it answered was sent.
    :param last_at: The same for the last one.
    """

    incarnation: str
    first_at: dt.datetime
    last_at: dt.datetime


def add_answer(
    known: InstanceAnswers | None, incarnation: str, sent_at: dt.datetime
) -> InstanceAnswers:
    """Return the answers of an instance with that to a call sent at ``sent_at``.

    >>> at = dt.datetime(2030, 1, 1)
    >>> add_answer(InstanceAnswers("1", at, at), "2", at).incarnation
    '2'
    """
    if known is None or known.incarnation != incarnation:
        return InstanceAnswers(incarnation, sent_at, sent_at)
    return InstanceAnswers(incarnation, known.first_at, max(known.last_at, sent_at))


def find_confirming_instances(
    answers: t.Mapping[str, InstanceAnswers], sole_at: dt.datetime | None
) -> dict[str, dt.datetime]:
    """Return when instances last answered, if they can confirm the leader.

    An incarnation that the leader met after the store last confirmed it may have obeyed
    its successor before it restarted.
    """
    return {
        instance_id: answer.last_at
        for instance_id, answer in answers.items()
        if sole_at is not None and answer.first_at <= sole_at
    }


def find_confirmation_date(
    own_name: str,
    electorate: Electorate,
    peers: Dates,
    instances: Dates,
    sole_at: dt.datetime,
) -> dt.datetime | None:
    """Return the latest time at which others confirmed the leader ``own_name``.

    :param peers: When each peer confirmed it.
    :param instances: When each instance confirmed it.
    :param sole_at: When the store last confirmed it.

    >>> at = dt.datetime(2030, 1, 1)
    >>> of_three = Electorate(("a", "b", "c"), ("i", "j", "k"))
    >>> find_confirmation_date("a", of_three, {"b": at}, {"i": at, "k": at}, at) == at
    True
    >>> find_confirmation_date("a", of_three, {"b": at}, {"i": at}, at) is None
    True
    """
    stored = electorate.instances or ()
    if own_name not in electorate.names or not stored:
        return None
    most_entries_at = find_majority_date(own_name, electorate.names, peers)
    most_at = _find_instances_date(stored, instances, count_needed(stored))
    nearly_all_at = _find_instances_date(stored, instances, count_nearly_all(stored))
    candidates = (
        (most_entries_at, most_at, MAX_TIME_WITHOUT_STORE),
        (most_entries_at, nearly_all_at, MAX_TIME_WITH_NEARLY_ALL),
        (
            _find_last_date(own_name, electorate, peers),
            most_at,
            MAX_TIME_WITH_NEARLY_ALL,
        ),
    )
    dates = [
        min(entries_at, instances_at)
        for entries_at, instances_at, limit in candidates
        if entries_at is not None
        and instances_at is not None
        and min(entries_at, instances_at) - sole_at < limit
    ]
    return max(dates, default=None)


def _find_last_date(
    own_name: str, electorate: Electorate, peers: Dates
) -> dt.datetime | None:
    """Return the latest time at which all other entries confirmed a leader."""
    others = set(electorate.names) - {own_name}
    if not others or not others <= peers.keys():
        return None
    return min(peers[name] for name in others)


def _find_instances_date(
    electorate: t.Collection[str], answered_at: Dates, needed: int
) -> dt.datetime | None:
    dates = sorted(
        (answered_at[name] for name in electorate if name in answered_at), reverse=True
    )
    return dates[needed - 1] if needed <= len(dates) else None


def find_majority(names: t.Collection[str]) -> int:
    """Return how many of ``names`` are more than half of them.

    >>> [find_majority("a" * size) for size in (0, 1, 2, 3)]
    [1, 1, 2, 2]
    """
    return len(names) // 2 + 1


def count_needed(instances: t.Collection[str]) -> int:
    """Return how many instances must confirm a leader.

    Of two, one suffices: otherwise either would be a single point of failure.

    >>> [count_needed("a" * size) for size in (0, 1, 2, 3, 4)]
    [1, 1, 1, 2, 3]
    """
    return 1 if len(instances) == 2 else find_majority(instances)


def count_nearly_all(instances: t.Collection[str]) -> int:
    """Return how many instances are nearly all of them.

    >>> [count_nearly_all("a" * size) for size in (0, 1, 2, 3, 4, 8)]
    [1, 1, 2, 3, 3, 6]
    """
    return max(1, math.ceil(NEARLY_ALL * len(instances)))


def find_majority_date(
    own_name: str, members: t.Collection[str], confirmed_at: Dates
) -> dt.datetime | None:
    """Return the latest time at which most members confirmed the leader ``own_name``.

    The leader counts as one of them. Peers that are no members don't count, and a
    leader without peers has nobody to tell it of a later leader, so that it returns
    ``None`` as without a majority.

    >>> at = dt.datetime(2030, 1, 1)
    >>> find_majority_date("a", ("a", "b", "c"), {"c": at}) == at
    True
    >>> find_majority_date("a", ("a", "b", "c", "d"), {"c": at}) is None
    True
    """
    peers = set(members) - {own_name}
    peers_needed = (len(peers) + 1) // 2
    dates = sorted(
        (date for peer, date in confirmed_at.items() if peer in peers), reverse=True
    )
    return dates[peers_needed - 1] if 0 < peers_needed <= len(dates) else None


def find_exclusion(
    own_name: str,
    electorate: Electorate | None,
    followed_at: Dates,
    since: dt.datetime,
    instances: t.Collection[str],
    age: dt.timedelta,
    possible_leaders: t.Collection[str] | None = None,
) -> Exclusion | None:
    """Return why no entry but the leader ``own_name`` can be confirmed any more.

    :param electorate: ``None`` if it is not known.
    :param followed_at: When each peer last followed the leader.
    :param since: Earlier dates don't count.
    :param instances: The instances that have answered the leader. They refuse the
        calls of earlier ones.
    :param age: Time since the leader was elected.
    :param possible_leaders: The entries that may act as an earlier leader; ``None`` if
        they are not known.
    :return: ``None`` if an earlier leader can be confirmed.
    """
    # An entry that follows this one has stepped down, or its earlier process has ended.
    if possible_leaders is not None and followed_at.keys() | {own_name} >= set(
        possible_leaders
    ):
        return Exclusion.LEADERS
    if electorate is None:
        return Exclusion.TIME if age >= MAX_TIME_WITH_NEARLY_ALL else None
    if is_followed(own_name, electorate.names, followed_at, since):
        return Exclusion.ENTRIES
    if electorate.instances is None:
        # An entry of an earlier version may act as long without all entries.
        return Exclusion.TIME if age >= MAX_TIME_WITH_NEARLY_ALL else None
    others = len(set(electorate.instances) - set(instances))
    if others < count_needed(electorate.instances):
        return Exclusion.INSTANCES
    followers = find_followers(followed_at, since) | {own_name}
    # Not all confirm an earlier leader while one of them follows this one.
    is_entry_missing = not followers.isdisjoint(electorate.names)
    is_limited = is_entry_missing and others < count_nearly_all(electorate.instances)
    limit = MAX_TIME_WITHOUT_STORE if is_limited else MAX_TIME_WITH_NEARLY_ALL
    return Exclusion.TIME if age >= limit else None


def measure_support(
    own_name: str,
    electorate: Electorate | None,
    followed_at: Dates,
    since: dt.datetime,
    instances: t.Collection[str],
) -> Support:
    """Return how much of the electorate supports the leader ``own_name``.

    The parameters are those of :func:`find_exclusion`.
    """
    if electorate is None:
        return Support()
    names, known = set(electorate.names), set(electorate.instances or ())
    followers = find_followers(followed_at, since) | {own_name}
    return Support(
        len(names & followers),
        len(names),
        len(known.intersection(instances)),
        len(known),
    )


def find_followers(followed_at: Dates, since: dt.datetime) -> set[str]:
    """Return the peers that have followed the leader since a time."""
    return {name for name, at in followed_at.items() if at >= since}


def is_followed(
    own_name: str,
    electorate: t.Collection[str],
    followed_at: Dates,
    since: dt.datetime,
) -> bool:
    """Whether the entries that don't follow ``own_name`` are too few for a majority.

    :param followed_at: When each peer last followed the entry.
    :param since: Earlier dates don't count.

    >>> at = dt.datetime(2030, 1, 1)
    >>> is_followed("a", ("a", "b", "c"), {"c": at}, at)
    True
    >>> is_followed("a", ("a", "b", "c"), {}, at)
    False
    """
    others = set(electorate) - find_followers(followed_at, since) - {own_name}
    # A leader without peers is never confirmed by any.
    return len(others) < max(find_majority(set(electorate)), 2)


def may_act(
    now: dt.datetime, confirmed_at: dt.datetime, authority_timeout: dt.timedelta
) -> bool:
    """Whether a leader last confirmed at ``confirmed_at`` may still send orders.

    :param authority_timeout: How long it may act without another confirmation.
    """
    return now - confirmed_at < authority_timeout
