"""Which upstream a request is tried on."""

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

from tests.fixtures.decisions import RoutingWorld

_FAR = "domzale"


def _fail(world, vm_id, now_s=0.0):
    for _ in range(FAILURES_BEFORE_EJECTION):
        world.router.health.record_failure(vm_id, now_s)


def test_near_upstream_with_room_goes_first(world):
    """Another zone is not asked while the own one has room."""
    world.add("near", in_flight=7)
    world.add("far", zone=_FAR)
    assert world.choose().upstream.vm_id == "near"


def test_full_zone_spills_before_refusing(world):
    """A full zone spills to another; with all full the gate is asked."""
    world.add("near", in_flight=8)
    world.add("far", zone=_FAR, in_flight=2)
    assert world.choose().upstream.vm_id == "far"
    world.add("far", in_flight=8)
    assert world.choose().upstream.vm_id in {"near", "far"}


def test_no_herd_between_load_reports(world):
    """Own attempts count at once, so no upstream goes over its limit."""
    for index in range(4):
        world.add(f"engine-{index}", limit=10)
    counts = Counter(world.send(40))
    assert max(counts.values()) <= 10
    assert len(counts) == 4


def test_two_choices_spread_a_burst(world):
    """A burst from one report leaves no upstream far above the mean."""
    for index in range(20):
        world.add(f"engine-{index:02}", limit=64)
    counts = Counter(world.send(400))
    assert max(counts.values()) <= 2 * 400 / 20


def test_stale_report_loses_weight(world):
    """A report of a full upstream does not keep it idle for ever."""
    world.add("old", in_flight=8, now_s=0.0)
    world.add("new", in_flight=6, now_s=2.9)
    assert set(world.send(2, now_s=2.9)) == {"old"}


@pytest.mark.parametrize(
    "comes_back",
    [
        pytest.param({"incarnation": "i2"}, id="restarted"),
        pytest.param({"accepting": True}, id="reachable again"),
    ],
)
def test_upstream_just_back_is_not_herded_onto(world, comes_back):
    """One that is back gets a growing part, not all of a burst."""
    world.add("back", limit=20)
    world.add("other", in_flight=5, limit=20)
    world.add("back", limit=20, accepting=False, now_s=1.0)
    world.add("back", limit=20, now_s=1.0, **comes_back)
    assert Counter(world.send(12, now_s=1.0))["back"] <= 3
    assert world.router.health.slow_start_share("back", 1.0 + SLOW_START_S) == 1.0


def test_failing_upstream_is_ejected_for_a_growing_time(world):
    """Failures in a row eject; the second ejection lasts twice as long."""
    for vm_id in ("bad", "good", "fine"):
        world.add(vm_id)
    health = world.router.health
    _fail(world, "bad", 0.0)
    assert set(world.send(20, now_s=1.0)) == {"good", "fine"}
    assert not health.is_ejected("bad", FIRST_EJECTION_S)
    _fail(world, "bad", 10.0)
    assert health.is_ejected("bad", 10.0 + 1.9 * FIRST_EJECTION_S)
    assert not health.is_ejected("bad", 10.0 + 2 * FIRST_EJECTION_S)


def test_never_all_upstreams_are_ejected(world):
    """When everything fails, at least half stays in the choice."""
    vm_ids = [f"engine-{index}" for index in range(4)]
    for vm_id in vm_ids:
        world.add(vm_id)
    for vm_id in vm_ids:
        _fail(world, vm_id)
    kept = [item for item in vm_ids if not world.router.health.is_ejected(item, 0.0)]
    assert len(kept) == 2


@pytest.mark.parametrize(
    "marks",
    [
        pytest.param({"zones_out": ("ljubljana-a",)}, id="zone out"),
        pytest.param({"vms_out": ("near",)}, id="VM out"),
    ],
)
def test_marked_out_upstream_gets_nothing(world, marks):
    """A mark is seen by the next decision, without a rebuild by hand."""
    world.add("near")
    world.add("far", zone=_FAR)
    assert world.choose().upstream.vm_id == "near"
    world.mark(**marks)
    assert world.choose().upstream.vm_id == "far"


def test_silent_upstream_gets_nothing(world):
    """An upstream whose reports stopped is not asked."""
    world.add("silent", now_s=0.0)
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
def test_choice_is_always_one_that_may_be_asked(data, tried):
    """Whatever loads and health are, a choice is able, and is found if any is."""
    world = RoutingWorld()
    excluded = frozenset(f"engine-{index}" for index in tried)
    able = set()
    for index, (in_flight, failures, accepting) in enumerate(data):
        vm_id = f"engine-{index}"
        world.add(vm_id, in_flight=in_flight, accepting=accepting)
        for _ in range(failures):
            world.router.health.record_failure(vm_id, 0.0)
        if accepting and vm_id not in excluded:
            able.add(vm_id)
    if not able:
        with pytest.raises(RoutingError):
            world.choose(tried=excluded)
        return
    assert world.choose(tried=excluded).upstream.vm_id in able
