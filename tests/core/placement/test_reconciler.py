"""Placement orders: fencing, one at a time, repeated until confirmed."""

import pytest

from cardamomnotch_core.placement.const import ORDER_RETRY_S
from cardamomnotch_core.placement.reconciler import PlacementReconciler
from cardamomnotch_protocol.models import EnginePlacement

_PLACEMENT = EnginePlacement(serial=20, fencing=7, versions=("m/v2",))


@pytest.fixture
def reconciler():
    """Return a reconciler with a desired placement."""
    reconciler = PlacementReconciler()
    reconciler.set_desired_placement(_PLACEMENT)
    return reconciler


def _next_order(reconciler, loaded=("m/v1",), fencing=0, now_s=0.0):
    return reconciler.next_order(loaded=loaded, fencing=fencing, now_s=now_s)


@pytest.mark.parametrize(
    ("serial", "fencing"),
    [
        pytest.param(25, 6, id="older planner"),
        pytest.param(19, 7, id="older placement"),
    ],
)
def test_obsolete_placements_have_no_effect(reconciler, serial, fencing):
    """A placement from an outdated planner is counted and ignored."""
    reconciler.set_desired_placement(
        EnginePlacement(serial=serial, fencing=fencing, versions=("m/v9",))
    )
    assert _next_order(reconciler) == _PLACEMENT
    assert reconciler.obsolete_placements == 1


def test_one_order_at_a_time(reconciler):
    """No second order is sent during the first, nor right after it."""
    assert _next_order(reconciler) == _PLACEMENT
    assert _next_order(reconciler, now_s=1.0) is None
    reconciler.end_order(1.0)
    assert _next_order(reconciler, now_s=1.5) is None


def test_order_is_repeated_until_it_is_confirmed(reconciler):
    """An order is repeated until the engine reports the versions loaded."""
    for now_s in (0.0, ORDER_RETRY_S, 2 * ORDER_RETRY_S):
        assert _next_order(reconciler, now_s=now_s) == _PLACEMENT
        reconciler.end_order(now_s)
    assert _next_order(reconciler, loaded=("m/v2",), now_s=100.0) is None


def test_engine_with_a_higher_fencing_number_gets_no_order(reconciler):
    """An engine that has an order of a newer planner gets no older one."""
    assert _next_order(reconciler, fencing=8) is None


def test_restarted_engine_gets_its_order_again(reconciler):
    """An engine that lost its versions in a restart gets the order again."""
    _next_order(reconciler)
    reconciler.end_order(0.0)
    assert _next_order(reconciler, loaded=("m/v2",), now_s=10.0) is None
    assert _next_order(reconciler, loaded=(), now_s=20.0) == _PLACEMENT


def test_version_in_use_is_not_unloaded(reconciler):
    """No order is sent before attempts on an unloaded version have ended."""
    reconciler.start_attempt("attempt-1", "m/v1")
    assert reconciler.is_to_be_unloaded("m/v1")
    assert _next_order(reconciler) is None
    reconciler.end_attempt("attempt-1")
    assert _next_order(reconciler) == _PLACEMENT
