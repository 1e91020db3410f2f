"""Tests of the detection of process pauses."""

import pytest

from cardamomnotch_core.membership.pauses import PauseDetector


@pytest.mark.parametrize(
    ("tick_times_s", "asked_at_s", "needs_confirmation"),
    [
        pytest.param((0.0, 1.0), None, False, id="no pause"),
        pytest.param((0.0, 60.0, 61.0), None, True, id="no request since the pause"),
        pytest.param((0.0, 60.0, 61.0), 0.5, True, id="request sent before the pause"),
        pytest.param((0.0, 60.0, 61.0), 60.5, False, id="request sent after the pause"),
        pytest.param((0.0,), None, True, id="no timer event since the pause"),
        pytest.param((0.0,), 60.9, False, id="request sent before the timer event"),
    ],
)
def test_confirmation_needs_a_request_sent_after_the_pause(
    tick_times_s, asked_at_s, needs_confirmation
):
    """Only the answer to a request sent after the pause confirms."""
    detector = PauseDetector()
    for tick_s in tick_times_s:
        detector.tick(tick_s)
    if asked_at_s is not None:
        detector.confirm(asked_at_s)
    now_s = 1.5 if tick_times_s[-1] == 1.0 else 61.5
    assert detector.needs_confirmation(now_s) is needs_confirmation
