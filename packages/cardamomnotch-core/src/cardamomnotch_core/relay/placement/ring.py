"""A ring of upstreams, on which equal requests find the same ones."""

import bisect
from collections.abc import Iterator, Sequence
from functools import lru_cache

import xxhash

from ...membership.rendezvous import rendezvous_hash
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
            (_point(upstream_id), upstream_id) for upstream_id in self.by_id
        )
        self._points = [point for point, _ in ordered]
        self._ids = [upstream_id for _, upstream_id in ordered]

    def find(self, seed: str, count: int) -> Iterator[str]:
        """Yield ``count`` ids for ``seed``, of which some may be the same."""
        for number in range(count):
            point = rendezvous_hash(seed, str(number))
            position = bisect.bisect(self._points, point) % len(self._ids)
            yield self._ids[position]


@lru_cache(maxsize=_MAX_CACHED_POINTS)
def _point(upstream_id: str) -> int:
    return xxhash.xxh3_64_intdigest(upstream_id.encode())
