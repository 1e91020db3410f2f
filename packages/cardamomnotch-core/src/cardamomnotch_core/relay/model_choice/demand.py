"""Recent demand for larger models.

Answers one load: a burst of unimportant requests beside important ones, which would
get the same part of the upstreams' time by their number alone.
"""

from collections import deque
from collections.abc import Callable

import attrs

from .const import DEMAND_WINDOW_S, MAX_WISHES
from .models import Rank


@attrs.frozen
class _Wish:
    at_s: float
    rank: Rank
    time_ms: float


class RecentDemand:
    """Last requests of a service for which a larger model was wanted."""

    def __init__(self, random_source: Callable[[], float]) -> None:
        # Returns a number from 0 to 1.
        self._random = random_source
        self._wishes: deque[_Wish] = deque(maxlen=MAX_WISHES)

    def __len__(self) -> int:
        """Return the number of wishes that are stored."""
        return len(self._wishes)

    def add(self, rank: Rank, time_ms: float, now_s: float) -> None:
        """Add a wish for a model that takes ``time_ms`` of upstream time."""
        self._wishes.append(_Wish(now_s, rank, max(time_ms, 1.0)))

    def position(self, rank: Rank, now_s: float) -> float:
        """Return the share of the wanted upstream time that ranks above ``rank``.

        Wishes of equal rank are ordered at random, so that a share of them is
        granted rather than all or none. Call this after the wish was added.
        """
        while self._wishes and self._wishes[0].at_s < now_s - DEMAND_WINDOW_S:
            self._wishes.popleft()
        above_ms = equal_ms = total_ms = 0.0
        for wish in self._wishes:
            total_ms += wish.time_ms
            if wish.rank < rank:
                above_ms += wish.time_ms
            elif wish.rank == rank:
                equal_ms += wish.time_ms
        if not total_ms:
            return 0.0
        return (above_ms + equal_ms * self._random()) / total_ms
