"""Estimates of the time to an answer's first token."""

from collections.abc import Callable, Hashable

import attrs

from .const import (
    DEFAULT_FIRST_TOKEN_BASE_MS,
    DEFAULT_PREFILL_MS_PER_TOKEN,
    FIRST_TOKEN_MEAN_SAMPLES,
    FIRST_TOKEN_QUANTILE,
    FIRST_TOKEN_STEP,
    MAX_FIRST_TOKEN_WAIT_S,
    MAX_SLOWDOWN,
    MIN_PREFILL_SAMPLE_TOKENS,
    SLOWDOWN_FLOOR_MS,
    SLOWDOWN_HALF_LIFE_S,
    SLOWDOWN_STEP,
)


@attrs.define
class _QuantileEstimate:
    """Estimate of a quantile, moved by relative steps.

    The first samples are averaged instead.
    """

    value: float
    samples: int = 0

    def update(self, sample: float) -> None:
        """Update the estimate with ``sample``."""
        self.samples += 1
        if self.samples <= FIRST_TOKEN_MEAN_SAMPLES:
            self.value += (sample - self.value) / self.samples
            return
        step = FIRST_TOKEN_STEP
        if sample > self.value:
            self.value *= 1 + step * FIRST_TOKEN_QUANTILE
        else:
            self.value *= 1 - step * (1 - FIRST_TOKEN_QUANTILE)


class FirstTokenModel:
    """Estimates the time to the first token on an idle upstream, by model.

    The estimate is a base time for all models plus a prefill time per token.
    Both follow a low quantile of the observed times, so that delays by
    requests of which this entry has no notice have little effect.
    """

    def __init__(self) -> None:
        self._base_time = _QuantileEstimate(DEFAULT_FIRST_TOKEN_BASE_MS)
        self._prefill_rates: dict[str, _QuantileEstimate] = {}

    def expected_ms(self, model: str, unread_tokens: int) -> float:
        """Return the expected time if ``unread_tokens`` need prefill."""
        return self._base_time.value + self._prefill_ms_per_token(model) * unread_tokens

    def update(self, model: str, unread_tokens: int, observed_ms: float) -> None:
        """Update the estimate with a first token after ``observed_ms``.

        Call this only for requests that were sent to an idle upstream.
        """
        if unread_tokens < MIN_PREFILL_SAMPLE_TOKENS:
            self._base_time.update(
                max(
                    1.0, observed_ms - self._prefill_ms_per_token(model) * unread_tokens
                )
            )
            return
        rate = self._prefill_rates.setdefault(
            model, _QuantileEstimate(DEFAULT_PREFILL_MS_PER_TOKEN)
        )
        rate.update(max(0.0, observed_ms - self._base_time.value) / unread_tokens)

    def _prefill_ms_per_token(self, model: str) -> float:
        rate = self._prefill_rates.get(model)
        return rate.value if rate else DEFAULT_PREFILL_MS_PER_TOKEN


@attrs.define
class _PendingRequest:
    """A request that waits for its first token."""

    prefill_ms: float
    started_at_s: float
    # Expected time to the first token, estimated at the start.
    expected_ms: float


@attrs.define
class QueueEstimate:
    """Estimates how long an upstream's next request waits for its prefill.

    Assumes that an upstream reads prompts one after the other. Counts the
    requests of this entry and those that other entries send notices of.
    """

    _pending: dict[Hashable, _PendingRequest] = attrs.field(factory=dict)
    # When the upstream began the prefill of the oldest pending request.
    _prefill_started_at_s: float = 0.0
    # Smoothed ratio of observed to expected times to the first token.
    _slowdown: float = 1.0
    _slowdown_updated_at_s: float = 0.0

    def start(
        self, key: Hashable, prefill_ms: float, now_s: float, parallel: int = 1
    ) -> None:
        """Add a request that waits for its first token."""
        expected_ms = self.waiting_ms(now_s, parallel) + prefill_ms
        if not self._pending:
            self._prefill_started_at_s = now_s
        self._pending[key] = _PendingRequest(prefill_ms, now_s, expected_ms)

    def finish(self, key: Hashable, now_s: float, *, answered: bool) -> None:
        """Remove a request; ``answered`` tells whether it got its first token."""
        pending = self._pending.pop(key, None)
        if pending is None:
            return
        self._prefill_started_at_s = now_s
        if not answered:
            return
        observed_ms = (now_s - pending.started_at_s) * 1000
        ratio = (observed_ms + SLOWDOWN_FLOOR_MS) / (
            pending.expected_ms + SLOWDOWN_FLOOR_MS
        )
        slowdown = self._decayed_slowdown(now_s)
        slowdown += SLOWDOWN_STEP * (ratio - slowdown)
        self._slowdown = min(MAX_SLOWDOWN, max(1.0, slowdown))
        self._slowdown_updated_at_s = now_s

    def remove_matching(self, matches: Callable[[Hashable], bool]) -> None:
        """Remove the pending requests whose key matches ``matches``."""
        for key in tuple(self._pending):
            if matches(key):
                del self._pending[key]

    def waiting_ms(self, now_s: float, parallel: int = 1) -> float:
        """Return the expected wait of a request that is sent now.

        ``parallel`` is the number of requests that the upstream starts at
        once.
        """
        self._expire(now_s)
        if not self._pending:
            return 0.0
        total_ms = sum(pending.prefill_ms for pending in self._pending.values())
        oldest = next(iter(self._pending.values()))
        prefill_started_at_s = max(self._prefill_started_at_s, oldest.started_at_s)
        elapsed_ms = (now_s - prefill_started_at_s) * 1000
        remaining_ms = total_ms - min(elapsed_ms, oldest.prefill_ms)
        overdue_ms = max(0.0, elapsed_ms - oldest.prefill_ms)
        if len(self._pending) <= parallel - 1:
            remaining_ms = 0.0
        return remaining_ms * self._decayed_slowdown(now_s) / parallel + overdue_ms

    def _expire(self, now_s: float) -> None:
        # Pending requests are in the order of their starts.
        while self._pending:
            key, oldest = next(iter(self._pending.items()))
            if oldest.started_at_s >= now_s - MAX_FIRST_TOKEN_WAIT_S:
                return
            del self._pending[key]

    def _decayed_slowdown(self, now_s: float) -> float:
        half_lives = (now_s - self._slowdown_updated_at_s) / SLOWDOWN_HALF_LIFE_S
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** max(0.0, half_lives)
