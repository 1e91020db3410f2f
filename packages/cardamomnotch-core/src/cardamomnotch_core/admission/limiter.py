"""Concurrency limit of one upstream, lower while it is cold."""

from collections.abc import Callable

from cardamomnotch_protocol.models import Load

from ..attempts.const import DEFAULT_RETRY_AFTER_S
from .completion_rate import CompletionRate
from .const import (
    INTERACTIVE_PRIORITY,
    OVERLOAD_CUT,
    RESERVE_DIVISOR,
    RETURN_SHARE,
)
from .latency import LatencyBaseline
from .models import LimiterSettings, Sign, Ticket, Warmth


class ConcurrencyLimiter:
    """Counts attempts in flight against a limit that follows completed work.

    A cold upstream keeps its first limit until it has completed some work.
    Then the limit grows by slow start, and after an overload by additive
    increase and multiplicative decrease (RFC 5681). It grows only while at
    least half of it is used (in the manner of RFC 7661), so it never runs
    far ahead of what the upstream has been seen to bear.
    """

    def __init__(
        self, *, limit: int = 1, settings: LimiterSettings | None = None
    ) -> None:
        self._settings = settings or LimiterSettings(max_limit=limit)
        self._limit = float(self._settings.first_limit)
        self._slow_start_until = float(self._settings.max_limit)
        self._completed_cold = 0
        self._epoch = 0
        self._start = 0
        self._tickets: dict[str, Ticket] = {}
        self._tokens = 0
        self._latency = LatencyBaseline()
        self._rate = CompletionRate()
        self._warmth = self._first_warmth

    @property
    def warmth(self) -> Warmth:
        """Return how far the upstream has warmed up."""
        return self._warmth

    @property
    def load(self) -> Load:
        """Return the load as told to entries."""
        return Load(
            in_flight=len(self._tickets),
            limit=int(self._limit),
            tokens_in_flight=self._tokens,
            first_token_ms=self._latency.baseline_ms,
        )

    def admit(
        self,
        attempt_id: str,
        expected_tokens: int,
        *,
        priority: int = INTERACTIVE_PRIORITY,
        streamed: bool = False,
    ) -> bool:
        """Count the attempt if there is room, and return whether there is."""
        if len(self._tickets) >= self._slots(priority):
            return False
        if self._tickets and self._tokens + expected_tokens > self._token_limit():
            return False
        self._tickets[attempt_id] = Ticket(
            attempt_id=attempt_id,
            expected_tokens=expected_tokens,
            epoch=self._epoch,
            start=self._start,
            streamed=streamed,
        )
        self._tokens += expected_tokens
        return True

    def retry_after_s(self, now_s: float) -> float:
        """Return when a refused attempt may find room."""
        return self._rate.retry_after_s(now_s, DEFAULT_RETRY_AFTER_S)

    def release(
        self,
        attempt_id: str,
        sign: Sign = Sign.COMPLETED,
        now_s: float = 0.0,
        first_token_ms: float = 0.0,
    ) -> None:
        """Stop counting the attempt, and learn from how it ended."""
        ticket = self._tickets.get(attempt_id)
        if ticket is None:
            return
        if sign is Sign.COMPLETED:
            self._rate.add_completion(now_s)
            sign = self._judge_latency(ticket, first_token_ms)
        if self._is_news(ticket, sign):
            self.observe(sign)
        del self._tickets[attempt_id]
        self._tokens -= ticket.expected_tokens

    def note_restart(self, attempt_id: str) -> None:
        """Turn cold if the attempt was admitted since the last cold start."""
        ticket = self._tickets.get(attempt_id)
        if ticket is not None and ticket.start == self._start:
            self.observe(Sign.RESTARTED)

    def observe(self, sign: Sign) -> None:
        """Change the limit as ``sign`` asks."""
        change = _CHANGES.get((self._warmth, sign))
        if change is not None:
            change(self)

    def _is_news(self, ticket: Ticket, sign: Sign) -> bool:
        """Return whether ``sign`` was not seen in an earlier end already."""
        if sign is Sign.RESTARTED:
            return ticket.start == self._start
        return ticket.epoch == self._epoch

    def _judge_latency(self, ticket: Ticket, first_token_ms: float) -> Sign:
        if not (ticket.streamed and first_token_ms):
            return Sign.COMPLETED
        self._latency.add(first_token_ms)
        return Sign.OVERLOADED if self._latency.is_slow else Sign.COMPLETED

    @property
    def _first_warmth(self) -> Warmth:
        full = self._settings.first_limit >= self._settings.max_limit
        return Warmth.WARM if full else Warmth.COLD

    def _slots(self, priority: int) -> int:
        limit = int(self._limit)
        if priority <= INTERACTIVE_PRIORITY or limit < 2:
            return limit
        return limit - max(1, limit // RESERVE_DIVISOR)

    def _token_limit(self) -> float:
        if not self._settings.max_tokens_in_flight:
            return float("inf")
        share = self._limit / self._settings.max_limit
        return share * self._settings.max_tokens_in_flight

    def _turn_cold(self) -> None:
        self._epoch += 1
        self._start += 1
        self._completed_cold = 0
        self._limit = float(self._settings.first_limit)
        self._slow_start_until = float(self._settings.max_limit)
        self._warmth = self._first_warmth

    def _count_cold_completion(self) -> None:
        self._completed_cold += 1
        if self._completed_cold >= self._settings.warm_up_completions:
            self._warmth = Warmth.WARMING

    def _grow(self) -> None:
        if 2 * len(self._tickets) < self._limit:
            return
        slow_start = self._limit < self._slow_start_until
        self._limit += 1.0 if slow_start else 1.0 / self._limit
        if self._limit >= self._settings.max_limit:
            self._limit = float(self._settings.max_limit)
            self._warmth = Warmth.WARM

    def _cut(self) -> None:
        self._reduce(OVERLOAD_CUT)
        self._slow_start_until = self._limit

    def _return(self) -> None:
        self._reduce(RETURN_SHARE)
        self._slow_start_until = float(self._settings.max_limit)

    def _reduce(self, share: float) -> None:
        """Lower the limit, and turn cold where it reaches the cold limit."""
        reduced = share * self._limit
        if self._first_warmth is Warmth.COLD and reduced <= self._settings.cold_limit:
            self._turn_cold()
            return
        self._epoch += 1
        self._limit = max(1.0, reduced)
        self._warmth = Warmth.WARMING


_CHANGES: dict[tuple[Warmth, Sign], Callable[[ConcurrencyLimiter], None]] = {
    (Warmth.COLD, Sign.COMPLETED): ConcurrencyLimiter._count_cold_completion,
    (Warmth.COLD, Sign.OVERLOADED): ConcurrencyLimiter._turn_cold,
    (Warmth.COLD, Sign.RESTARTED): ConcurrencyLimiter._turn_cold,
    (Warmth.WARMING, Sign.COMPLETED): ConcurrencyLimiter._grow,
    (Warmth.WARMING, Sign.OVERLOADED): ConcurrencyLimiter._cut,
    (Warmth.WARMING, Sign.RESTARTED): ConcurrencyLimiter._turn_cold,
    (Warmth.WARMING, Sign.RETURNED): ConcurrencyLimiter._return,
    (Warmth.WARM, Sign.OVERLOADED): ConcurrencyLimiter._cut,
    (Warmth.WARM, Sign.RESTARTED): ConcurrencyLimiter._turn_cold,
    (Warmth.WARM, Sign.RETURNED): ConcurrencyLimiter._return,
}
