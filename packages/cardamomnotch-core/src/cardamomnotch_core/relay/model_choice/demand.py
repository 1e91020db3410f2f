"""Recent demand for larger models.

Answers one load: a burst of unimportant requests beside important ones, which would
get the same part of the upstreams' time by their number alone.
"""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable

from .const import DEMAND_WINDOW_S, MAX_WISHES
from .models import Rank


class RecentDemand:
    """Last requests of a service for which a larger model was wanted.

    Finding a position takes a few comparisons and a sum of at most ``MAX_WISHES``
    numbers.
    """

    def __init__(self, random_source: Callable[[], float]) -> None:
        # Returns a number from 0 to 1.
        self._random = random_source
        # Time of each wish with its rank and its upstream time, oldest first.
        self._wishes: deque[tuple[float, tuple[float, ...], float]] = deque()
        # The ranks in order, and the upstream time of each.
        self._ranks: list[tuple[float, ...]] = []
        self._times_ms: list[float] = []

    def __len__(self) -> int:
        """Return the number of wishes that are stored."""
        return len(self._wishes)

    def add(self, rank: Rank, time_ms: float, now_s: float) -> None:
        """Add a wish for a model that takes ``time_ms`` of upstream time."""
        while self._wishes and (
            self._wishes[0][0] < now_s - DEMAND_WINDOW_S
            or len(self._wishes) >= MAX_WISHES
        ):
            self._remove_oldest()
        key = rank.order
        self._wishes.append((now_s, key, time_ms))
        index = bisect_right(self._ranks, key)
        self._ranks.insert(index, key)
        self._times_ms.insert(index, time_ms)

    def position(self, rank: Rank) -> float:
        """Return the share of the wanted upstream time that ranks above ``rank``.

        Wishes of equal rank are ordered at random, so that a share of them is
        granted rather than all or none. The wish itself has to be added before.
        """
        first = bisect_left(self._ranks, rank.order)
        end = bisect_right(self._ranks, rank.order)
        above_ms = sum(self._times_ms[:first])
        equal_ms = sum(self._times_ms[first:end])
        return (above_ms + equal_ms * self._random()) / sum(self._times_ms)

    def _remove_oldest(self) -> None:
        _, key, time_ms = self._wishes.popleft()
        index = self._times_ms.index(time_ms, bisect_left(self._ranks, key))
        del self._ranks[index]
        del self._times_ms[index]
