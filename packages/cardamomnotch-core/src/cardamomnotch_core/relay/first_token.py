"""Expected time to an answer's first token, learned from what is seen."""

from collections.abc import Callable, Hashable

import attrs

from .const import (
    FIRST_TOKEN_BASE_MS,
    FIRST_TOKEN_FAST_SAMPLES,
    FIRST_TOKEN_MIN_TOKENS,
    FIRST_TOKEN_QUANTILE,
    FIRST_TOKEN_STEP,
    MAX_SLOWDOWN,
    MAX_WAIT_S,
    PREFILL_MS_PER_TOKEN,
    SLOWDOWN_FLOOR_MS,
    SLOWDOWN_HALF_LIFE_S,
    SLOWDOWN_STEP,
)


@attrs.define
class _Quantile:
    """Follows a quantile by relative steps, after a mean of the first samples."""

    value: float
    samples: int = 0

    def note(self, sample: float) -> None:
        """Move towards the quantile."""
        self.samples += 1
        if self.samples <= FIRST_TOKEN_FAST_SAMPLES:
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
        self._base = _Quantile(FIRST_TOKEN_BASE_MS)
        self._rates: dict[str, _Quantile] = {}

    def expected_ms(self, model: str, unread_tokens: int) -> float:
        """Return the time for ``unread_tokens`` without other work."""
        return self._base.value + self._rate(model) * unread_tokens

    def note(self, model: str, unread_tokens: int, seen_ms: float) -> None:
        """Learn from a first token that came after ``seen_ms``.

        Only of requests that found their upstream idle.
        """
        if unread_tokens < FIRST_TOKEN_MIN_TOKENS:
            self._base.note(max(1.0, seen_ms - self._rate(model) * unread_tokens))
            return
        rate = self._rates.setdefault(model, _Quantile(PREFILL_MS_PER_TOKEN))
        rate.note(max(0.0, seen_ms - self._base.value) / unread_tokens)

    def _rate(self, model: str) -> float:
        rate = self._rates.get(model)
        return rate.value if rate else PREFILL_MS_PER_TOKEN


@attrs.define
class _Wait:
    reading_ms: float
    started_at_s: float
    # When the first token was expected at the start.
    expected_ms: float


@attrs.define
class QueueEstimate:
    """How long an upstream's next request waits before its prompt is read.

    Prompts are taken to be read one after the other. The waits are those of
    this entry and of the others that tell theirs.
    """

    _waits: dict[Hashable, _Wait] = attrs.field(factory=dict)
    # When the upstream began to read the oldest prompt.
    _reading_since_s: float = 0.0
    # How many times as long as expected the first tokens lately took.
    _slowdown: float = 1.0
    _noted_at_s: float = 0.0

    def start(
        self, key: Hashable, reading_ms: float, now_s: float, parallel: int = 1
    ) -> None:
        """Note that a first token is waited for."""
        expected_ms = self.waiting_ms(now_s, parallel) + reading_ms
        if not self._waits:
            self._reading_since_s = now_s
        self._waits[key] = _Wait(reading_ms, now_s, expected_ms)

    def finish(self, key: Hashable, now_s: float, *, answered: bool) -> None:
        """Note that a wait is over; ``answered`` if the first token came."""
        wait = self._waits.pop(key, None)
        if wait is None:
            return
        self._reading_since_s = now_s
        if not answered:
            return
        seen_ms = (now_s - wait.started_at_s) * 1000
        ratio = (seen_ms + SLOWDOWN_FLOOR_MS) / (wait.expected_ms + SLOWDOWN_FLOOR_MS)
        slowdown = self._faded_slowdown(now_s)
        slowdown += SLOWDOWN_STEP * (ratio - slowdown)
        self._slowdown = min(MAX_SLOWDOWN, max(1.0, slowdown))
        self._noted_at_s = now_s

    def drop(self, is_dropped: Callable[[Hashable], bool]) -> None:
        """Forget the waits whose key is dropped."""
        for key in tuple(self._waits):
            if is_dropped(key):
                del self._waits[key]

    def waiting_ms(self, now_s: float, parallel: int = 1) -> float:
        """Return the wait of a request that is sent now.

        ``parallel`` is how many requests the upstream works on at once.
        """
        self._expire(now_s)
        if not self._waits:
            return 0.0
        total_ms = sum(wait.reading_ms for wait in self._waits.values())
        oldest = next(iter(self._waits.values()))
        reading_since_s = max(self._reading_since_s, oldest.started_at_s)
        passed_ms = (now_s - reading_since_s) * 1000
        rest_ms = total_ms - min(passed_ms, oldest.reading_ms)
        overdue_ms = max(0.0, passed_ms - oldest.reading_ms)
        if len(self._waits) <= parallel - 1:
            rest_ms = 0.0
        return rest_ms * self._faded_slowdown(now_s) / parallel + overdue_ms

    def _expire(self, now_s: float) -> None:
        # Waits stand in the order of their starts.
        while self._waits:
            key, oldest = next(iter(self._waits.items()))
            if oldest.started_at_s >= now_s - MAX_WAIT_S:
                return
            del self._waits[key]

    def _faded_slowdown(self, now_s: float) -> float:
        halvings = (now_s - self._noted_at_s) / SLOWDOWN_HALF_LIFE_S
        return 1.0 + (self._slowdown - 1.0) * 0.5 ** max(0.0, halvings)
