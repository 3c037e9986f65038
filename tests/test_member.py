"""Tests of membership, claims and the revision in force."""

import datetime as dt

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from pyrsistent import pmap

from fighead import message as m
from fighead.decisions import member, ownership
from fighead.decisions import member_claims as claiming
from fighead.decisions import member_state as states
from fighead.decisions.life import ClaimStage, Life
from fighead.model import Claim, Instance, Inventory, Member, Revision, Upstream

NOW = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
INVENTORY = Inventory(
    ("a", "b"),
    {},
    {
        f"i{n}": Instance(
            f"i{n}", "u", "r", "ab"[n % 2], f"http://h:{n}", 8, 64, 64, 1 << 38
        )
        for n in range(6)
    },
    {"u": Upstream("u")},
)
MEMBERS = pmap(
    {name: Member(name, zone, "tcp://h:1") for name, zone in (("e1", "a"), ("e2", "b"))}
)


def revision(number):
    return Revision(number, INVENTORY)


def loaded(state, claims=None, members=MEMBERS, at=10, number=1, now=NOW):
    msg = states.ControlLoaded(at, members, pmap(claims or {}), revision(number))
    return member.decide(state, msg, now)


def make_state():
    state = states.MemberState(MEMBERS["e1"])
    return member.decide(state, states.LeaseGranted(7), NOW).state


def wanted(step):
    return {e.resource for e in step.effects if isinstance(e, states.WriteClaim)}


def own_all(step):
    state = step.state
    for epoch, resource in enumerate(sorted(wanted(step)), start=20):
        state = member.decide(state, states.ClaimWon(resource, epoch), NOW).state
    return state


def test_an_entry_claims_what_it_is_preferred_for():
    step = loaded(make_state())
    inside = {"instance/i0", "instance/i2", "instance/i4"}
    assert inside <= wanted(step) <= inside | {"line/u"}


def test_claims_of_a_missing_entry_are_taken_later():
    alone = pmap({"e1": MEMBERS["e1"]})
    assert len(wanted(loaded(make_state(), members=alone))) == 7
    step = loaded(make_state())
    later = NOW + dt.timedelta(seconds=10)
    rest = wanted(member.decide(step.state, m.Tick(), later))
    assert wanted(step) | rest == set(ownership.resources_of(INVENTORY))


def test_a_lapsed_lease_orphans_instances_and_gives_up_lines():
    alone = pmap({"e1": MEMBERS["e1"]})
    state = own_all(loaded(make_state(), members=alone))
    step = member.decide(state, states.LeaseLapsed(), NOW)
    retired = {e.resource for e in step.effects if type(e) is states.RetireResource}
    assert retired == {"line/u"}
    stages = {own.stage for own in step.state.own.values()}
    assert stages == {ClaimStage.ORPHANED}
    again = member.decide(step.state, states.LeaseGranted(8), NOW)
    assert "instance/i0" in wanted(again)


def test_an_orphan_yields_to_anothers_claim():
    alone = pmap({"e1": MEMBERS["e1"]})
    state = own_all(loaded(make_state(), members=alone))
    state = member.decide(state, states.LeaseLapsed(), NOW).state
    claims = {"instance/i0": Claim("instance/i0", "e2", 90)}
    step = loaded(state, claims, at=95)
    retired = {e.resource for e in step.effects if type(e) is states.RetireResource}
    assert retired == {"instance/i0"}
    assert step.state.own["instance/i2"].stage is ClaimStage.ORPHANED


def test_drain_closes_every_claim_and_then_ends():
    state = own_all(loaded(make_state()))
    held = set(state.own)
    step = member.decide(state, m.Stop(), NOW)
    closed = {e.resource for e in step.effects if type(e) is states.CloseResource}
    assert closed == held
    state = member.decide(step.state, states.FrontIdle(), NOW).state
    for resource in held:
        state = member.decide(state, states.ResourceClosed(resource), NOW).state
        step = member.decide(state, states.ClaimDropped(resource), NOW)
        state = step.state
    assert any(isinstance(effect, states.EndEntry) for effect in step.effects)
    assert state.life is Life.STOPPED


def test_second_stop_changes_nothing():
    state = member.decide(make_state(), m.Stop(), NOW).state
    assert member.decide(state, m.Stop(), NOW).state == state


def test_a_claim_that_was_written_after_it_was_given_up_is_served():
    # Regression: nobody served the resource while the lease lived.
    state = loaded(make_state()).state
    state = member.decide(state, states.ClaimFailed("instance/i0"), NOW).state
    claims = {"instance/i0": Claim("instance/i0", "e1", 30)}
    state = loaded(state, claims, at=31).state
    # The repeat of the write finds the key in place and fails as well.
    step = member.decide(state, states.ClaimFailed("instance/i0"), NOW)
    assert states.OpenResource("instance/i0", 30) not in step.effects
    later = NOW + claiming.STRAY_DELAY
    step = member.decide(step.state, m.Tick(), later)
    assert states.OpenResource("instance/i0", 30) in step.effects
    assert step.state.own["instance/i0"].epoch == 30


def test_better_suited_entry_gets_a_resource_after_a_while():
    alone = pmap({"e1": MEMBERS["e1"]})
    state = own_all(loaded(make_state(), members=alone))
    state = loaded(state, state.claims, at=99).state
    later = NOW + ownership.HANDOVER_DELAY
    step = member.decide(state, m.Tick(), later)
    closed = {e.resource for e in step.effects if type(e) is states.CloseResource}
    assert 0 < len(closed) <= claiming.HANDOVERS_AT_ONCE


@settings(max_examples=100, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["store", "peer"]), st.integers(1, 9)), max_size=20
    )
)
def test_revision_never_goes_back(told):
    state, highest = make_state(), 0
    for at, (source, number) in enumerate(told, start=10):
        if source == "store":
            state = loaded(state, at=at, number=number).state
        else:
            heard = states.RevisionHeard(revision(number))
            state = member.decide(state, heard, NOW).state
        highest = max(highest, number)
        assert state.revision.number == highest
        assert state.me.applied_revision == highest


def test_news_from_the_past_are_ignored():
    state = loaded(make_state(), at=50).state
    claims = {"line/u": Claim("line/u", "e9", 3)}
    assert "line/u" not in loaded(state, claims, at=40).state.claims


def test_isolated_entry_is_not_ready():
    state = loaded(make_state()).state
    state = member.decide(state, states.StoreSeen(True), NOW).state
    assert member.is_ready(state, NOW)
    later = NOW + member.ISOLATION_LIMIT
    assert not member.is_ready(state, later)
    state = member.decide(state, states.PeerSeen(), later).state
    assert member.is_ready(state, later)


def test_control_after_the_stop_changes_no_stage():
    # Regression: news that came after the end raised NoTransition.
    state = evolve(make_state(), life=Life.STOPPED)
    assert loaded(state).state.life is Life.STOPPED


@pytest.mark.parametrize("entries", [1, 2, 3, 9])
def test_owners_are_spread_evenly(entries):
    members = [Member(f"e{n}", "ab"[n % 2], "tcp://h:1") for n in range(entries)]
    zones = {f"instance/i{n}": "ab"[n % 2] for n in range(24)}
    owners = ownership.assign_owners(zones, members)
    assert len(owners) == 24
    for zone in "ab":
        local = [m.name for m in members if m.availability_zone == zone]
        held = [owner for name, owner in owners.items() if zones[name] == zone]
        names = local or [m.name for m in members]
        assert set(held) <= set(names)
        assert max(held.count(name) for name in names) <= -(-12 // len(names))
