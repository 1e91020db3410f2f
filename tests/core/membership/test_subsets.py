"""Which upstreams an entry uses."""

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
from cardamomnotch_core.membership.rendezvous import choose_spread
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


def _used(entries, upstreams, names=()):
    """Return what each entry uses."""
    listed = [*entries, *upstreams]
    return {
        entry.vm_id: SubsetChooser(entry.vm_id, entry.zone).choose(listed, names)
        for entry in entries
    }


def test_small_fleet_is_used_whole():
    """With no more upstreams than a subset holds, each entry uses all."""
    upstreams = _vms("upstream", UPSTREAMS_PER_VERSION)
    used = _used(_vms("entry", 3), upstreams)
    assert all(len(chosen) == len(upstreams) for chosen in used.values())


@pytest.mark.parametrize("lost_zone", [None, *_ZONES])
@pytest.mark.parametrize("upstream_count", [100, 600])
def test_every_upstream_is_covered_without_a_zone(upstream_count, lost_zone):
    """With any zone's entries gone, every upstream is still used by two."""
    used = _used(_vms("entry", 30), _vms("upstream", upstream_count))
    zones = {vm.vm_id: vm.zone for vm in _vms("entry", 30)}
    counts = Counter(
        vm.vm_id
        for entry_id, chosen in used.items()
        for vm in chosen
        if zones[entry_id] != lost_zone
    )
    least = ENTRIES_PER_UPSTREAM if lost_zone is None else 2
    assert len(counts) == upstream_count
    assert min(counts.values()) >= least


def test_subset_is_spread_over_zones():
    """An entry's subset holds as many upstreams of each zone, give or take."""
    chosen = choose_spread("entry-0", _vms("upstream", 300), UPSTREAMS_PER_VERSION)
    counts = Counter(vm.zone for vm in chosen)
    assert set(counts) == set(_ZONES)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_subset_grows_with_the_names_that_share_a_label():
    """A pool that may hold several versions is used more widely."""
    names = ("drafter/v1", "drafter/v2", "booking")
    upstreams = _vms("upstream", 300, serves=("drafter",))
    entries = _vms("entry", 300)
    chosen = SubsetChooser("entry-0", "a").choose([*entries, *upstreams], names)
    plain = SubsetChooser("entry-0", "a").choose([*entries, *upstreams])
    assert len(chosen) > len(plain) >= UPSTREAMS_PER_VERSION


@given(
    count=st.integers(2, 60),
    lost=st.integers(0, 59),
    zone_count=st.integers(1, 5),
)
def test_a_member_that_goes_moves_one_place(count, lost, zone_count):
    """Whoever uses a VM that goes takes one other; nobody else moves."""
    members = _vms("upstream", count, zones="abcde"[:zone_count])
    left = [vm for index, vm in enumerate(members) if index != lost % count]
    before = set(choose_spread("entry-0", members, 16))
    after = set(choose_spread("entry-0", left, 16))
    assert len(after - before) <= 1
    if members[lost % count] not in before:
        assert after == before


def test_entries_do_not_all_move_to_the_same_upstream():
    """What a lost upstream was used for is taken up by many others."""
    members = _vms("upstream", 100)
    moved = Counter()
    for entry in _vms("entry", 100):
        before = set(choose_spread(entry.vm_id, members, 16))
        if members[0] in before:
            moved.update(set(choose_spread(entry.vm_id, members[1:], 16)) - before)
    assert sum(moved.values()) >= 5
    assert max(moved.values()) <= sum(moved.values()) / 2


def test_peers_are_a_few_of_every_zone():
    """An entry exchanges revisions with a few others, never with itself."""
    table = PeerTable("entry-0")
    table.take_vm_list(_vms("entry", 30))
    assert len(table.peers) == PEERS_PER_ENTRY
    assert {peer.zone for peer in table.peers} == set(_ZONES)
    assert "entry-0" not in {peer.vm_id for peer in table.peers}
