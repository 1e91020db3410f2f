"""Data types of the estimates of an upstream's times."""

from bisect import bisect_right
from enum import StrEnum

import attrs

from ..placement.const import DEFAULT_SPREAD
from .const import LOAD_LIMITS_MS


class LoadClass(StrEnum):
    """Expected wait for other requests, in classes."""

    NONE = "none"
    UP_TO_50_MS = "up_to_50_ms"
    UP_TO_200_MS = "up_to_200_ms"
    UP_TO_500_MS = "up_to_500_ms"
    OVER_500_MS = "over_500_ms"


LOAD_CLASSES = tuple(LoadClass)


def load_class(waiting_ms: float) -> LoadClass:
    """Return the class of an expected wait."""
    return LOAD_CLASSES[bisect_right(LOAD_LIMITS_MS, waiting_ms)]


# Not frozen: an instance is created for each candidate, and creating a frozen one
# takes longer.
@attrs.define
class FirstTokenEstimate:
    """Expected time to a request's first token at one upstream."""

    # Expected time if nothing else ran there, in milliseconds.
    prefill_ms: float
    # Expected wait for other requests, in milliseconds.
    waiting_ms: float
    # Factor that four of five observed times stay under.
    spread: float = DEFAULT_SPREAD


@attrs.define
class UsualTimes:
    """What an attempt would take at an upstream of its service's usual speed.

    What is told of an attempt to other entries and to rollouts does not depend on what
    this entry has learned of the upstream: it would hide that a version is slow.
    """

    # Expected time to the first token if nothing else ran there, in milliseconds.
    idle_ms: float
    # Expected time to the first token, in milliseconds.
    expected_ms: float


@attrs.frozen(kw_only=True)
class ErrorSummary:
    """Ratio of observed to expected times of one model at one load."""

    service: str
    model: str
    load: LoadClass
    samples: int
    median: float
    spread: float
