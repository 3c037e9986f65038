"""Callers by their canonical names, and suggestions for unknown spellings."""

import re
import typing as t
import unicodedata

from attrs import frozen
from rapidfuzz import fuzz, process

from .exceptions import RequestError
from .model import Caller, Inventory

#: Longest name of a caller, in characters.
MAX_NAME_LENGTH = 120
#: Least similarity, out of 100, at which a name is suggested.
LEAST_SIMILARITY = 70
#: Names that are suggested for one spelling.
MAX_SUGGESTIONS = 3

_SEPARATORS = re.compile(r"[\W_]+")


@frozen
class Suggestion:
    """A spelling that no declaration knows, with the nearest names.

    :param seen: Requests that arrived under the spelling.
    """

    spelling: str
    seen: int
    nearest: tuple[str, ...]


def fold(name: str) -> str:
    """Return ``name`` without case, accents, punctuation and Unicode form.

    >>> fold("Smolyan  Wórkshop")
    'smolyan-workshop'
    """
    decomposed = unicodedata.normalize("NFKD", name)
    plain = "".join(c for c in decomposed if not unicodedata.combining(c))
    return _SEPARATORS.sub("-", plain.casefold()).strip("-")


def build_index(inventory: Inventory) -> dict[str, str]:
    """Return the canonical name by folded spelling."""
    index: dict[str, str] = {}
    for caller in inventory.callers.values():
        for spelling in (caller.name, *caller.aliases):
            index[fold(spelling)] = caller.name
    return index


def canonical_name(index: t.Mapping[str, str], spelling: str) -> str:
    """Return the declared name of a caller, or the folded spelling itself.

    :raises RequestError: If there is no usable name.
    """
    folded = fold(spelling)
    if not folded or len(spelling) > MAX_NAME_LENGTH:
        raise RequestError(
            "The caller's name is missing or too long.",
            f"Send a Caller header of 1 to {MAX_NAME_LENGTH} characters.",
        )
    return index.get(folded, folded)


def suggest(
    seen: t.Mapping[str, int], callers: t.Iterable[Caller]
) -> tuple[Suggestion, ...]:
    """Return the nearest declared names for each unknown spelling.

    Nothing is merged; an operator accepts a suggestion by adding an alias.
    """
    names = {caller.name: fold(caller.name) for caller in callers}
    suggestions = []
    for spelling, count in sorted(seen.items(), key=lambda pair: -pair[1]):
        found = process.extract(
            fold(spelling),
            names,
            scorer=fuzz.WRatio,
            limit=MAX_SUGGESTIONS,
            score_cutoff=LEAST_SIMILARITY,
        )
        nearest = tuple(name for _folded, _score, name in found)
        suggestions.append(Suggestion(spelling, count, nearest))
    return tuple(suggestions)
