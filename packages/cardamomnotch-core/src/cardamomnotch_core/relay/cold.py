"""Rate limit for requests to cold upstreams."""

import math
from collections import deque
from collections.abc import Sequence

from ..membership.rendezvous import rendezvous_hash
from .const import COLD_RATE_FRACTION

_WINDOW_S = 1.0


class ColdLimiter:
    """Limits the request rate of each cold upstream across all entries.

    At most ``rate * overshoot + slack`` requests may reach a cold upstream in
    any second, from all entries together. The limit is divided evenly between
    the entries. If there are more entries than requests per second, those that
    a rendezvous hash selects may send one request each, the others none.
    """

    def __init__(self, overshoot: float, slack: float) -> None:
        self._overshoot = overshoot
        self._slack = slack
        self._sends: dict[str, deque[float]] = {}

    def set_limit(self, overshoot: float, slack: float) -> None:
        """Set the factor and the surplus by which a rate may be exceeded."""
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
        """Count a request sent to an upstream, whether it is cold or not."""
        self._recent_sends(upstream_id, now_s).append(now_s)

    def share(
        self, upstream_id: str, rate: float, entry: str, entries: Sequence[str]
    ) -> int:
        """Return how many requests per second ``entry`` may send."""
        max_requests = math.floor(
            (rate * self._overshoot + self._slack) * COLD_RATE_FRACTION
        )
        if len(entries) <= max_requests:
            return max_requests // max(1, len(entries))
        selected = sorted(entries, key=lambda name: rendezvous_hash(upstream_id, name))[
            -max_requests:
        ]
        return 1 if entry in selected else 0

    def forget(self, upstream_id: str) -> None:
        """Delete the send times of an upstream that is gone."""
        self._sends.pop(upstream_id, None)

    def _recent_sends(self, upstream_id: str, now_s: float) -> deque[float]:
        sent = self._sends.setdefault(upstream_id, deque())
        while sent and sent[0] < now_s - _WINDOW_S:
            sent.popleft()
        return sent
