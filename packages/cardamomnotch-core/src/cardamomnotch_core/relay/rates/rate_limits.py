"""Limits on the rate of requests to an upstream, over all entries."""

import math
from collections import deque
from collections.abc import Sequence

import attrs

from ..live_entries import LiveEntries
from .const import (
    COLD_RATE_FRACTION,
    MAX_RATE_WINDOW_S,
    MIN_NAMED_RATE,
    NAMED_RATE_WINDOW_S,
)

_COLD_WINDOW_S = 1.0


@attrs.frozen
class RateLimit:
    """Most requests to an upstream in any time window, from all entries.

    A divided limit holds without communication, since each entry has a part of
    it. Of one that is not divided, an entry may use what the others have not
    used, according to their notices.
    """

    max_requests: int
    window_s: float
    is_divided: bool = False


def named_rate_limit(rate: float) -> RateLimit:
    """Return the limit for an upstream that takes ``rate`` requests per second.

    A rate below one in ``MAX_RATE_WINDOW_S`` allows that, so that the end of
    the limit is noticed.
    """
    rate = max(rate, MIN_NAMED_RATE)
    if rate < 1.0:
        return RateLimit(1, 1.0 / rate)
    return RateLimit(math.floor(rate * NAMED_RATE_WINDOW_S), NAMED_RATE_WINDOW_S)


def cold_rate_limit(rate: float, overshoot: float, slack: float) -> RateLimit:
    """Return the limit for a cold upstream that tolerates ``rate``.

    At most ``rate * overshoot + slack`` requests may reach it in any second.
    """
    max_requests = math.floor((rate * overshoot + slack) * COLD_RATE_FRACTION)
    return RateLimit(max_requests, _COLD_WINDOW_S, is_divided=True)


class UpstreamRateLimiter:
    """Counts the requests to each upstream, and applies its limits."""

    def __init__(self, entries: LiveEntries) -> None:
        self._entries = entries
        # Send times of this entry's requests, and of the other entries'
        # requests to upstreams that have named a limit, in order.
        self._own: dict[str, deque[float]] = {}
        self._others: dict[str, deque[float]] = {}

    def record_sent(self, upstream_id: str, now_s: float) -> None:
        """Count a request of this entry, whether there is a limit or not."""
        _append(self._own, upstream_id, now_s)

    def record_sent_by_other(self, upstream_id: str, now_s: float) -> None:
        """Count another entry's request to an upstream that named a limit."""
        _append(self._others, upstream_id, now_s)

    def allowed(self, upstream_id: str, limit: RateLimit, now_s: float) -> int:
        """Return how many requests this entry may send in the limit's window."""
        if not limit.is_divided:
            return limit.max_requests
        return self._entries.part(limit.max_requests, upstream_id, now_s)

    def wait_s(self, upstream_id: str, limit: RateLimit, now_s: float) -> float:
        """Return after how many seconds this entry may send one more request.

        Returns 0 if it may now; infinity if it has no part of the limit.
        """
        allowed = self.allowed(upstream_id, limit, now_s)
        if not allowed:
            return math.inf
        start_s = now_s - limit.window_s
        if limit.is_divided:
            return _wait_s(self._own.get(upstream_id, ()), allowed, start_s)
        sent = _since(self._own, upstream_id, start_s)
        sent = sorted(sent + _since(self._others, upstream_id, start_s))
        return _wait_s(sent, allowed, start_s)

    def forget(self, upstream_id: str) -> None:
        """Delete the send times of an upstream that is gone."""
        self._own.pop(upstream_id, None)
        self._others.pop(upstream_id, None)


def _wait_s(sent: Sequence[float], allowed: int, start_s: float) -> float:
    """Return the wait until fewer than ``allowed`` requests are in the window.

    ``sent`` are send times in order; the window begins at ``start_s``.
    """
    if len(sent) < allowed or sent[-allowed] <= start_s:
        return 0.0
    return sent[-allowed] - start_s


def _append(sends: dict[str, deque[float]], upstream_id: str, now_s: float) -> None:
    times_s = sends.setdefault(upstream_id, deque())
    times_s.append(now_s)
    while times_s[0] < now_s - MAX_RATE_WINDOW_S:
        times_s.popleft()


def _since(
    sends: dict[str, deque[float]], upstream_id: str, start_s: float
) -> list[float]:
    """Return the send times from ``start_s`` on, in order."""
    found = []
    for at_s in reversed(sends.get(upstream_id, ())):
        if at_s <= start_s:
            break
        found.append(at_s)
    return found[::-1]
