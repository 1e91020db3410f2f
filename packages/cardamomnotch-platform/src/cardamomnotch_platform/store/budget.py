"""Rate limits on the calls that one process makes to the store."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Final

import attrs

from ..exceptions import StoreError


@attrs.frozen
class CallRate:
    """Long-run limit in calls per second, and the largest burst of calls."""

    per_s: float
    burst: float


# Rates by kind of call. In the largest fleet a process reads and watches the
# configuration about every 20 s; owners of journal partitions write most.
DEFAULT_RATES: Final[Mapping[str, CallRate]] = {
    "kv/deleterange": CallRate(per_s=5.0, burst=20.0),
    "kv/range": CallRate(per_s=50.0, burst=200.0),
    "kv/txn": CallRate(per_s=100.0, burst=200.0),
    "lease/grant": CallRate(per_s=5.0, burst=50.0),
    "lease/keepalive": CallRate(per_s=30.0, burst=100.0),
    "lease/revoke": CallRate(per_s=5.0, burst=100.0),
    "watch": CallRate(per_s=1.0, burst=5.0),
}


# Longest time that a call may wait until the rate allows it, in seconds: longer than a
# step of several calls takes.
MAX_CALL_WAIT_S: Final = 5.0


class StoreBudgetError(StoreError):
    """The call was not made; it would exceed this process's call rate."""


@attrs.define
class _TokenBucket:
    rate: CallRate
    # Below zero: minus the number of calls that wait.
    tokens: float
    refilled_at_s: float

    def refill(self, now_s: float) -> float:
        """Add what has accrued since the last call; return the number of tokens."""
        accrued = (now_s - self.refilled_at_s) * self.rate.per_s
        self.tokens = min(self.rate.burst, self.tokens + accrued)
        self.refilled_at_s = now_s
        return self.tokens

    def try_reserve(self, now_s: float) -> float | None:
        """Take one token; return after how many seconds it may be used.

        Takes none, and returns None, if that is more than ``MAX_CALL_WAIT_S``.
        """
        wait_s = max(0.0, 1 - self.refill(now_s)) / self.rate.per_s
        if wait_s > MAX_CALL_WAIT_S:
            return None
        self.tokens -= 1
        return wait_s

    def give_back(self) -> None:
        """Return a token that was not used."""
        self.tokens += 1


class StoreBudget:
    """Limits calls to the store by one token bucket for each kind of call.

    A call over the limit waits for its turn, in the order of arrival, so that a step of
    several calls is completed however few calls are left. Kinds of calls without a rate
    are not limited.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rates: Mapping[str, CallRate] = DEFAULT_RATES,
    ) -> None:
        self._clock = clock
        now_s = clock()
        self._buckets = {
            kind: _TokenBucket(rate, rate.burst, now_s) for kind, rate in rates.items()
        }
        self._refused: dict[str, int] = {}

    @property
    def refused(self) -> dict[str, int]:
        """Return the number of calls that were not made, by kind."""
        return dict(self._refused)

    @property
    def calls_left(self) -> dict[str, float]:
        """Return the number of calls that each limit allows now, by kind.

        Below zero, that many calls wait.
        """
        now_s = self._clock()
        return {kind: bucket.refill(now_s) for kind, bucket in self._buckets.items()}

    async def async_spend(self, kind: str) -> float:
        """Wait until the limit allows one more call; return how long, in seconds.

        Raises StoreBudgetError at once if that takes more than ``MAX_CALL_WAIT_S``.
        """
        bucket = self._buckets.get(kind)
        if bucket is None:
            return 0.0
        wait_s = bucket.try_reserve(self._clock())
        if wait_s is None:
            self._refused[kind] = self._refused.get(kind, 0) + 1
            raise StoreBudgetError(
                f"store call {kind} not made: over this process's call rate"
            )
        if wait_s > 0:
            try:
                await asyncio.sleep(wait_s)
            except asyncio.CancelledError:
                bucket.give_back()
                raise
        return wait_s


class BackOff:
    """Exponential back-off with full jitter between retries.

    M. Brooker, "Exponential Backoff And Jitter", 2015.
    """

    def __init__(
        self, initial_s: float, max_s: float, random_source: random.Random
    ) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random_source
        self._upper_bound_s = initial_s

    def next_delay_s(self) -> float:
        """Return the delay before the next retry, in seconds."""
        delay_s = self._random.uniform(0, self._upper_bound_s)
        self._upper_bound_s = min(self._max_s, 2 * self._upper_bound_s)
        return delay_s

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self._upper_bound_s = self._initial_s
