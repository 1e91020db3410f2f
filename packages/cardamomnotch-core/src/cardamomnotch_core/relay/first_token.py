"""Expected time to an answer's first token, learned from what is seen."""

from collections.abc import Hashable

import attrs

from .const import (
    DELAY_HALF_LIFE_S,
    FIRST_TOKEN_BASE_TOKENS,
    FIRST_TOKEN_QUANTILE,
    FIRST_TOKEN_STEP,
    PREFILL_MS_PER_TOKEN,
)

# Samples of a model after which its speed is learned in small steps only.
_FAST_SAMPLES = 12
_FAST_STEP = 0.4


@attrs.define
class _Speed:
    ms_per_token: float = PREFILL_MS_PER_TOKEN
    samples: int = 0


class FirstTokenModel:
    """Time that an unloaded upstream takes to read a prompt, by model.

    The time grows with the tokens that have to be read. A low quantile of the
    times seen stands for an upstream without other work.
    """

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}

    def expected_ms(self, model: str, unread_tokens: int) -> float:
        """Return the time for ``unread_tokens`` without other work."""
        speed = self._speeds.get(model)
        rate = speed.ms_per_token if speed else PREFILL_MS_PER_TOKEN
        return rate * (unread_tokens + FIRST_TOKEN_BASE_TOKENS)

    def note(self, model: str, unread_tokens: int, seen_ms: float) -> None:
        """Learn from a first token that came after ``seen_ms``."""
        speed = self._speeds.setdefault(model, _Speed())
        speed.samples += 1
        step = _FAST_STEP if speed.samples < _FAST_SAMPLES else FIRST_TOKEN_STEP
        rate = seen_ms / (unread_tokens + FIRST_TOKEN_BASE_TOKENS)
        if rate > speed.ms_per_token:
            speed.ms_per_token *= 1 + step * FIRST_TOKEN_QUANTILE
        else:
            speed.ms_per_token *= 1 - step * (1 - FIRST_TOKEN_QUANTILE)


@attrs.define
class DelayEstimate:
    """How much longer than expected one upstream takes now, in milliseconds.

    Follows the delays of finished waits, which fade, and of those under way.
    """

    _delay_ms: float = 0.0
    _noted_at_s: float = 0.0
    # Time by which each first token that is waited for is expected.
    _due_at_s: dict[Hashable, float] = attrs.field(factory=dict)

    def start(self, key: Hashable, expected_ms: float, now_s: float) -> None:
        """Note that a first token is waited for."""
        self._due_at_s[key] = now_s + expected_ms / 1000

    def finish(self, key: Hashable, now_s: float, *, answered: bool) -> None:
        """Note that the wait is over; ``answered`` if the token came."""
        due_at_s = self._due_at_s.pop(key, None)
        if due_at_s is None:
            return
        late_ms = max(0.0, (now_s - due_at_s) * 1000)
        faded_ms = self._faded_ms(now_s)
        if answered:
            self._delay_ms = (faded_ms + late_ms) / 2
        else:
            self._delay_ms = max(faded_ms, late_ms)
        self._noted_at_s = now_s

    def delay_ms(self, now_s: float) -> float:
        """Return the delay that a request must expect now."""
        overdue_ms = 0.0
        if self._due_at_s:
            overdue_ms = (now_s - min(self._due_at_s.values())) * 1000
        return max(self._faded_ms(now_s), overdue_ms)

    def backlog_ms(self, now_s: float) -> float:
        """Return the expected rest of the waits under way."""
        return sum(
            max(0.0, due_at_s - now_s) * 1000 for due_at_s in self._due_at_s.values()
        )

    def _faded_ms(self, now_s: float) -> float:
        halvings = (now_s - self._noted_at_s) / DELAY_HALF_LIFE_S
        return self._delay_ms * 0.5 ** max(0.0, halvings)
