"""Limits on the calls that one process makes to the store."""

import random
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..exceptions import StoreError


@attrs.frozen
class CallRate:
    """Calls per second in the long run, and how many may come at once."""

    per_s: float
    burst: float


# A process of the largest fleet reads and watches the lists about every 20 s;
# owners of journal partitions write most of all.
DEFAULT_RATES: Final[Mapping[str, CallRate]] = {
    "kv/deleterange": CallRate(per_s=5.0, burst=20.0),
    "kv/range": CallRate(per_s=50.0, burst=200.0),
    "kv/txn": CallRate(per_s=100.0, burst=200.0),
    "lease/grant": CallRate(per_s=5.0, burst=50.0),
    "lease/keepalive": CallRate(per_s=30.0, burst=100.0),
    "lease/revoke": CallRate(per_s=5.0, burst=100.0),
    "watch": CallRate(per_s=1.0, burst=5.0),
}


class StoreBudgetError(StoreError):
    """The call was not made; this process has made too many of its kind."""


@attrs.define
class _Bucket:
    rate: CallRate
    tokens: float
    filled_at_s: float

    def take(self, now_s: float) -> bool:
        """Take one token, if there is one."""
        gained = (now_s - self.filled_at_s) * self.rate.per_s
        self.tokens = min(self.rate.burst, self.tokens + gained)
        self.filled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class StoreBudget:
    """One token bucket for each kind of call."""

    def __init__(
        self,
        clock: Callable[[], float],
        rates: Mapping[str, CallRate] = DEFAULT_RATES,
    ) -> None:
        self._clock = clock
        now_s = clock()
        self._buckets = {
            kind: _Bucket(rate, rate.burst, now_s) for kind, rate in rates.items()
        }
        self._refused: dict[str, int] = {}

    @property
    def refused(self) -> dict[str, int]:
        """Return how many calls were not made, by kind."""
        return dict(self._refused)

    def take(self, kind: str) -> None:
        """Count one call; raise StoreBudgetError if it must not be made."""
        bucket = self._buckets.get(kind)
        if bucket is None or bucket.take(self._clock()):
            return
        self._refused[kind] = self._refused.get(kind, 0) + 1
        raise StoreBudgetError(f"{kind}: over this process's budget")


class BackOff:
    """Delays between tries: exponential, with full jitter.

    M. Brooker, "Exponential Backoff And Jitter", 2015.
    """

    def __init__(
        self, first_s: float, longest_s: float, random_source: random.Random
    ) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = random_source
        self._limit_s = first_s

    def next_delay_s(self) -> float:
        """Return the time to wait before the next try."""
        delay_s = self._random.uniform(0, self._limit_s)
        self._limit_s = min(self._longest_s, 2 * self._limit_s)
        return delay_s

    def reset(self) -> None:
        """Start over, after a success."""
        self._limit_s = self._first_s
