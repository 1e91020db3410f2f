"""Choice of one upstream out of a pool."""

import random
from collections.abc import Collection, Iterator

import attrs

from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from .const import MAX_DRAWS, MAX_EJECTED_SHARE
from .health import UpstreamHealthTracker
from .load import UpstreamLoadTracker
from .models import Pool


@attrs.frozen
class Candidate:
    """An upstream with what the choice went by."""

    upstream: Upstream
    # Expected first-token time, by load and latency, in seconds.
    cost_s: float
    has_room: bool


class UpstreamPicker:
    """Takes the cheaper of two random upstreams, near ones first.

    Power of two choices (Mitzenmacher, 2001) on an expected waiting time:
    recent first-token time times the load, as in peak-EWMA balancers.
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
        self, pool: Pool, tried: Collection[str], now_s: float
    ) -> Candidate | None:
        """Return the choice; None if no upstream of ``pool`` can be asked.

        Spills to other zones once no near upstream has room. When nobody has
        room the gate of the least loaded one decides.
        """
        fallback: Candidate | None = None
        for vm_ids in (pool.near, pool.far):
            found = self._pick_side(vm_ids, tried, now_s)
            if found is not None and found.has_room:
                return found
            fallback = _cheaper(fallback, found)
        return fallback

    def _pick_side(
        self, vm_ids: tuple[str, ...], tried: Collection[str], now_s: float
    ) -> Candidate | None:
        found: list[Candidate] = []
        for vm_id in self._draw(vm_ids):
            if self._health.is_ejected(vm_id, now_s):
                continue
            candidate = self._candidate(vm_id, tried, now_s)
            if candidate is not None and candidate.has_room:
                found.append(candidate)
                if len(found) == 2:
                    return _cheaper(*found)
        return self._search(vm_ids, tried, now_s)

    def _draw(self, vm_ids: tuple[str, ...]) -> Iterator[str]:
        if len(vm_ids) <= MAX_DRAWS:
            yield from self._random.sample(vm_ids, len(vm_ids))
            return
        drawn: set[str] = set()
        for _ in range(MAX_DRAWS):
            vm_id = vm_ids[int(self._random.random() * len(vm_ids))]
            if vm_id not in drawn:
                drawn.add(vm_id)
                yield vm_id

    def _search(
        self, vm_ids: tuple[str, ...], tried: Collection[str], now_s: float
    ) -> Candidate | None:
        """Return the best of all, where two draws found too little."""
        able = [
            candidate
            for vm_id in vm_ids
            if (candidate := self._candidate(vm_id, tried, now_s)) is not None
        ]
        kept = [
            item
            for item in able
            if not self._health.is_ejected(item.upstream.vm_id, now_s)
        ]
        if len(kept) < len(able) * (1 - MAX_EJECTED_SHARE):
            kept = able
        return min(kept, key=_order, default=None)

    def _candidate(
        self, vm_id: str, tried: Collection[str], now_s: float
    ) -> Candidate | None:
        upstream = self._table.get(vm_id)
        if upstream is None or vm_id in tried or upstream.is_silent(now_s):
            return None
        in_flight = self._loads.in_flight(upstream, now_s)
        limit = max(1.0, upstream.load.limit * self._health.ramp(vm_id, now_s))
        cost_s = self._loads.first_token_s(vm_id) * (in_flight + 1) / limit
        return Candidate(upstream, cost_s, in_flight < limit)


def _order(candidate: Candidate) -> tuple[bool, float]:
    return (not candidate.has_room, candidate.cost_s)


def _cheaper(first: Candidate | None, second: Candidate | None) -> Candidate | None:
    able = [item for item in (first, second) if item is not None]
    return min(able, key=_order, default=None)
