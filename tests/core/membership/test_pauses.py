"""Noticing that the process itself was paused."""

import pytest

from cardamomnotch_core.membership.pauses import PauseWatch


@pytest.mark.parametrize(
    ("ticks", "asked_at_s", "doubt"),
    [
        pytest.param((0.0, 1.0), None, False, id="no pause"),
        pytest.param((0.0, 60.0, 61.0), None, True, id="nobody asked since"),
        pytest.param((0.0, 60.0, 61.0), 0.5, True, id="asked before the pause"),
        pytest.param((0.0, 60.0, 61.0), 60.5, False, id="asked since"),
        pytest.param((0.0,), None, True, id="timer not due yet"),
        pytest.param((0.0,), 60.9, False, id="asked before the timer was due"),
    ],
)
def test_doubt_ends_with_an_answer_asked_since(ticks, asked_at_s, doubt):
    """A pause is doubted until a question asked after it is answered."""
    watch = PauseWatch()
    for tick_s in ticks:
        watch.tick(tick_s)
    if asked_at_s is not None:
        watch.confirm(asked_at_s)
    now_s = 1.5 if ticks[-1] == 1.0 else 61.5
    assert watch.in_doubt(now_s) is doubt
