"""The rate at which cold upstreams are sent requests."""

import math
from collections import deque
from collections.abc import Sequence

from ..membership.rendezvous import rank
from .const import COLD_RATE_FRACTION

_WINDOW_S = 1.0


class ColdLimiter:
    """Holds a bound on each cold upstream's rate that all entries share.

    At most ``rate * overshoot + slack`` requests may reach a cold upstream in
    any second, from all entries together. Few owners, by rendezvous hash over
    the entries, share that number; the others send nothing.
    """

    def __init__(self, overshoot: float, slack: float) -> None:
        self._overshoot = overshoot
        self._slack = slack
        self._sends: dict[str, deque[float]] = {}

    def set_bound(self, overshoot: float, slack: float) -> None:
        """Change the factor and the number by which a rate may be passed."""
        self._overshoot = overshoot
        self._slack = slack

    def allows(
        self,
        upstream_id: str,
        rate: float,
        entry: str,
        entries: Sequence[str],
        now_s: float,
    ) -> bool:
        """Return whether ``entry`` may send one more request now."""
        share = self.share(upstream_id, rate, entry, entries)
        return len(self._recent_sends(upstream_id, now_s)) < share

    def record_sent(self, upstream_id: str, now_s: float) -> None:
        """Count a request sent to an upstream, cold or not."""
        self._recent_sends(upstream_id, now_s).append(now_s)

    def share(
        self, upstream_id: str, rate: float, entry: str, entries: Sequence[str]
    ) -> int:
        """Return the requests that ``entry`` may send in a second."""
        bound = math.floor((rate * self._overshoot + self._slack) * COLD_RATE_FRACTION)
        if len(entries) <= bound:
            return bound // max(1, len(entries))
        owners = sorted(entries, key=lambda name: rank(upstream_id, name))[-bound:]
        return 1 if entry in owners else 0

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream that has left."""
        self._sends.pop(upstream_id, None)

    def _recent_sends(self, upstream_id: str, now_s: float) -> deque[float]:
        sent = self._sends.setdefault(upstream_id, deque())
        while sent and sent[0] < now_s - _WINDOW_S:
            sent.popleft()
        return sent
