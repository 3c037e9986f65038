"""Tests of the choice of an instance for a check and of the retry budget."""

import datetime as dt

from fighead.decisions import dispatch
from fighead.decisions.dispatch import DispatchState
from fighead.message import InstanceLoad, View
from fighead.model import Claim, Instance, Inventory, Member, Revision, Upstream

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


def make_state(owners, leaving=()):
    instances = {
        name: Instance(name, "u", "r", "z", f"http://h:{i}", 8, 64, 64, 1 << 38)
        for i, name in enumerate(owners)
    }
    inventory = Inventory(("z",), {}, instances, {"u": Upstream("u")})
    routes = {
        f"instance/{name}": Claim(f"instance/{name}", owner, 1)
        for name, owner in owners.items()
    }
    members = {name: Member(name, "z", "tcp://h:1") for name in set(owners.values())}
    view = View(
        "me",
        members,
        routes,
        routes,
        Revision(1, inventory),
        platform_leaving=frozenset(leaving),
    )
    return DispatchState(view)


def load(name, **values):
    fields = {"batch_room": 0, "free_slots": 8, "queued_checks": 0} | values
    return InstanceLoad(name, "u", 1, "boot", **fields)


def test_own_instance_wins_over_equally_loaded_instance_of_peer():
    state = make_state({"a": "peer", "b": "me"})
    state = dispatch.record_loads(state, [load("a"), load("b")])
    assert dispatch.select_instance(state, "u", NOW) == "b"


def test_shorter_queue_wins_over_ownership():
    state = make_state({"a": "peer", "b": "me"})
    state = dispatch.record_loads(
        state, [load("a"), load("b", free_slots=0, queued_checks=9)]
    )
    assert dispatch.select_instance(state, "u", NOW) == "a"


def test_leaving_instances_and_silent_owners_are_avoided():
    state = make_state({"a": "me", "b": "peer", "c": "other"}, leaving=["a"])
    state = dispatch.record_message(state, "peer", NOW - dt.timedelta(seconds=5))
    state = dispatch.record_message(state, "other", NOW)
    assert dispatch.select_instance(state, "u", NOW) == "c"


def test_quarantined_instances_are_avoided_but_never_all():
    state = make_state({"a": "me", "b": "me", "c": "me"})
    loads = [load("a", quarantined=True), load("b"), load("c")]
    assert (
        dispatch.select_instance(dispatch.record_loads(state, loads), "u", NOW) != "a"
    )
    loads = [load(name, quarantined=True) for name in "abc"]
    assert dispatch.select_instance(dispatch.record_loads(state, loads), "u", NOW)


def test_retries_stay_within_their_budget():
    state, retries = make_state({"a": "me"}), 0
    for _ in range(1000):
        state = dispatch.credit_retry_budget(state, "u")
        spent = dispatch.spend_retry(state, "u")
        if spent is not None:
            state, retries = spent, retries + 1
    assert retries <= 1000 * dispatch.RETRY_RATIO + dispatch.MAX_AVAILABLE_RETRIES
