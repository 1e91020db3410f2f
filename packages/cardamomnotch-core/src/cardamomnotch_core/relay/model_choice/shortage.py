"""How short a service's upstream time and retry budget are.

Answers one load: more requests than the upstreams have time for, on which escalations
of any request would delay the others.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from ..models import Route
from ..rates.const import RESERVED_RETRY_SHARE
from ..rates.retries import BudgetUse
from .const import (
    HIGH_PAUSE_FRACTION,
    HIGH_WAIT_FRACTION,
    LOW_BUDGET_SHARE,
    LOW_PAUSE_FRACTION,
    LOW_WAIT_FRACTION,
    MAX_WAIT_SHORTAGE,
    MIN_WAIT_WEIGHT,
    WAIT_SMOOTHING_S,
)
from .models import Shortage

# Returns the use of a service's retry budget at a time.
BudgetView = Callable[[str, float], BudgetUse]


@attrs.define
class _RecentMean:
    """Mean of the last values; older ones weigh exponentially less."""

    updated_at_s: float = 0.0
    _sum: float = 0.0
    _weight: float = 0.0

    def record(self, value: float, now_s: float) -> None:
        decay = math.exp(-self._idle_s(now_s) / WAIT_SMOOTHING_S)
        self._sum = self._sum * decay + value
        self._weight = self._weight * decay + 1
        self.updated_at_s = max(self.updated_at_s, now_s)

    def mean(self, now_s: float) -> float:
        """Return the mean, which decays when there have been no values."""
        decay = math.exp(min(0.0, 1 - self._idle_s(now_s) / WAIT_SMOOTHING_S))
        return decay * self._sum / max(self._weight, MIN_WAIT_WEIGHT)

    def _idle_s(self, now_s: float) -> float:
        return max(0.0, now_s - self.updated_at_s)


class ShortageEstimates:
    """Estimates the shortage of each service whose routes have several models."""

    def __init__(self, budget_use: BudgetView) -> None:
        self._budget_use = budget_use
        # Shortest target latency of the services' routes, in seconds.
        self._targets_s: dict[str, float] = {}
        self._waits_ms: dict[str, _RecentMean] = {}
        # Pauses within streams, as fractions of the longest one that is on time.
        self._pauses: dict[str, _RecentMean] = {}

    @property
    def services(self) -> Iterable[str]:
        """Return the services of which there is an estimate."""
        return self._targets_s.keys()

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Set the routes in force, and delete what is known of other services."""
        targets_s: dict[str, float] = {}
        with_models = set()
        for route in routes:
            for share in route.shares:
                target_s = targets_s.get(share.service, math.inf)
                targets_s[share.service] = min(target_s, route.target_latency_s)
                if len(route.models) > 1:
                    with_models.add(share.service)
        self._targets_s = {name: targets_s[name] for name in sorted(with_models)}
        for means in (self._waits_ms, self._pauses):
            for name in means.keys() - with_models:
                del means[name]
            for name in with_models - means.keys():
                means[name] = _RecentMean()

    def record_wait(self, service: str, waiting_ms: float, now_s: float) -> None:
        """Record the expected wait of a request that is sent."""
        waits = self._waits_ms.get(service)
        if waits is not None:
            waits.record(waiting_ms, now_s)

    def record_pause(self, service: str, fraction: float, now_s: float) -> None:
        """Record a pause within a stream.

        ``fraction`` is its part of the longest pause that is still on time.
        """
        pauses = self._pauses.get(service)
        if pauses is not None:
            pauses.record(fraction, now_s)

    def get(self, service: str, now_s: float) -> Shortage:
        """Return the shortage now; 0 for a service without routes with models."""
        waits = self._waits_ms.get(service)
        if waits is None:
            return Shortage()
        wait_ms = waits.mean(now_s)
        pause_fraction = self._pauses[service].mean(now_s)
        fraction = wait_ms / (self._targets_s[service] * 1000)
        budget_share = self._budget_use(service, now_s).share
        return Shortage(
            wait_part=MAX_WAIT_SHORTAGE
            * _rise(fraction, LOW_WAIT_FRACTION, HIGH_WAIT_FRACTION),
            pause_part=MAX_WAIT_SHORTAGE
            * _rise(pause_fraction, LOW_PAUSE_FRACTION, HIGH_PAUSE_FRACTION),
            budget_part=_rise(budget_share, LOW_BUDGET_SHARE, 1 - RESERVED_RETRY_SHARE),
            wait_ms=wait_ms,
            pause_fraction=pause_fraction,
            age_s=now_s - waits.updated_at_s,
            budget_share=budget_share,
        )


def _rise(value: float, low: float, high: float) -> float:
    """Return 0 below ``low``, 1 above ``high``, and in between in proportion."""
    return min(1.0, max(0.0, (value - low) / (high - low)))
