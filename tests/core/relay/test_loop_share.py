"""Shares of the event loop's time that responses take."""

import attrs
import pytest

from cardamomnotch_core.relay.const import (
    LOOP_EXCESS_BURST_S,
    LOOP_EXCESS_SHARE,
    LOOP_OWN_BURST_S,
    LOOP_OWN_SHARE,
    MAX_LOOP_PAUSE_S,
)
from cardamomnotch_core.relay.loop_share import LoopShares, ResponseShare

PLAYED_S = 20.0
PART_S = 0.01


@attrs.define
class Response:
    """A response whose next part can be processed from ``ready_at_s`` on."""

    share: ResponseShare
    cost_s: float
    interval_s: float = 0.0
    ready_at_s: float = 0.0
    used_s: float = 0.0
    paused_s: float = 0.0


def play(responses, played_s=PLAYED_S):
    """Process parts as they become ready, one at a time; the loop idles between."""
    now_s = 0.0
    while now_s < played_s:
        response = min(responses, key=lambda item: item.ready_at_s)
        now_s = max(now_s, response.ready_at_s) + response.cost_s
        response.used_s += response.cost_s
        pause_s = response.share.record_used(response.cost_s, now_s)
        response.paused_s += pause_s
        response.ready_at_s = now_s + max(pause_s, response.interval_s)


@pytest.mark.parametrize("count", [1, 8, 64])
def test_endless_responses_do_not_take_the_loop(count):
    """However many upstreams send too fast, most of the time is left for others."""
    pauses = []
    shares = LoopShares(lambda: pauses.append(1))
    greedy = [Response(shares.open(0.0), cost_s=PART_S) for _ in range(count)]
    play(greedy)
    used_s = sum(response.used_s for response in greedy)
    bursts_s = LOOP_EXCESS_BURST_S + count * (LOOP_OWN_BURST_S + PART_S)
    share = LOOP_EXCESS_SHARE + count * LOOP_OWN_SHARE
    assert used_s <= share * PLAYED_S + bursts_s
    assert pauses
    # None waits for good.
    assert min(response.used_s for response in greedy) > 0.1 * used_s / count


def test_sound_responses_do_not_wait_beside_endless_ones():
    """A stream that uses little is not held up by those that use much."""
    shares = LoopShares()
    greedy = [Response(shares.open(0.0), cost_s=PART_S) for _ in range(8)]
    sound = [
        Response(shares.open(0.0), cost_s=0.0001, interval_s=0.1) for _ in range(100)
    ]
    play([*greedy, *sound])
    assert not any(response.paused_s for response in sound)


def test_pause_has_an_end_whatever_was_used():
    """The debt of many responses at one moment delays none for longer."""
    shares = LoopShares()
    for _ in range(1_000):
        share = shares.open(0.0)
        assert share.record_used(5.0, 0.0) <= MAX_LOOP_PAUSE_S
