"""Compares concurrency limiters for a cold upstream on one simulated trace.

The trace has Poisson arrivals from a fixed seed, a restart that breaks every
connection, and later a cold phase that no signal announces. The modelled
upstream handles few concurrent requests until it has completed some, and
crashes above its capacity.
"""

import heapq
import itertools
import math
import random
from typing import Any

import attrs

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.admission.models import LimiterSettings, UpstreamSignal
from cardamomnotch_protocol.models import Load

from .report import Report, Row

_SEED = 7
_ARRIVALS_PER_S = 28.0
_TRACE_DURATION_S = 240.0
_RESTART_AT_S = 60.0
_UNANNOUNCED_COLD_AT_S = 150.0
_RESTART_DOWNTIME_S = 1.0
_MAX_LIMIT = 32
_COLD_LIMIT = 2
_WARM_UP_COMPLETIONS = 8
_WARM_LATENCY_S = 1.0
_COLD_LATENCY_S = 2.0
_RAMP_HOLD_S = 10.0
_RAMP_DURATION_S = 20.0


class _FixedLimiter:
    """Limiter with a fixed limit; subclasses adjust ``limit``."""

    limit = float(_MAX_LIMIT)

    def __init__(self) -> None:
        self._in_flight: set[str] = set()

    @property
    def load(self) -> Load:
        return Load(in_flight=len(self._in_flight), limit=int(self.limit))

    def admit(self, attempt_id: str, expected_tokens: int, **_: Any) -> bool:
        if len(self._in_flight) >= int(self.limit):
            return False
        self._in_flight.add(attempt_id)
        return True

    def release(
        self, attempt_id: str, signal: UpstreamSignal, now_s: float, latency_ms: float
    ) -> None:
        self._in_flight.discard(attempt_id)
        self.update_limit(signal, now_s, latency_ms)

    def update_limit(
        self, signal: UpstreamSignal, now_s: float, latency_ms: float
    ) -> None:
        """Adjust the limit after an attempt has ended."""

    def tick(self, now_s: float) -> None:
        """Adjust the limit to the time, without an attempt's end."""


class _TimeRampLimiter(_FixedLimiter):
    """Keeps the cold limit after a restart, then raises it over time."""

    def __init__(self) -> None:
        super().__init__()
        self._restarted_at_s = 0.0

    def update_limit(
        self, signal: UpstreamSignal, now_s: float, latency_ms: float
    ) -> None:
        if signal is UpstreamSignal.RESTARTED:
            self._restarted_at_s = now_s
            self.tick(now_s)

    def tick(self, now_s: float) -> None:
        ramped_s = max(0.0, now_s - self._restarted_at_s - _RAMP_HOLD_S)
        share = min(1.0, ramped_s / _RAMP_DURATION_S)
        self.limit = _COLD_LIMIT + share * (_MAX_LIMIT - _COLD_LIMIT)


class _AimdLimiter(_FixedLimiter):
    """Additive increase, multiplicative decrease on any failure (RFC 5681)."""

    def update_limit(
        self, signal: UpstreamSignal, now_s: float, latency_ms: float
    ) -> None:
        if signal is UpstreamSignal.COMPLETED:
            self.limit = min(_MAX_LIMIT, self.limit + 1 / self.limit)
        else:
            self.limit = max(1.0, self.limit / 2)


class _GradientLimiter(_FixedLimiter):
    """Follows the ratio of lowest to current latency (TCP Vegas)."""

    def __init__(self) -> None:
        super().__init__()
        self._min_latency_ms = math.inf

    def update_limit(
        self, signal: UpstreamSignal, now_s: float, latency_ms: float
    ) -> None:
        if signal is not UpstreamSignal.COMPLETED:
            return
        self._min_latency_ms = min(self._min_latency_ms, latency_ms)
        gradient = max(0.5, min(1.0, self._min_latency_ms / latency_ms))
        target = gradient * self.limit + math.sqrt(self.limit)
        self.limit = min(_MAX_LIMIT, 0.8 * self.limit + 0.2 * target)


class _CompletionLimiter(ConcurrencyLimiter):
    """The sidecar's limiter, which raises the limit on completed requests."""

    def __init__(self) -> None:
        settings = LimiterSettings(
            max_limit=_MAX_LIMIT,
            cold_limit=_COLD_LIMIT,
            warm_up_completions=_WARM_UP_COMPLETIONS,
        )
        super().__init__(settings=settings)

    def tick(self, now_s: float) -> None:
        """Do nothing: time alone does not change this limit."""


_LIMITERS = {
    "fixed at 32": _FixedLimiter,
    "ramp by time, 10 s held and 20 s grown": _TimeRampLimiter,
    "AIMD": _AimdLimiter,
    "gradient": _GradientLimiter,
    "on completed work": _CompletionLimiter,
}


@attrs.define
class _Outcome:
    """Requests and crashes of one replayed trace."""

    max_running_cold: int = 0
    max_running_cold_unannounced: int = 0
    crashes: int = 0
    completed_count: int = 0
    refused_within_capacity: int = 0
    full_limit_after_s: float = math.nan


class _Replay:
    """Simulates one upstream behind one limiter."""

    def __init__(self, limiter: Any) -> None:
        self.limiter = limiter
        self.outcome = _Outcome()
        self.running: dict[str, float] = {}
        self.completions_since_cold = 0
        self.unannounced_cold = False
        self.down_until_s = 0.0
        self._events: list[tuple[float, int, str, str]] = []
        self._sequence = itertools.count()

    def run(self) -> _Outcome:
        """Replay the whole trace and return its outcome."""
        rng = random.Random(_SEED)
        at_s = 0.0
        while at_s < _TRACE_DURATION_S:
            at_s += rng.expovariate(_ARRIVALS_PER_S)
            self._schedule(at_s, "arrival", f"{at_s:.6f}")
        self._schedule(_RESTART_AT_S, "restart", "")
        self._schedule(_UNANNOUNCED_COLD_AT_S, "cold_phase", "")
        while self._events:
            now_s, _, kind, attempt_id = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(attempt_id, now_s)
        return self.outcome

    def _schedule(self, at_s: float, kind: str, attempt_id: str) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), kind, attempt_id))

    @property
    def _capacity(self) -> int:
        return (
            _COLD_LIMIT
            if self.completions_since_cold < _WARM_UP_COMPLETIONS
            else _MAX_LIMIT
        )

    def _on_arrival(self, attempt_id: str, now_s: float) -> None:
        self.limiter.tick(now_s)
        if now_s < self.down_until_s:
            return
        if not self.limiter.admit(attempt_id, 1):
            self.outcome.refused_within_capacity += len(self.running) < self._capacity
            return
        self.running[attempt_id] = now_s
        is_cold = self.completions_since_cold < _WARM_UP_COMPLETIONS
        if is_cold:
            self._record_cold_concurrency()
        if len(self.running) > self._capacity:
            self._crash(now_s)
            return
        self._schedule(
            now_s + (_COLD_LATENCY_S if is_cold else _WARM_LATENCY_S),
            "completion",
            attempt_id,
        )

    def _record_cold_concurrency(self) -> None:
        field = (
            "max_running_cold_unannounced"
            if self.unannounced_cold
            else "max_running_cold"
        )
        maximum = max(getattr(self.outcome, field), len(self.running))
        setattr(self.outcome, field, maximum)

    def _on_completion(self, attempt_id: str, now_s: float) -> None:
        started_s = self.running.pop(attempt_id, None)
        if started_s is None:
            return
        self.completions_since_cold += 1
        self.outcome.completed_count += 1
        latency_ms = 1000 * (now_s - started_s)
        self.limiter.release(attempt_id, UpstreamSignal.COMPLETED, now_s, latency_ms)
        is_full = self.limiter.load.limit >= _MAX_LIMIT and self._capacity == _MAX_LIMIT
        if (
            now_s > _RESTART_AT_S
            and is_full
            and math.isnan(self.outcome.full_limit_after_s)
        ):
            self.outcome.full_limit_after_s = now_s - _RESTART_AT_S

    def _crash(self, now_s: float) -> None:
        self.outcome.crashes += 1
        self._on_restart("", now_s)

    def _on_restart(self, _: str, now_s: float) -> None:
        self.completions_since_cold = 0
        self.unannounced_cold = False
        self.down_until_s = now_s + _RESTART_DOWNTIME_S
        interrupted_ids, self.running = list(self.running), {}
        for attempt_id in interrupted_ids:
            self.limiter.release(attempt_id, UpstreamSignal.RESTARTED, now_s, 0.0)

    def _on_cold_phase(self, _: str, now_s: float) -> None:
        self.completions_since_cold = 0
        self.unannounced_cold = True


def run() -> Report:
    """Replay the trace against each limiter."""
    rows = []
    for name, limiter_class in _LIMITERS.items():
        outcome = _Replay(limiter_class()).run()
        full_limit_after_s = outcome.full_limit_after_s
        rows += [
            Row(
                label=f"{name}: most running while cold (bears {_COLD_LIMIT})",
                value=str(outcome.max_running_cold),
                unit="requests",
            ),
            Row(
                label=f"{name}: the same after the unannounced cold turn",
                value=str(outcome.max_running_cold_unannounced),
                unit="requests",
            ),
            Row(label=f"{name}: crashes", value=str(outcome.crashes), unit="crashes"),
            Row(
                label=f"{name}: completed",
                value=str(outcome.completed_count),
                unit="requests",
            ),
            Row(
                label=f"{name}: refused though bearable",
                value=str(outcome.refused_within_capacity),
                unit="requests",
            ),
            Row(
                label=f"{name}: full limit after the restart",
                value="never"
                if math.isnan(full_limit_after_s)
                else f"{full_limit_after_s:.1f}",
                unit="s",
            ),
        ]
    ideal_s = _RESTART_DOWNTIME_S + _COLD_LATENCY_S * _WARM_UP_COMPLETIONS / _COLD_LIMIT
    rows.append(
        Row(label="earliest possible full limit", value=f"{ideal_s:.1f}", unit="s")
    )
    return Report(
        title="Limits for a cold upstream on one trace",
        conditions=(
            f"Replay without sockets, {_TRACE_DURATION_S:.0f} s of trace, "
            f"seed {_SEED}, {_ARRIVALS_PER_S:.0f} arrivals/s; "
            f"restart at {_RESTART_AT_S:.0f} s, "
            f"unannounced cold phase at {_UNANNOUNCED_COLD_AT_S:.0f} s. The upstream "
            f"handles {_COLD_LIMIT} requests at a time until "
            f"{_WARM_UP_COMPLETIONS} have completed, then {_MAX_LIMIT}."
        ),
        rows=tuple(rows),
    )
