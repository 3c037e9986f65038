"""Tests of membership, claims and the applied revision of an entry."""

import datetime as dt

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st
from pyrsistent import pmap

from fighead import message as m
from fighead.decisions import member, member_claims, ownership
from fighead.decisions import member_state as states
from fighead.decisions.lifecycle import ClaimStage, EntryStage
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


def load_control(
    state, claims=None, members=MEMBERS, store_revision=10, number=1, now=NOW
):
    msg = states.ControlLoaded(
        store_revision, members, pmap(claims or {}), revision(number)
    )
    return member.decide(state, msg, now)


def make_state():
    state = states.MemberState(MEMBERS["e1"])
    return member.decide(state, states.LeaseGranted(7), NOW).state


def claimed_resources(step):
    return {e.resource for e in step.effects if isinstance(e, states.WriteClaim)}


def win_all_claims(step):
    state = step.state
    for epoch, resource in enumerate(sorted(claimed_resources(step)), start=20):
        state = member.decide(state, states.ClaimWon(resource, epoch), NOW).state
    return state


def test_entry_claims_the_resources_it_is_the_preferred_owner_of():
    step = load_control(make_state())
    local = {"instance/i0", "instance/i2", "instance/i4"}
    assert local <= claimed_resources(step) <= local | {"line/u"}


def test_resources_preferred_for_a_missing_entry_are_claimed_after_a_delay():
    alone = pmap({"e1": MEMBERS["e1"]})
    assert len(claimed_resources(load_control(make_state(), members=alone))) == 7
    step = load_control(make_state())
    later = NOW + dt.timedelta(seconds=10)
    rest = claimed_resources(member.decide(step.state, m.Tick(), later))
    assert claimed_resources(step) | rest == set(ownership.zones_by_resource(INVENTORY))


def test_expired_lease_orphans_instances_and_retires_lines():
    alone = pmap({"e1": MEMBERS["e1"]})
    state = win_all_claims(load_control(make_state(), members=alone))
    step = member.decide(state, states.LeaseExpired(), NOW)
    retired = {e.resource for e in step.effects if type(e) is states.RetireResource}
    assert retired == {"line/u"}
    stages = {own_claim.stage for own_claim in step.state.own_claims.values()}
    assert stages == {ClaimStage.ORPHANED}
    again = member.decide(step.state, states.LeaseGranted(8), NOW)
    assert "instance/i0" in claimed_resources(again)


def test_orphan_is_retired_when_another_entry_claims_it():
    alone = pmap({"e1": MEMBERS["e1"]})
    state = win_all_claims(load_control(make_state(), members=alone))
    state = member.decide(state, states.LeaseExpired(), NOW).state
    claims = {"instance/i0": Claim("instance/i0", "e2", 90)}
    step = load_control(state, claims, store_revision=95)
    retired = {e.resource for e in step.effects if type(e) is states.RetireResource}
    assert retired == {"instance/i0"}
    assert step.state.own_claims["instance/i2"].stage is ClaimStage.ORPHANED


def test_drain_closes_all_claims_and_then_ends_the_entry():
    state = win_all_claims(load_control(make_state()))
    held = state.own_claims
    step = member.decide(state, m.Stop(), NOW)
    closed = {e.resource for e in step.effects if type(e) is states.CloseResource}
    assert closed == set(held)
    state = member.decide(step.state, states.FrontDrained(), NOW).state
    for resource in held:
        state = member.decide(state, states.ResourceClosed(resource), NOW).state
        dropped = states.ClaimDropped(resource, held[resource].epoch)
        step = member.decide(state, dropped, NOW)
        state = step.state
    assert any(isinstance(effect, states.EndEntry) for effect in step.effects)
    assert state.stage is EntryStage.STOPPED


def test_late_answer_to_a_drop_keeps_a_newer_own_claim():
    # Regression: the claim was forgotten and written a second time.
    state = load_control(make_state()).state
    assert state.own_claims["instance/i0"].stage is ClaimStage.CLAIMING
    step = member.decide(state, states.ClaimDropped("instance/i0", 15), NOW)
    assert "instance/i0" not in claimed_resources(step)
    assert step.state.own_claims["instance/i0"].stage is ClaimStage.CLAIMING


def test_second_stop_is_ignored():
    state = member.decide(make_state(), m.Stop(), NOW).state
    assert member.decide(state, m.Stop(), NOW).state == state


def test_claim_written_after_it_was_reported_as_failed_is_served():
    # Regression: no entry served the resource until the lease expired.
    state = load_control(make_state()).state
    state = member.decide(state, states.ClaimFailed("instance/i0"), NOW).state
    claims = {"instance/i0": Claim("instance/i0", "e1", 30)}
    state = load_control(state, claims, store_revision=31).state
    # The retried write finds the existing key and fails as well.
    step = member.decide(state, states.ClaimFailed("instance/i0"), NOW)
    assert states.OpenResource("instance/i0", 30) not in step.effects
    later = NOW + member_claims.UNTRACKED_CLAIM_DELAY
    step = member.decide(step.state, m.Tick(), later)
    assert states.OpenResource("instance/i0", 30) in step.effects
    assert step.state.own_claims["instance/i0"].epoch == 30


def test_resource_is_handed_over_to_its_preferred_owner_after_the_delay():
    alone = pmap({"e1": MEMBERS["e1"]})
    state = win_all_claims(load_control(make_state(), members=alone))
    state = load_control(state, state.claims, store_revision=99).state
    later = NOW + ownership.HANDOVER_DELAY
    step = member.decide(state, m.Tick(), later)
    closed = {e.resource for e in step.effects if type(e) is states.CloseResource}
    assert 0 < len(closed) <= member_claims.MAX_CONCURRENT_HANDOVERS


@settings(max_examples=100, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from(["store", "peer"]), st.integers(1, 9)), max_size=20
    )
)
def test_applied_revision_number_never_decreases(received):
    state, highest = make_state(), 0
    for store_revision, (source, number) in enumerate(received, start=10):
        if source == "store":
            state = load_control(
                state, store_revision=store_revision, number=number
            ).state
        else:
            msg = states.RevisionReceived(revision(number))
            state = member.decide(state, msg, NOW).state
        highest = max(highest, number)
        assert state.revision.number == highest
        assert state.me.applied_revision == highest


def test_outdated_store_revision_is_ignored():
    state = load_control(make_state(), store_revision=50).state
    claims = {"line/u": Claim("line/u", "e9", 3)}
    assert "line/u" not in load_control(state, claims, store_revision=40).state.claims


def test_entry_without_contact_to_store_and_peers_is_not_ready():
    state = load_control(make_state()).state
    state = member.decide(state, states.StoreReachability(True), NOW).state
    assert member.is_ready(state, NOW)
    later = NOW + member.ISOLATION_LIMIT
    assert not member.is_ready(state, later)
    state = member.decide(state, states.PeerAnswered(), later).state
    assert member.is_ready(state, later)


def test_control_data_after_the_stop_keeps_the_entry_stopped():
    # Regression: control data that arrived after the end raised NoTransition.
    state = evolve(make_state(), stage=EntryStage.STOPPED)
    assert load_control(state).state.stage is EntryStage.STOPPED


@pytest.mark.parametrize("entries", [1, 2, 3, 9])
def test_resources_are_assigned_evenly(entries):
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
