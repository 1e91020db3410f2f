"""Tests of upstream selection: load, zones, ejection and slow start."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.routing.const import (
    FAILURES_BEFORE_EJECTION,
    FIRST_EJECTION_S,
    SLOW_START_S,
)
from cardamomnotch_core.routing.router import RoutingError

from tests.fixtures.routing_harness import RoutingHarness

_OTHER_ZONE = "domzale"


def _eject(world, vm_id, now_s=0.0):
    for _ in range(FAILURES_BEFORE_EJECTION):
        world.router.health.record_failure(vm_id, now_s)


def test_same_zone_upstream_below_limit_is_preferred(world):
    """Other zones are not used while the own zone has capacity."""
    world.add("same-zone", in_flight=7)
    world.add("other-zone", zone=_OTHER_ZONE)
    assert world.choose().upstream.vm_id == "same-zone"


def test_other_zone_is_used_when_zone_is_full(world):
    """A full zone overflows to another; if all are full, any is chosen."""
    world.add("same-zone", in_flight=8)
    world.add("other-zone", zone=_OTHER_ZONE, in_flight=2)
    assert world.choose().upstream.vm_id == "other-zone"
    world.add("other-zone", in_flight=8)
    assert world.choose().upstream.vm_id in {"same-zone", "other-zone"}


def test_load_is_spread_between_load_reports(world):
    """The entry counts its own attempts at once, so limits are respected."""
    for index in range(4):
        world.add(f"engine-{index}", limit=10)
    counts = Counter(world.send(40))
    assert max(counts.values()) <= 10
    assert len(counts) == 4


def test_burst_is_spread_over_upstreams(world):
    """A burst between reports gives no upstream more than twice the mean."""
    for index in range(20):
        world.add(f"engine-{index:02}", limit=64)
    counts = Counter(world.send(400))
    assert max(counts.values()) <= 2 * 400 / 20


def test_stale_load_report_loses_weight(world):
    """An old report of a full upstream no longer excludes it."""
    world.add("old", in_flight=8, now_s=0.0)
    world.add("new", in_flight=6, now_s=2.9)
    assert set(world.send(2, now_s=2.9)) == {"old"}


@pytest.mark.parametrize(
    "returned_state",
    [
        pytest.param({"incarnation": "i2"}, id="restarted"),
        pytest.param({"accepting": True}, id="reachable again"),
    ],
)
def test_returned_upstream_starts_slowly(world, returned_state):
    """A returned upstream receives only a small share of a burst."""
    world.add("returned", limit=20)
    world.add("other", in_flight=5, limit=20)
    world.add("returned", limit=20, accepting=False, now_s=1.0)
    world.add("returned", limit=20, now_s=1.0, **returned_state)
    assert Counter(world.send(12, now_s=1.0))["returned"] <= 3
    assert world.router.health.slow_start_share("returned", 1.0 + SLOW_START_S) == 1.0


def test_repeated_ejection_lasts_twice_as_long(world):
    """Consecutive failures eject; the second ejection lasts twice as long."""
    for vm_id in ("bad", "good", "fine"):
        world.add(vm_id)
    health = world.router.health
    _eject(world, "bad", 0.0)
    assert set(world.send(20, now_s=1.0)) == {"good", "fine"}
    assert not health.is_ejected("bad", FIRST_EJECTION_S)
    _eject(world, "bad", 10.0)
    assert health.is_ejected("bad", 10.0 + 1.9 * FIRST_EJECTION_S)
    assert not health.is_ejected("bad", 10.0 + 2 * FIRST_EJECTION_S)


def test_at_most_half_of_upstreams_are_ejected(world):
    """If all upstreams fail, half of them remain selectable."""
    vm_ids = [f"engine-{index}" for index in range(4)]
    for vm_id in vm_ids:
        world.add(vm_id)
    for vm_id in vm_ids:
        _eject(world, vm_id)
    not_ejected = [
        item for item in vm_ids if not world.router.health.is_ejected(item, 0.0)
    ]
    assert len(not_ejected) == 2


@pytest.mark.parametrize(
    "marks",
    [
        pytest.param({"zones_out": ("ljubljana-a",)}, id="zone out"),
        pytest.param({"vms_out": ("same-zone",)}, id="VM out"),
    ],
)
def test_upstream_out_of_service_is_not_selected(world, marks):
    """The next decision respects a zone or VM taken out of service."""
    world.add("same-zone")
    world.add("other-zone", zone=_OTHER_ZONE)
    assert world.choose().upstream.vm_id == "same-zone"
    world.mark_out_of_service(**marks)
    assert world.choose().upstream.vm_id == "other-zone"


def test_unresponsive_upstream_is_not_selected(world):
    """An upstream whose heartbeats have stopped is not selected."""
    world.add("unresponsive", now_s=0.0)
    with pytest.raises(RoutingError) as raised:
        world.choose(now_s=10.0)
    assert raised.value.retry_after_s


@given(
    data=st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 12), st.booleans()),
        min_size=1,
        max_size=12,
    ),
    tried=st.frozensets(st.integers(0, 11)),
)
def test_selected_upstream_is_always_available(data, tried):
    """An available upstream is selected for any load and health."""
    world = RoutingHarness()
    tried_vm_ids = frozenset(f"engine-{index}" for index in tried)
    available = set()
    for index, (in_flight, failures, accepting) in enumerate(data):
        vm_id = f"engine-{index}"
        world.add(vm_id, in_flight=in_flight, accepting=accepting)
        for _ in range(failures):
            world.router.health.record_failure(vm_id, 0.0)
        if accepting and vm_id not in tried_vm_ids:
            available.add(vm_id)
    if not available:
        with pytest.raises(RoutingError):
            world.choose(tried=tried_vm_ids)
        return
    assert world.choose(tried=tried_vm_ids).upstream.vm_id in available
