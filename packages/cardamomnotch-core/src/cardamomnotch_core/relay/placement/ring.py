"""A ring of upstreams, on which equal requests find the same ones."""

import bisect
from collections.abc import Sequence
from functools import lru_cache

import xxhash

from ..fleet import UpstreamState

_MAX_CACHED_POINTS = 16_384


class UpstreamRing:
    """The candidates of a service by hashes of their ids: consistent hashing.

    Which upstreams a seed finds does not depend on the candidates' order, and hardly on
    other upstreams that come and go.
    """

    def __init__(self, candidates: Sequence[UpstreamState]) -> None:
        self.by_id = {state.upstream_id: state for state in candidates}
        ordered = sorted(
            (_upstream_point(upstream_id), upstream_id) for upstream_id in self.by_id
        )
        self._points = [point for point, _ in ordered]
        self._ids = [upstream_id for _, upstream_id in ordered]

    def find(self, seed: str, count: int) -> Sequence[str]:
        """Return the ids of ``count`` upstreams for ``seed``, at most all."""
        start = bisect.bisect(self._points, _point(seed))
        found = self._ids[start : start + count]
        return found + self._ids[: min(start, count - len(found))]


@lru_cache(maxsize=_MAX_CACHED_POINTS)
def _upstream_point(upstream_id: str) -> int:
    return _point(upstream_id)


def _point(seed: str) -> int:
    return xxhash.xxh3_64_intdigest(seed.encode())
