"""Whether a model's answer is expected in time, given the estimate's spread.

Answers one load: prompts so long, or upstreams so busy, that an answer of the larger
model comes too late.
"""

import math

from ..const import ESCALATION_LATENCY_FRACTION
from ..models import Route
from ..placement.const import DEFAULT_SPREAD
from ..placement.placer import Placement
from .const import SPREAD_QUANTILE
from .models import Answer, ChoiceRequest

# Least spread that a probability is calculated with.
_MIN_SPREAD = 1.01


def is_in_time(route: Route, elapsed_s: float, placement: Placement) -> bool:
    """Return whether the first token is expected within the target latency.

    It is if four of five would be, or where the spread is not known within a fixed
    fraction of the target latency. ``elapsed_s`` is the time since the arrival.
    """
    expected_s = placement.expected_ms / 1000
    if placement.spread == DEFAULT_SPREAD:
        limit_s = route.target_latency_s * ESCALATION_LATENCY_FRACTION
        return elapsed_s + expected_s <= limit_s
    return elapsed_s + expected_s * placement.spread <= route.target_latency_s


def chance_in_time(route: Route, elapsed_s: float, placement: Placement) -> float:
    """Return the probability that the first token is within the target latency."""
    left_s = route.target_latency_s - elapsed_s
    expected_s = placement.expected_ms / 1000
    if left_s <= 0 or expected_s <= 0:
        return 1.0 if left_s > 0 else 0.0
    deviation = math.log(max(_MIN_SPREAD, placement.spread)) / SPREAD_QUANTILE
    return 0.5 * (1 + math.erf(math.log(left_s / expected_s) / deviation / 2**0.5))


def ends_too_late(request: ChoiceRequest, answer: Answer, placement: Placement) -> bool:
    """Return whether only the answer that is there would end before the deadline."""
    left_s = request.allowed_s - answer.elapsed_s
    larger_s = (placement.expected_ms + placement.end_ms) / 1000
    return larger_s > left_s >= answer.end_ms / 1000


def upstream_time_ms(placement: Placement) -> float:
    """Return the upstream time that an attempt takes from others, in milliseconds.

    Prompts are read one at a time, and tokens generated for all slots together.
    """
    slots = max(1, placement.state.upstream.slots)
    return max(1.0, placement.prefill_ms + placement.end_ms / slots)
