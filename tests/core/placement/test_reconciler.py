"""Orders are fenced, given one at a time and read back."""

import pytest

from cardamomnotch_core.placement.const import ORDER_RETRY_S
from cardamomnotch_core.placement.reconciler import PlacementReconciler
from cardamomnotch_protocol.models import EnginePlacement

_NEW = EnginePlacement(serial=20, fencing=7, versions=("m/v2",))


@pytest.fixture
def desk():
    """Return a desk that has taken a placement."""
    desk = PlacementReconciler()
    desk.set_desired_placement(_NEW)
    return desk


def _next(desk, loaded=("m/v1",), fencing=0, now_s=0.0):
    return desk.next_order(loaded=loaded, fencing=fencing, now_s=now_s)


@pytest.mark.parametrize(
    ("serial", "fencing"),
    [
        pytest.param(25, 6, id="older planner"),
        pytest.param(19, 7, id="older placement"),
    ],
)
def test_obsolete_placements_have_no_effect(desk, serial, fencing):
    """A paused planner's placement is counted and left out."""
    desk.set_desired_placement(
        EnginePlacement(serial=serial, fencing=fencing, versions=("m/v9",))
    )
    assert _next(desk) == _NEW
    assert desk.obsolete_placements == 1


def test_one_order_at_a_time(desk):
    """No second order while the first is open, nor before its read-back."""
    assert _next(desk) == _NEW
    assert _next(desk, now_s=1.0) is None
    desk.end_order(1.0)
    assert _next(desk, now_s=1.5) is None


def test_order_is_repeated_until_it_is_read_back(desk):
    """An interrupted order, or one not followed, is given again."""
    for now_s in (0.0, ORDER_RETRY_S, 2 * ORDER_RETRY_S):
        assert _next(desk, now_s=now_s) == _NEW
        desk.end_order(now_s)
    assert _next(desk, loaded=("m/v2",), now_s=100.0) is None


def test_engine_with_a_newer_fencing_number_is_left_alone(desk):
    """The engine has taken an order of a newer planner already."""
    assert _next(desk, fencing=8) is None


def test_restarted_engine_gets_its_order_again(desk):
    """An engine that lost its versions is ordered once more."""
    _next(desk)
    desk.end_order(0.0)
    assert _next(desk, loaded=("m/v2",), now_s=10.0) is None
    assert _next(desk, loaded=(), now_s=20.0) == _NEW


def test_version_in_use_is_not_unloaded(desk):
    """Attempts in flight end first."""
    desk.start_attempt("attempt-1", "m/v1")
    assert desk.is_to_be_unloaded("m/v1")
    assert _next(desk) is None
    desk.end_attempt("attempt-1")
    assert _next(desk) == _NEW
