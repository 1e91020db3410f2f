"""Limits for a cold upstream, compared on one replayed trace.

The trace: Poisson arrivals by a fixed seed, a restart that breaks every
connection, later a cold phase that nothing announces. The upstream model: it
bears few requests until it has completed some, and crashes above that.
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
_END_S = 240.0
_RESTART_AT_S = 60.0
_SILENT_COLD_AT_S = 150.0
_DOWN_S = 1.0
_MAX_LIMIT = 32
_COLD_LIMIT = 2
_WARM_AFTER = 8
_WARM_S = 1.0
_COLD_S = 2.0
_HOLD_S = 10.0
_RAMP_S = 20.0


class _Counting:
    """Counts attempts in flight; subclasses move ``limit``."""

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
        self, attempt_id: str, sign: UpstreamSignal, now_s: float, latency_ms: float
    ) -> None:
        self._in_flight.discard(attempt_id)
        self.learn(sign, now_s, latency_ms)

    def learn(self, sign: UpstreamSignal, now_s: float, latency_ms: float) -> None:
        """Move the limit."""

    def tick(self, now_s: float) -> None:
        """Let time pass."""


class _Ramp(_Counting):
    """Holds the cold limit, then grows, by time alone since the last restart."""

    def __init__(self) -> None:
        super().__init__()
        self._since_s = 0.0

    def learn(self, sign: UpstreamSignal, now_s: float, latency_ms: float) -> None:
        if sign is UpstreamSignal.RESTARTED:
            self._since_s = now_s
            self.tick(now_s)

    def tick(self, now_s: float) -> None:
        ramped_s = max(0.0, now_s - self._since_s - _HOLD_S)
        share = min(1.0, ramped_s / _RAMP_S)
        self.limit = _COLD_LIMIT + share * (_MAX_LIMIT - _COLD_LIMIT)


class _Aimd(_Counting):
    """Additive increase, halved by any failure (RFC 5681)."""

    def learn(self, sign: UpstreamSignal, now_s: float, latency_ms: float) -> None:
        if sign is UpstreamSignal.COMPLETED:
            self.limit = min(_MAX_LIMIT, self.limit + 1 / self.limit)
        else:
            self.limit = max(1.0, self.limit / 2)


class _Gradient(_Counting):
    """Follows the ratio of the least latency to the present one (TCP Vegas)."""

    def __init__(self) -> None:
        super().__init__()
        self._least_ms = math.inf

    def learn(self, sign: UpstreamSignal, now_s: float, latency_ms: float) -> None:
        if sign is not UpstreamSignal.COMPLETED:
            return
        self._least_ms = min(self._least_ms, latency_ms)
        gradient = max(0.5, min(1.0, self._least_ms / latency_ms))
        target = gradient * self.limit + math.sqrt(self.limit)
        self.limit = min(_MAX_LIMIT, 0.8 * self.limit + 0.2 * target)


class _Completed(ConcurrencyLimiter):
    """The gate's own limiter."""

    def __init__(self) -> None:
        settings = LimiterSettings(
            max_limit=_MAX_LIMIT,
            cold_limit=_COLD_LIMIT,
            warm_up_completions=_WARM_AFTER,
        )
        super().__init__(settings=settings)

    def tick(self, now_s: float) -> None:
        """Time alone changes nothing."""


_LIMITERS = {
    "fixed at 32": _Counting,
    "ramp by time, 10 s held and 20 s grown": _Ramp,
    "AIMD": _Aimd,
    "gradient": _Gradient,
    "on completed work": _Completed,
}


@attrs.define
class _Outcome:
    most_cold: int = 0
    most_cold_unannounced: int = 0
    crashes: int = 0
    served: int = 0
    refused_bearable: int = 0
    full_after_s: float = math.nan


class _Replay:
    """One upstream behind one limiter."""

    def __init__(self, limiter: Any) -> None:
        self.limiter = limiter
        self.outcome = _Outcome()
        self.running: dict[str, float] = {}
        self.completed = 0
        self.silent_cold = False
        self.down_until_s = 0.0
        self._queue: list[tuple[float, int, str, str]] = []
        self._order = itertools.count()

    def run(self) -> _Outcome:
        """Replay the whole trace."""
        source = random.Random(_SEED)
        at_s = 0.0
        while at_s < _END_S:
            at_s += source.expovariate(_ARRIVALS_PER_S)
            self._put(at_s, "arrive", f"{at_s:.6f}")
        self._put(_RESTART_AT_S, "restart", "")
        self._put(_SILENT_COLD_AT_S, "cool", "")
        while self._queue:
            now_s, _, kind, name = heapq.heappop(self._queue)
            getattr(self, f"_{kind}")(name, now_s)
        return self.outcome

    def _put(self, at_s: float, kind: str, name: str) -> None:
        heapq.heappush(self._queue, (at_s, next(self._order), kind, name))

    @property
    def _bears(self) -> int:
        return _COLD_LIMIT if self.completed < _WARM_AFTER else _MAX_LIMIT

    def _arrive(self, name: str, now_s: float) -> None:
        self.limiter.tick(now_s)
        if now_s < self.down_until_s:
            return
        if not self.limiter.admit(name, 1):
            self.outcome.refused_bearable += len(self.running) < self._bears
            return
        self.running[name] = now_s
        cold = self.completed < _WARM_AFTER
        if cold:
            self._note_cold()
        if len(self.running) > self._bears:
            self._crash(now_s)
            return
        self._put(now_s + (_COLD_S if cold else _WARM_S), "complete", name)

    def _note_cold(self) -> None:
        name = "most_cold_unannounced" if self.silent_cold else "most_cold"
        most = max(getattr(self.outcome, name), len(self.running))
        setattr(self.outcome, name, most)

    def _complete(self, name: str, now_s: float) -> None:
        started_s = self.running.pop(name, None)
        if started_s is None:
            return
        self.completed += 1
        self.outcome.served += 1
        latency_ms = 1000 * (now_s - started_s)
        self.limiter.release(name, UpstreamSignal.COMPLETED, now_s, latency_ms)
        full = self.limiter.load.limit >= _MAX_LIMIT and self._bears == _MAX_LIMIT
        if now_s > _RESTART_AT_S and full and math.isnan(self.outcome.full_after_s):
            self.outcome.full_after_s = now_s - _RESTART_AT_S

    def _crash(self, now_s: float) -> None:
        self.outcome.crashes += 1
        self._restart("", now_s)

    def _restart(self, _: str, now_s: float) -> None:
        self.completed = 0
        self.silent_cold = False
        self.down_until_s = now_s + _DOWN_S
        broken, self.running = list(self.running), {}
        for name in broken:
            self.limiter.release(name, UpstreamSignal.RESTARTED, now_s, 0.0)

    def _cool(self, _: str, now_s: float) -> None:
        self.completed = 0
        self.silent_cold = True


def run() -> Report:
    """Replay the trace against each limiter."""
    rows = []
    for name, limiter_class in _LIMITERS.items():
        outcome = _Replay(limiter_class()).run()
        full = outcome.full_after_s
        rows += [
            Row(
                what=f"{name}: most running while cold (bears {_COLD_LIMIT})",
                value=str(outcome.most_cold),
                unit="requests",
            ),
            Row(
                what=f"{name}: the same after the unannounced cold turn",
                value=str(outcome.most_cold_unannounced),
                unit="requests",
            ),
            Row(what=f"{name}: crashes", value=str(outcome.crashes), unit="crashes"),
            Row(what=f"{name}: completed", value=str(outcome.served), unit="requests"),
            Row(
                what=f"{name}: refused though bearable",
                value=str(outcome.refused_bearable),
                unit="requests",
            ),
            Row(
                what=f"{name}: full limit after the restart",
                value="never" if math.isnan(full) else f"{full:.1f}",
                unit="s",
            ),
        ]
    ideal_s = _DOWN_S + _COLD_S * _WARM_AFTER / _COLD_LIMIT
    rows.append(
        Row(what="earliest possible full limit", value=f"{ideal_s:.1f}", unit="s")
    )
    return Report(
        title="Limits for a cold upstream on one trace",
        conditions=(
            f"Replay without sockets, {_END_S:.0f} s of trace, seed {_SEED}, "
            f"{_ARRIVALS_PER_S:.0f} arrivals/s; restart at {_RESTART_AT_S:.0f} s, "
            f"unannounced cold phase at {_SILENT_COLD_AT_S:.0f} s. The upstream "
            f"bears {_COLD_LIMIT} until {_WARM_AFTER} answers, then {_MAX_LIMIT}."
        ),
        rows=tuple(rows),
    )
