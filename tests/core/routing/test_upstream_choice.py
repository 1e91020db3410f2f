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


def _eject(harness, vm_id, now_s=0.0):
    for _ in range(FAILURES_BEFORE_EJECTION):
        harness.router.health.record_failure(vm_id, now_s)


def test_same_zone_upstream_below_limit_is_preferred(harness):
    """Other zones are not used while the own zone has capacity."""
    harness.add("same-zone", in_flight=7)
    harness.add("other-zone", zone=_OTHER_ZONE)
    assert harness.choose().upstream.vm_id == "same-zone"


def test_other_zone_is_used_when_zone_is_full(harness):
    """A full zone overflows to another; if all are full, any is chosen."""
    harness.add("same-zone", in_flight=8)
    harness.add("other-zone", zone=_OTHER_ZONE, in_flight=2)
    assert harness.choose().upstream.vm_id == "other-zone"
    harness.add("other-zone", in_flight=8)
    assert harness.choose().upstream.vm_id in {"same-zone", "other-zone"}


def test_load_is_spread_between_load_reports(harness):
    """The entry counts its own attempts at once, so limits are respected."""
    for index in range(4):
        harness.add(f"engine-{index}", limit=10)
    counts = Counter(harness.send(40))
    assert max(counts.values()) <= 10
    assert len(counts) == 4


def test_burst_is_spread_over_upstreams(harness):
    """A burst between reports gives no upstream more than twice the mean."""
    for index in range(20):
        harness.add(f"engine-{index:02}", limit=64)
    counts = Counter(harness.send(400))
    assert max(counts.values()) <= 2 * 400 / 20


def test_stale_load_report_loses_weight(harness):
    """An old report of a full upstream no longer excludes it."""
    harness.add("old", in_flight=8, now_s=0.0)
    harness.add("new", in_flight=6, now_s=2.9)
    assert set(harness.send(2, now_s=2.9)) == {"old"}


@pytest.mark.parametrize(
    "returned_state",
    [
        pytest.param({"incarnation": "i2"}, id="restarted"),
        pytest.param({"accepting": True}, id="reachable again"),
    ],
)
def test_returned_upstream_starts_slowly(harness, returned_state):
    """A returned upstream receives only a small share of a burst."""
    harness.add("returned", limit=20)
    harness.add("other", in_flight=5, limit=20)
    harness.add("returned", limit=20, accepting=False, now_s=1.0)
    harness.add("returned", limit=20, now_s=1.0, **returned_state)
    assert Counter(harness.send(12, now_s=1.0))["returned"] <= 3
    assert harness.router.health.slow_start_share("returned", 1.0 + SLOW_START_S) == 1.0


def test_repeated_ejection_lasts_twice_as_long(harness):
    """Consecutive failures eject; the second ejection lasts twice as long."""
    for vm_id in ("bad", "good", "fine"):
        harness.add(vm_id)
    health = harness.router.health
    _eject(harness, "bad", 0.0)
    assert set(harness.send(20, now_s=1.0)) == {"good", "fine"}
    assert not health.is_ejected("bad", FIRST_EJECTION_S)
    _eject(harness, "bad", 10.0)
    assert health.is_ejected("bad", 10.0 + 1.9 * FIRST_EJECTION_S)
    assert not health.is_ejected("bad", 10.0 + 2 * FIRST_EJECTION_S)


def test_at_most_half_of_upstreams_are_ejected(harness):
    """If all upstreams fail, half of them remain selectable."""
    vm_ids = [f"engine-{index}" for index in range(4)]
    for vm_id in vm_ids:
        harness.add(vm_id)
    for vm_id in vm_ids:
        _eject(harness, vm_id)
    not_ejected = [
        item for item in vm_ids if not harness.router.health.is_ejected(item, 0.0)
    ]
    assert len(not_ejected) == 2


@pytest.mark.parametrize(
    "marks",
    [
        pytest.param({"zones_out": ("ljubljana-a",)}, id="zone out"),
        pytest.param({"vms_out": ("same-zone",)}, id="VM out"),
    ],
)
def test_upstream_out_of_service_is_not_selected(harness, marks):
    """The next decision respects a zone or VM taken out of service."""
    harness.add("same-zone")
    harness.add("other-zone", zone=_OTHER_ZONE)
    assert harness.choose().upstream.vm_id == "same-zone"
    harness.mark_out_of_service(**marks)
    assert harness.choose().upstream.vm_id == "other-zone"


def test_unresponsive_upstream_is_not_selected(harness):
    """An upstream whose heartbeats have stopped is not selected."""
    harness.add("unresponsive", now_s=0.0)
    with pytest.raises(RoutingError) as raised:
        harness.choose(now_s=10.0)
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
    harness = RoutingHarness()
    tried_vm_ids = frozenset(f"engine-{index}" for index in tried)
    available = set()
    for index, (in_flight, failures, accepting) in enumerate(data):
        vm_id = f"engine-{index}"
        harness.add(vm_id, in_flight=in_flight, accepting=accepting)
        for _ in range(failures):
            harness.router.health.record_failure(vm_id, 0.0)
        if accepting and vm_id not in tried_vm_ids:
            available.add(vm_id)
    if not available:
        with pytest.raises(RoutingError):
            harness.choose(tried=tried_vm_ids)
        return
    assert harness.choose(tried=tried_vm_ids).upstream.vm_id in available
