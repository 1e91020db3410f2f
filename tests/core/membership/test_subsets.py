"""Tests of the choice of upstreams and peers."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.membership.const import (
    ENTRIES_PER_UPSTREAM,
    PEERS_PER_ENTRY,
    UPSTREAMS_PER_VERSION,
)
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.membership.peers import PeerTable
from cardamomnotch_core.membership.rendezvous import choose_across_zones
from cardamomnotch_core.membership.subsets import SubsetChooser

_ZONES = ("a", "b", "c")


def _vms(role, count, zones=_ZONES, serves=()):
    return [
        Vm(
            vm_id=f"{role}-{index}",
            address=f"10.0.0.1:{index + 1}",
            zone=zones[index % len(zones)],
            role=role,
            serves=serves,
        )
        for index in range(count)
    ]


def _choose_all(entries, upstreams, names=()):
    """Return the upstreams that each entry uses, by VM id of the entry."""
    listed = [*entries, *upstreams]
    return {
        entry.vm_id: SubsetChooser(entry.vm_id, entry.zone).choose(listed, names)
        for entry in entries
    }


def test_entries_of_a_small_fleet_use_all_upstreams():
    """With at most UPSTREAMS_PER_VERSION upstreams, each entry uses all."""
    upstreams = _vms("upstream", UPSTREAMS_PER_VERSION)
    used = _choose_all(_vms("entry", 3), upstreams)
    assert all(len(chosen) == len(upstreams) for chosen in used.values())


@pytest.mark.parametrize("lost_zone", [None, *_ZONES])
@pytest.mark.parametrize("upstream_count", [100, 600])
def test_every_upstream_is_used_if_a_zone_is_lost(upstream_count, lost_zone):
    """Without the entries of one zone, two entries still use each upstream."""
    used = _choose_all(_vms("entry", 30), _vms("upstream", upstream_count))
    zones = {vm.vm_id: vm.zone for vm in _vms("entry", 30)}
    counts = Counter(
        vm.vm_id
        for entry_id, chosen in used.items()
        for vm in chosen
        if zones[entry_id] != lost_zone
    )
    min_entries = ENTRIES_PER_UPSTREAM if lost_zone is None else 2
    assert len(counts) == upstream_count
    assert min(counts.values()) >= min_entries


def test_subset_is_balanced_across_zones():
    """The numbers of an entry's upstreams per zone differ by one at most."""
    chosen = choose_across_zones(
        "entry-0", _vms("upstream", 300), UPSTREAMS_PER_VERSION
    )
    counts = Counter(vm.zone for vm in chosen)
    assert set(counts) == set(_ZONES)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_subset_grows_with_the_versions_of_a_label():
    """More upstreams are used where a label stands for several versions."""
    names = ("drafter/v1", "drafter/v2", "booking")
    upstreams = _vms("upstream", 300, serves=("drafter",))
    entries = _vms("entry", 300)
    chosen = SubsetChooser("entry-0", "a").choose([*entries, *upstreams], names)
    chosen_without_names = SubsetChooser("entry-0", "a").choose([*entries, *upstreams])
    assert len(chosen) > len(chosen_without_names) >= UPSTREAMS_PER_VERSION


@given(
    count=st.integers(2, 60),
    lost=st.integers(0, 59),
    zone_count=st.integers(1, 5),
)
def test_removed_member_is_replaced_by_one_other(count, lost, zone_count):
    """A subset with the removed VM gets one other, any other subset none."""
    members = _vms("upstream", count, zones="abcde"[:zone_count])
    remaining = [vm for index, vm in enumerate(members) if index != lost % count]
    before = set(choose_across_zones("entry-0", members, 16))
    after = set(choose_across_zones("entry-0", remaining, 16))
    assert len(after - before) <= 1
    if members[lost % count] not in before:
        assert after == before


def test_entries_replace_a_removed_upstream_by_different_ones():
    """The replacements of a removed upstream are many different ones."""
    members = _vms("upstream", 100)
    replacements = Counter()
    for entry in _vms("entry", 100):
        before = set(choose_across_zones(entry.vm_id, members, 16))
        if members[0] in before:
            replacements.update(
                set(choose_across_zones(entry.vm_id, members[1:], 16)) - before
            )
    assert sum(replacements.values()) >= 5
    assert max(replacements.values()) <= sum(replacements.values()) / 2


def test_peers_are_chosen_across_zones():
    """An entry has PEERS_PER_ENTRY peers of all zones, and never itself."""
    table = PeerTable("entry-0")
    table.update_from_vm_list(_vms("entry", 30))
    assert len(table.peers) == PEERS_PER_ENTRY
    assert {peer.zone for peer in table.peers} == set(_ZONES)
    assert "entry-0" not in {peer.vm_id for peer in table.peers}
