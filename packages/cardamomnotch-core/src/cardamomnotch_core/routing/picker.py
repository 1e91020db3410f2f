"""Selection of one upstream from a pool."""

import random
from collections.abc import Collection, Iterator

import attrs

from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from .const import MAX_EJECTED_SHARE, MAX_RANDOM_DRAWS
from .health import UpstreamHealthTracker
from .load import UpstreamLoadTracker
from .models import UpstreamPool


@attrs.frozen
class UpstreamCandidate:
    """An upstream with the values that the selection compares."""

    upstream: Upstream
    # Expected waiting time: first-token time scaled by the load.
    cost_s: float
    has_capacity: bool


class UpstreamPicker:
    """Selects the cheaper of two random upstreams, same zone first.

    Power of two choices (Mitzenmacher, 2001) on the expected waiting time:
    recent first-token time times the load, as in peak-EWMA load balancers.
    """

    def __init__(
        self,
        table: UpstreamTable,
        health: UpstreamHealthTracker,
        loads: UpstreamLoadTracker,
        random_source: random.Random,
    ) -> None:
        self._table = table
        self._health = health
        self._loads = loads
        self._random = random_source

    def pick(
        self, pool: UpstreamPool, tried: Collection[str], now_s: float
    ) -> UpstreamCandidate | None:
        """Return the selected upstream, or None if none is available.

        Other zones are used once no upstream in the same zone is below its
        limit. If all upstreams are at their limit, the one with the lowest
        cost is returned, and its sidecar decides whether to admit the request.
        """
        fallback: UpstreamCandidate | None = None
        for vm_ids in (pool.same_zone, pool.other_zones):
            candidate = self._pick_among(vm_ids, tried, now_s)
            if candidate is not None and candidate.has_capacity:
                return candidate
            fallback = _cheaper(fallback, candidate)
        return fallback

    def _pick_among(
        self, vm_ids: tuple[str, ...], tried: Collection[str], now_s: float
    ) -> UpstreamCandidate | None:
        candidates: list[UpstreamCandidate] = []
        for vm_id in self._draw_random(vm_ids):
            if self._health.is_ejected(vm_id, now_s):
                continue
            candidate = self._evaluate(vm_id, tried, now_s)
            if candidate is not None and candidate.has_capacity:
                candidates.append(candidate)
                if len(candidates) == 2:
                    return _cheaper(*candidates)
        return self._best_of_all(vm_ids, tried, now_s)

    def _draw_random(self, vm_ids: tuple[str, ...]) -> Iterator[str]:
        if len(vm_ids) <= MAX_RANDOM_DRAWS:
            yield from self._random.sample(vm_ids, len(vm_ids))
            return
        drawn: set[str] = set()
        for _ in range(MAX_RANDOM_DRAWS):
            vm_id = vm_ids[int(self._random.random() * len(vm_ids))]
            if vm_id not in drawn:
                drawn.add(vm_id)
                yield vm_id

    def _best_of_all(
        self, vm_ids: tuple[str, ...], tried: Collection[str], now_s: float
    ) -> UpstreamCandidate | None:
        """Return the best of all upstreams, if random draws found too few.

        Ejection is ignored if more than ``MAX_EJECTED_SHARE`` are ejected.
        """
        available = [
            candidate
            for vm_id in vm_ids
            if (candidate := self._evaluate(vm_id, tried, now_s)) is not None
        ]
        eligible = [
            item
            for item in available
            if not self._health.is_ejected(item.upstream.vm_id, now_s)
        ]
        if len(eligible) < len(available) * (1 - MAX_EJECTED_SHARE):
            eligible = available
        return min(eligible, key=_sort_key, default=None)

    def _evaluate(
        self, vm_id: str, tried: Collection[str], now_s: float
    ) -> UpstreamCandidate | None:
        upstream = self._table.get(vm_id)
        if upstream is None or vm_id in tried or upstream.is_unresponsive(now_s):
            return None
        in_flight = self._loads.in_flight(upstream, now_s)
        limit = max(
            1.0, upstream.load.limit * self._health.slow_start_share(vm_id, now_s)
        )
        cost_s = self._loads.first_token_s(vm_id) * (in_flight + 1) / limit
        return UpstreamCandidate(upstream, cost_s, in_flight < limit)


def _sort_key(candidate: UpstreamCandidate) -> tuple[bool, float]:
    return (not candidate.has_capacity, candidate.cost_s)


def _cheaper(
    first: UpstreamCandidate | None, second: UpstreamCandidate | None
) -> UpstreamCandidate | None:
    available = [item for item in (first, second) if item is not None]
    return min(available, key=_sort_key, default=None)
