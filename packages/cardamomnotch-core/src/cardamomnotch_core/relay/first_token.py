"""Expected time to an answer's first token, learned from what is seen."""

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
    """Follows a quantile by relative steps, after a mean of the first samples."""

    value: float
    samples: int = 0

    def note(self, sample: float) -> None:
        """Move towards the quantile."""
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
    """Time that an idle upstream takes to the first token, by model.

    A constant for all models, and a time for each token that has to be read.
    Both follow a low quantile of what is seen, so that work which nobody
    tells of counts little.
    """

    def __init__(self) -> None:
        self._base_time = _QuantileEstimate(DEFAULT_FIRST_TOKEN_BASE_MS)
        self._prefill_rates: dict[str, _QuantileEstimate] = {}

    def expected_ms(self, model: str, unread_tokens: int) -> float:
        """Return the time for ``unread_tokens`` without other work."""
        return self._base_time.value + self._prefill_ms_per_token(model) * unread_tokens

    def note(self, model: str, unread_tokens: int, observed_ms: float) -> None:
        """Learn from a first token that came after ``observed_ms``.

        Only of requests that found their upstream idle.
        """
        if unread_tokens < MIN_PREFILL_SAMPLE_TOKENS:
            self._base_time.note(
                max(
                    1.0, observed_ms - self._prefill_ms_per_token(model) * unread_tokens
                )
            )
            return
        rate = self._prefill_rates.setdefault(
            model, _QuantileEstimate(DEFAULT_PREFILL_MS_PER_TOKEN)
        )
        rate.note(max(0.0, observed_ms - self._base_time.value) / unread_tokens)

    def _prefill_ms_per_token(self, model: str) -> float:
        rate = self._prefill_rates.get(model)
        return rate.value if rate else DEFAULT_PREFILL_MS_PER_TOKEN


@attrs.define
class _PendingRequest:
    prefill_ms: float
    started_at_s: float
    # When the first token was expected at the start.
    expected_ms: float


@attrs.define
class QueueEstimate:
    """How long an upstream's next request waits before its prompt is read.

    Prompts are taken to be read one after the other. The waits are those of
    this entry and of the others that tell theirs.
    """

    _pending: dict[Hashable, _PendingRequest] = attrs.field(factory=dict)
    # When the upstream began to read the oldest prompt.
    _prefill_started_at_s: float = 0.0
    # How many times as long as expected the first tokens lately took.
    _slowdown: float = 1.0
    _slowdown_updated_at_s: float = 0.0

    def start(
        self, key: Hashable, prefill_ms: float, now_s: float, parallel: int = 1
    ) -> None:
        """Note that a first token is waited for."""
        expected_ms = self.waiting_ms(now_s, parallel) + prefill_ms
        if not self._pending:
            self._prefill_started_at_s = now_s
        self._pending[key] = _PendingRequest(prefill_ms, now_s, expected_ms)

    def finish(self, key: Hashable, now_s: float, *, answered: bool) -> None:
        """Note that a wait is over; ``answered`` if the first token came."""
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

    def drop(self, is_dropped: Callable[[Hashable], bool]) -> None:
        """Forget the waits whose key is dropped."""
        for key in tuple(self._pending):
            if is_dropped(key):
                del self._pending[key]

    def waiting_ms(self, now_s: float, parallel: int = 1) -> float:
        """Return the wait of a request that is sent now.

        ``parallel`` is how many requests the upstream works on at once.
        """
        self._expire(now_s)
        if not self._pending:
            return 0.0
        total_ms = sum(pending.prefill_ms for pending in self._pending.values())
        oldest = next(iter(self._pending.values()))
        prefill_started_at_s = max(self._prefill_started_at_s, oldest.started_at_s)
        passed_ms = (now_s - prefill_started_at_s) * 1000
        remaining_ms = total_ms - min(passed_ms, oldest.prefill_ms)
        overdue_ms = max(0.0, passed_ms - oldest.prefill_ms)
        if len(self._pending) <= parallel - 1:
            remaining_ms = 0.0
        return remaining_ms * self._decayed_slowdown(now_s) / parallel + overdue_ms

    def _expire(self, now_s: float) -> None:
        # Waits stand in the order of their starts.
        while self._pending:
            key, oldest = next(iter(self._pending.items()))
            if oldest.started_at_s >= now_s - MAX_FIRST_TOKEN_WAIT_S:
                return
            del self._pending[key]

    def _decayed_slowdown(self, now_s: float) -> float:
        half_lives = (now_s - self._slowdown_updated_at_s) / SLOWDOWN_HALF_LIFE_S
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** max(0.0, half_lives)
