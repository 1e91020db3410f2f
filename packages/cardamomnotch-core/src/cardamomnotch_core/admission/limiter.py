"""Concurrency limit of one upstream, reduced while the upstream is cold."""

from collections.abc import Callable

from cardamomnotch_protocol.models import Load

from ..attempts.const import DEFAULT_RETRY_AFTER_S
from .completion_rate import CompletionRate
from .const import (
    INTERACTIVE_PRIORITY,
    INTERACTIVE_RESERVE_DIVISOR,
    OVERLOAD_LIMIT_FACTOR,
    RETURN_LIMIT_FACTOR,
)
from .latency import LatencyBaseline
from .models import AdmittedAttempt, LimiterSettings, UpstreamSignal, WarmUpState


class ConcurrencyLimiter:
    """Limits the attempts in flight, by a limit that adapts to completions.

    A cold upstream keeps its initial limit until it has completed some
    requests. Then the limit grows by slow start, and after an overload by
    additive increase and multiplicative decrease (RFC 5681). It grows only
    while at least half of it is used (similar to RFC 7661), so that it never
    far exceeds a load that the upstream has been seen to sustain.
    """

    def __init__(
        self, *, limit: int = 1, settings: LimiterSettings | None = None
    ) -> None:
        self._settings = settings or LimiterSettings(max_limit=limit)
        self._limit = float(self._settings.initial_limit)
        self._slow_start_limit = float(self._settings.max_limit)
        self._completions_while_cold = 0
        self._reductions = 0
        self._cold_starts = 0
        self._admitted: dict[str, AdmittedAttempt] = {}
        self._tokens_in_flight = 0
        self._latency = LatencyBaseline()
        self._completion_rate = CompletionRate()
        self._warm_up_state = self._initial_warm_up_state

    @property
    def warm_up_state(self) -> WarmUpState:
        """Return the upstream's warm-up state."""
        return self._warm_up_state

    @property
    def load(self) -> Load:
        """Return the load that is reported to entries."""
        return Load(
            in_flight=len(self._admitted),
            limit=int(self._limit),
            tokens_in_flight=self._tokens_in_flight,
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
        """Count the attempt as in flight if the limits allow it.

        Returns whether it was admitted. An attempt that exceeds the token
        limit by itself is admitted while no other is in flight.
        """
        if len(self._admitted) >= self._slot_limit(priority):
            return False
        if (
            self._admitted
            and self._tokens_in_flight + expected_tokens > self._token_limit()
        ):
            return False
        self._admitted[attempt_id] = AdmittedAttempt(
            attempt_id=attempt_id,
            expected_tokens=expected_tokens,
            reductions=self._reductions,
            cold_starts=self._cold_starts,
            streamed=streamed,
        )
        self._tokens_in_flight += expected_tokens
        return True

    def retry_after_s(self, now_s: float) -> float:
        """Return the retry delay of a refused attempt in seconds."""
        return self._completion_rate.retry_after_s(now_s, DEFAULT_RETRY_AFTER_S)

    def release(
        self,
        attempt_id: str,
        signal: UpstreamSignal = UpstreamSignal.COMPLETED,
        now_s: float = 0.0,
        first_token_ms: float = 0.0,
    ) -> None:
        """Remove the attempt from those in flight and adjust the limit."""
        attempt = self._admitted.get(attempt_id)
        if attempt is None:
            return
        if signal is UpstreamSignal.COMPLETED:
            self._completion_rate.add_completion(now_s)
            signal = self._signal_from_latency(attempt, first_token_ms)
        if self._is_new_information(attempt, signal):
            self.observe(signal)
        del self._admitted[attempt_id]
        self._tokens_in_flight -= attempt.expected_tokens

    def record_restart(self, attempt_id: str) -> None:
        """Reset to cold if the attempt is from after the last cold start."""
        attempt = self._admitted.get(attempt_id)
        if attempt is not None and attempt.cold_starts == self._cold_starts:
            self.observe(UpstreamSignal.RESTARTED)

    def observe(self, signal: UpstreamSignal) -> None:
        """Adjust the limit and the warm-up state to ``signal``."""
        transition = _TRANSITIONS.get((self._warm_up_state, signal))
        if transition is not None:
            transition(self)

    def _is_new_information(
        self, attempt: AdmittedAttempt, signal: UpstreamSignal
    ) -> bool:
        """Return whether ``signal`` has not been acted on already.

        Attempts admitted before the last reduction of the limit, or for a
        restart before the last cold start, report an event that was handled.
        """
        if signal is UpstreamSignal.RESTARTED:
            return attempt.cold_starts == self._cold_starts
        return attempt.reductions == self._reductions

    def _signal_from_latency(
        self, attempt: AdmittedAttempt, first_token_ms: float
    ) -> UpstreamSignal:
        if not (attempt.streamed and first_token_ms):
            return UpstreamSignal.COMPLETED
        self._latency.add(first_token_ms)
        return (
            UpstreamSignal.OVERLOADED
            if self._latency.is_slow
            else UpstreamSignal.COMPLETED
        )

    @property
    def _initial_warm_up_state(self) -> WarmUpState:
        starts_at_maximum = self._settings.initial_limit >= self._settings.max_limit
        return WarmUpState.WARM if starts_at_maximum else WarmUpState.COLD

    def _slot_limit(self, priority: int) -> int:
        limit = int(self._limit)
        if priority <= INTERACTIVE_PRIORITY or limit < 2:
            return limit
        return limit - max(1, limit // INTERACTIVE_RESERVE_DIVISOR)

    def _token_limit(self) -> float:
        if not self._settings.max_tokens_in_flight:
            return float("inf")
        share = self._limit / self._settings.max_limit
        return share * self._settings.max_tokens_in_flight

    def _reset_to_cold(self) -> None:
        self._reductions += 1
        self._cold_starts += 1
        self._completions_while_cold = 0
        self._limit = float(self._settings.initial_limit)
        self._slow_start_limit = float(self._settings.max_limit)
        self._warm_up_state = self._initial_warm_up_state

    def _count_cold_completion(self) -> None:
        self._completions_while_cold += 1
        if self._completions_while_cold >= self._settings.warm_up_completions:
            self._warm_up_state = WarmUpState.WARMING

    def _increase_limit(self) -> None:
        if 2 * len(self._admitted) < self._limit:
            return
        in_slow_start = self._limit < self._slow_start_limit
        self._limit += 1.0 if in_slow_start else 1.0 / self._limit
        if self._limit >= self._settings.max_limit:
            self._limit = float(self._settings.max_limit)
            self._warm_up_state = WarmUpState.WARM

    def _reduce_on_overload(self) -> None:
        self._reduce_limit(OVERLOAD_LIMIT_FACTOR)
        self._slow_start_limit = self._limit

    def _reduce_on_return(self) -> None:
        self._reduce_limit(RETURN_LIMIT_FACTOR)
        self._slow_start_limit = float(self._settings.max_limit)

    def _reduce_limit(self, factor: float) -> None:
        """Scale the limit by ``factor``; reset to cold at the cold limit."""
        reduced = factor * self._limit
        if (
            self._initial_warm_up_state is WarmUpState.COLD
            and reduced <= self._settings.cold_limit
        ):
            self._reset_to_cold()
            return
        self._reductions += 1
        self._limit = max(1.0, reduced)
        self._warm_up_state = WarmUpState.WARMING


_TRANSITIONS: dict[
    tuple[WarmUpState, UpstreamSignal], Callable[[ConcurrencyLimiter], None]
] = {
    (
        WarmUpState.COLD,
        UpstreamSignal.COMPLETED,
    ): ConcurrencyLimiter._count_cold_completion,
    (WarmUpState.COLD, UpstreamSignal.OVERLOADED): ConcurrencyLimiter._reset_to_cold,
    (WarmUpState.COLD, UpstreamSignal.RESTARTED): ConcurrencyLimiter._reset_to_cold,
    (WarmUpState.WARMING, UpstreamSignal.COMPLETED): ConcurrencyLimiter._increase_limit,
    (
        WarmUpState.WARMING,
        UpstreamSignal.OVERLOADED,
    ): ConcurrencyLimiter._reduce_on_overload,
    (WarmUpState.WARMING, UpstreamSignal.RESTARTED): ConcurrencyLimiter._reset_to_cold,
    (
        WarmUpState.WARMING,
        UpstreamSignal.RETURNED,
    ): ConcurrencyLimiter._reduce_on_return,
    (
        WarmUpState.WARM,
        UpstreamSignal.OVERLOADED,
    ): ConcurrencyLimiter._reduce_on_overload,
    (WarmUpState.WARM, UpstreamSignal.RESTARTED): ConcurrencyLimiter._reset_to_cold,
    (WarmUpState.WARM, UpstreamSignal.RETURNED): ConcurrencyLimiter._reduce_on_return,
}
