"""Garbage collection of a program that runs on a small share of a core."""

import gc

import pytest

from fighead.runtime import COLLECTION_THRESHOLDS, make_collections_rare


@pytest.fixture
def restored_collections():
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)


def test_objects_of_the_start_are_not_collected_again(restored_collections):
    kept = [[] for _ in range(50_000)]
    make_collections_rare()
    assert gc.get_freeze_count() >= len(kept)
    assert len(gc.get_objects()) < len(kept)
    assert gc.get_threshold() == COLLECTION_THRESHOLDS


def test_cycles_made_later_are_still_collected(restored_collections):
    make_collections_rare()
    cycle = []
    cycle.append(cycle)
    del cycle
    assert gc.collect() >= 1
