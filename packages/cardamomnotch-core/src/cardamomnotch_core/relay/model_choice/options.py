"""Larger models that a request may be escalated to, and the best of them."""

from collections.abc import Callable, Sequence

import attrs

from ..placement.placer import Placement
from .const import GAIN_DECIMALS
from .models import Shortage


@attrs.frozen(kw_only=True)
class Option:
    """A larger model that a request may be escalated to."""

    model: str
    placement: Placement
    # Increase of the probability of a good answer in time.
    gain: float
    time_ms: float
    cost: float


def best_option(
    usable: Sequence[Option],
    largest: Option,
    shortage: Shortage,
    is_known: Callable[[str], bool],
) -> Option:
    """Return the option with the highest gain less its upstream time.

    ``is_known`` tells whether a model has answered before. The price of time is such
    that at full shortage the largest model's gain pays for its time just so; the
    models' own prices break ties.
    """
    if shortage.value <= 0:
        unknown = [
            option
            for option in usable
            if option.model != largest.model and not is_known(option.model)
        ]
        return (unknown or usable)[0]
    price = shortage.value * max(0.0, largest.gain) / largest.time_ms
    return max(
        usable,
        key=lambda option: (
            round(option.gain - price * option.time_ms, GAIN_DECIMALS),
            -option.cost,
        ),
    )
