"""Canonical names of callers, and suggestions for unknown spellings."""

import re
import typing as t
import unicodedata

from attrs import frozen
from rapidfuzz import fuzz, process

from .exceptions import RequestError
from .model import Caller, Inventory

#: Longest accepted spelling of a caller, in characters.
MAX_NAME_LENGTH = 120
#: Lowest similarity score, from 0 to 100, at which a name is suggested.
MIN_SIMILARITY = 70
#: Largest number of names suggested for one spelling.
MAX_SUGGESTIONS = 3

_SEPARATORS = re.compile(r"[\W_]+")


@frozen
class Suggestion:
    """A spelling that matches no declared name or alias.

    :param seen: Number of requests received with this spelling.
    :param nearest: Most similar declared names, best first; empty if there is none.
    """

    spelling: str
    seen: int
    nearest: tuple[str, ...]


def normalize_name(name: str) -> str:
    """Return ``name`` normalized for comparison.

    Ignores case, accents and Unicode form. Each run of other characters than
    letters and digits becomes one hyphen; none is left at either end.

    >>> normalize_name("Smolyan  Wórkshop")
    'smolyan-workshop'
    """
    decomposed = unicodedata.normalize("NFKD", name)
    plain = "".join(c for c in decomposed if not unicodedata.combining(c))
    return _SEPARATORS.sub("-", plain.casefold()).strip("-")


def build_index(inventory: Inventory) -> dict[str, str]:
    """Return a mapping from normalized names and aliases to canonical names."""
    index: dict[str, str] = {}
    for caller in inventory.callers.values():
        for spelling in (caller.name, *caller.aliases):
            index[normalize_name(spelling)] = caller.name
    return index


def canonical_name(index: t.Mapping[str, str], spelling: str) -> str:
    """Return the declared name of a caller, or the normalized spelling if unknown.

    :param index: Result of :func:`build_index`.
    :raises RequestError: If the spelling has no letter or digit, or is too long.
    """
    normalized = normalize_name(spelling)
    if not normalized or len(spelling) > MAX_NAME_LENGTH:
        raise RequestError(
            "The caller's name is missing, is too long, or has no letter or digit: "
            f"got {len(spelling)} characters.",
            f"Send a Caller header of 1 to {MAX_NAME_LENGTH} characters with at least "
            "one letter or digit.",
        )
    return index.get(normalized, normalized)


def suggest_names(
    seen: t.Mapping[str, int], callers: t.Iterable[Caller]
) -> tuple[Suggestion, ...]:
    """Return the most similar declared names for each unknown spelling.

    Requests are not attributed to a suggested caller until an operator adds the
    spelling to its aliases.

    :param seen: Number of requests by unknown spelling.
    :return: Suggestions, those with the most requests first.
    """
    names = {caller.name: normalize_name(caller.name) for caller in callers}
    suggestions = []
    for spelling, count in sorted(seen.items(), key=lambda pair: -pair[1]):
        matches = process.extract(
            normalize_name(spelling),
            names,
            scorer=fuzz.WRatio,
            limit=MAX_SUGGESTIONS,
            score_cutoff=MIN_SIMILARITY,
        )
        nearest = tuple(name for _normalized, _score, name in matches)
        suggestions.append(Suggestion(spelling, count, nearest))
    return tuple(suggestions)
