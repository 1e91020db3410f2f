"""Shares of the event loop's time that responses take, without I/O.

Answers one load: upstreams that send faster than an entry can process, be it bytes
without end or many small events. Whoever sends fastest would have the loop, and all
other requests would wait for it.
"""

from collections.abc import Callable

import attrs

from .const import (
    LOOP_EXCESS_BURST_S,
    LOOP_EXCESS_SHARE,
    LOOP_OWN_BURST_S,
    LOOP_OWN_SHARE,
    MAX_LOOP_PAUSE_S,
)


@attrs.define
class _TimeBudget:
    """Processing time that grows with the clock; all times are in seconds."""

    share: float
    burst_s: float
    # Time that may be used now; negative if more has been used.
    left_s: float
    updated_at_s: float

    def refill(self, now_s: float) -> None:
        grown_s = self.left_s + self.share * (now_s - self.updated_at_s)
        self.left_s = min(self.burst_s, grown_s)
        self.updated_at_s = now_s


class LoopShares:
    """Limits what all responses together use beyond a small share of their own.

    A response of a sound upstream needs far less than its own share, and never waits,
    however many there are. What a response uses beyond it is drawn from a budget that
    all responses share; while that is used up, such a response has to pause, and
    ``count_pause`` is called.
    """

    def __init__(self, count_pause: Callable[[], None] = lambda: None) -> None:
        self._count_pause = count_pause
        self._excess = _TimeBudget(
            LOOP_EXCESS_SHARE, LOOP_EXCESS_BURST_S, LOOP_EXCESS_BURST_S, 0.0
        )

    def open(self, now_s: float) -> "ResponseShare":
        """Return the share of a response that begins."""
        own = _TimeBudget(LOOP_OWN_SHARE, LOOP_OWN_BURST_S, LOOP_OWN_BURST_S, now_s)
        return ResponseShare(self, own)

    def draw(self, excess_s: float, now_s: float) -> float:
        """Use time beyond a response's own share; return how long it has to pause."""
        budget = self._excess
        budget.refill(now_s)
        # A debt beyond the longest pause would only delay later responses.
        most_debt_s = LOOP_EXCESS_SHARE * MAX_LOOP_PAUSE_S
        budget.left_s = max(-most_debt_s, budget.left_s - excess_s)
        if budget.left_s >= 0.0:
            return 0.0
        self._count_pause()
        return -budget.left_s / LOOP_EXCESS_SHARE


class ResponseShare:
    """What one response uses of the event loop's time."""

    def __init__(self, shares: LoopShares, own: _TimeBudget) -> None:
        self._shares = shares
        self._own = own

    def record_used(self, used_s: float, now_s: float) -> float:
        """Record that received bytes took ``used_s`` seconds to process.

        Returns how long no more bytes may be read, in seconds. The time is that of the
        processor, which does not count while the process is interrupted.
        """
        own = self._own
        own.refill(now_s)
        own.left_s -= used_s
        if own.left_s >= 0.0:
            return 0.0
        excess_s, own.left_s = -own.left_s, 0.0
        return self._shares.draw(excess_s, now_s)
