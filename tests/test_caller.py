"""Tests of canonical names of callers and of suggestions for unknown spellings."""

import pytest

from fighead import caller
from fighead.exceptions import RequestError
from fighead.model import Caller, Inventory


@pytest.fixture
def index():
    declared = Caller("Smolyan Workshop", ("Smoljan Workshop",))
    return caller.build_index(Inventory(callers={declared.name: declared}))


@pytest.mark.parametrize(
    "spelling",
    ["Smolyan Workshop", "SMOLYAN  workshop", "Smólyan-Workshop", "smoljan workshop"],
)
def test_spellings_share_one_canonical_name(index, spelling):
    assert caller.canonical_name(index, spelling) == "Smolyan Workshop"


def test_similar_name_is_suggested_but_not_used(index):
    declared = Caller("Smolyan Workshop")
    assert caller.canonical_name(index, "Smolan Workshop") == "smolan-workshop"
    (suggestion,) = caller.suggest_names({"Smolan Workshop": 3}, [declared])
    assert suggestion.nearest == ("Smolyan Workshop",)


def test_name_without_letters_is_rejected(index):
    with pytest.raises(RequestError, match="Caller header of 1 to 120 characters"):
        caller.canonical_name(index, " - ")
