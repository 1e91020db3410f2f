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
from .models import LimiterSettings, Ticket, UpstreamSignal, WarmUpState


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
    def warm_up_state(self) -> WarmUpState:
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
        sign: UpstreamSignal = UpstreamSignal.COMPLETED,
        now_s: float = 0.0,
        first_token_ms: float = 0.0,
    ) -> None:
        """Stop counting the attempt, and learn from how it ended."""
        ticket = self._tickets.get(attempt_id)
        if ticket is None:
            return
        if sign is UpstreamSignal.COMPLETED:
            self._rate.add_completion(now_s)
            sign = self._judge_latency(ticket, first_token_ms)
        if self._is_news(ticket, sign):
            self.observe(sign)
        del self._tickets[attempt_id]
        self._tokens -= ticket.expected_tokens

    def record_restart(self, attempt_id: str) -> None:
        """Turn cold if the attempt was admitted since the last cold start."""
        ticket = self._tickets.get(attempt_id)
        if ticket is not None and ticket.start == self._start:
            self.observe(UpstreamSignal.RESTARTED)

    def observe(self, sign: UpstreamSignal) -> None:
        """Change the limit as ``sign`` asks."""
        change = _CHANGES.get((self._warmth, sign))
        if change is not None:
            change(self)

    def _is_news(self, ticket: Ticket, sign: UpstreamSignal) -> bool:
        """Return whether ``sign`` was not seen in an earlier end already."""
        if sign is UpstreamSignal.RESTARTED:
            return ticket.start == self._start
        return ticket.epoch == self._epoch

    def _judge_latency(self, ticket: Ticket, first_token_ms: float) -> UpstreamSignal:
        if not (ticket.streamed and first_token_ms):
            return UpstreamSignal.COMPLETED
        self._latency.add(first_token_ms)
        return (
            UpstreamSignal.OVERLOADED
            if self._latency.is_slow
            else UpstreamSignal.COMPLETED
        )

    @property
    def _first_warmth(self) -> WarmUpState:
        full = self._settings.first_limit >= self._settings.max_limit
        return WarmUpState.WARM if full else WarmUpState.COLD

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
            self._warmth = WarmUpState.WARMING

    def _grow(self) -> None:
        if 2 * len(self._tickets) < self._limit:
            return
        slow_start = self._limit < self._slow_start_until
        self._limit += 1.0 if slow_start else 1.0 / self._limit
        if self._limit >= self._settings.max_limit:
            self._limit = float(self._settings.max_limit)
            self._warmth = WarmUpState.WARM

    def _cut(self) -> None:
        self._reduce(OVERLOAD_CUT)
        self._slow_start_until = self._limit

    def _return(self) -> None:
        self._reduce(RETURN_SHARE)
        self._slow_start_until = float(self._settings.max_limit)

    def _reduce(self, share: float) -> None:
        """Lower the limit, and turn cold where it reaches the cold limit."""
        reduced = share * self._limit
        if (
            self._first_warmth is WarmUpState.COLD
            and reduced <= self._settings.cold_limit
        ):
            self._turn_cold()
            return
        self._epoch += 1
        self._limit = max(1.0, reduced)
        self._warmth = WarmUpState.WARMING


_CHANGES: dict[
    tuple[WarmUpState, UpstreamSignal], Callable[[ConcurrencyLimiter], None]
] = {
    (
        WarmUpState.COLD,
        UpstreamSignal.COMPLETED,
    ): ConcurrencyLimiter._count_cold_completion,
    (WarmUpState.COLD, UpstreamSignal.OVERLOADED): ConcurrencyLimiter._turn_cold,
    (WarmUpState.COLD, UpstreamSignal.RESTARTED): ConcurrencyLimiter._turn_cold,
    (WarmUpState.WARMING, UpstreamSignal.COMPLETED): ConcurrencyLimiter._grow,
    (WarmUpState.WARMING, UpstreamSignal.OVERLOADED): ConcurrencyLimiter._cut,
    (WarmUpState.WARMING, UpstreamSignal.RESTARTED): ConcurrencyLimiter._turn_cold,
    (WarmUpState.WARMING, UpstreamSignal.RETURNED): ConcurrencyLimiter._return,
    (WarmUpState.WARM, UpstreamSignal.OVERLOADED): ConcurrencyLimiter._cut,
    (WarmUpState.WARM, UpstreamSignal.RESTARTED): ConcurrencyLimiter._turn_cold,
    (WarmUpState.WARM, UpstreamSignal.RETURNED): ConcurrencyLimiter._return,
}
