"""Whether a watch covers the large value."""

import pytest

from cardamomnotch_core.change_feed.const import LARGE_VALUE_APART_S
from cardamomnotch_core.change_feed.watch_scope import WatchScope


@pytest.mark.parametrize("changes_per_s", [0.5, 2.0, 12.0])
def test_every_step_gives_up_a_watch_while_a_large_value_changes(changes_per_s):
    """One watch of everything is given up, however often the value changes."""
    scope = WatchScope()
    given_up = 0
    for step in range(int(60 * changes_per_s)):
        now_s = step / changes_per_s
        if scope.is_apart(now_s):
            scope.record_large_value_changed(now_s)
        else:
            given_up += 1
            scope.record_large_reply(now_s)
    assert given_up == 1


def test_large_value_is_read_apart_for_good():
    """All keys are watched together again once the value no longer changes."""
    scope = WatchScope()
    assert not scope.is_apart(0.0)
    scope.record_large_reply(0.0)
    scope.record_large_value_changed(1.0)
    assert scope.is_apart(0.9 + LARGE_VALUE_APART_S)
    assert not scope.is_apart(1.0 + LARGE_VALUE_APART_S)
