"""Choice of a request's model by confidence, prompt and load.

Answers one load: prompts so long that the largest model's first token would come too
late if a smaller model were asked before it.
"""

from collections.abc import Callable

import attrs

from ..const import ESCALATION_LATENCY_FRACTION
from ..models import Route
from ..placement.placer import Placement
from .const import (
    CONFIDENCE_SHARE_STEP,
    DEFAULT_CONFIDENCE_FLOOR,
    DEFAULT_LOW_CONFIDENCE_SHARE,
    IDLE_TIME_FRACTION,
    MAX_WAIT_OF_LARGEST_MS,
    MIN_LOW_CONFIDENCE_SHARE,
)

# Returns where a model would be asked now; None if no upstream can take the request.
PlacementOf = Callable[[str], Placement | None]


@attrs.frozen(kw_only=True)
class PromptTimes:
    """Times until the first tokens on idle upstreams without a cached prompt."""

    smallest_s: float
    largest_s: float


class Cascade:
    """Asks the smallest model first, and the largest if confidence is low.

    The largest model is asked at once where it can answer in time only so.
    """

    def __init__(self, confidence_floor: int = DEFAULT_CONFIDENCE_FLOOR) -> None:
        self._confidence_floor = confidence_floor
        # Share of the smallest model's answers with a low confidence, by route.
        self._low_shares: dict[str, float] = {}

    def first_model(
        self, route: Route, idle: PromptTimes, placement_of: PlacementOf
    ) -> str:
        """Return the model that is asked first.

        ``placement_of`` is called only if the prompt may be too long for two models,
        one after the other.
        """
        smallest, largest = route.models[0], route.models[-1]
        limit_s = route.target_latency_s * ESCALATION_LATENCY_FRACTION
        if (
            smallest == largest
            or not route.repeat.is_repeatable
            or idle.smallest_s + idle.largest_s <= limit_s * IDLE_TIME_FRACTION
        ):
            return smallest
        share = self._low_shares.get(route.name, DEFAULT_LOW_CONFIDENCE_SHARE)
        if share < MIN_LOW_CONFIDENCE_SHARE:
            return smallest
        first, second = placement_of(smallest), placement_of(largest)
        if first is None or second is None:
            return smallest
        # A long prompt at the largest model holds up all others at its upstream.
        if second.waiting_ms > MAX_WAIT_OF_LARGEST_MS:
            return smallest
        largest_s = second.expected_ms / 1000
        both_s = first.expected_ms / 1000 + largest_s
        return largest if largest_s <= limit_s < both_s else smallest

    def record_answer(self, route: Route, model: str, confidence: int | None) -> None:
        """Record the confidence of a model's answer, 0 to 100; None if it has none."""
        if confidence is None or not route.models or model != route.models[0]:
            return
        share = self._low_shares.get(route.name, DEFAULT_LOW_CONFIDENCE_SHARE)
        is_low = confidence < self._confidence_floor
        self._low_shares[route.name] = share + CONFIDENCE_SHARE_STEP * (is_low - share)

    def forget_routes(self, names: frozenset[str]) -> None:
        """Delete what was learned of routes other than ``names``."""
        for name in self._low_shares.keys() - names:
            del self._low_shares[name]

    def next_model(
        self, route: Route, model: str, confidence: int | None
    ) -> str | None:
        """Return the model to ask after ``model``, or None to keep its answer.

        ``confidence`` is the model's own rating of its answer, 0 to 100; None
        if it did not give one.
        """
        if confidence is None or model == route.models[-1]:
            return None
        if confidence >= self._confidence_floor:
            return None
        return route.models[-1]
