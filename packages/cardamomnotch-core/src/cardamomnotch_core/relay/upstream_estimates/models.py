"""Data types of the estimates of an upstream's times."""

from enum import StrEnum

import attrs


class LoadClass(StrEnum):
    """Expected wait for other requests, in classes."""

    NONE = "none"
    UP_TO_50_MS = "up_to_50_ms"
    UP_TO_200_MS = "up_to_200_ms"
    UP_TO_500_MS = "up_to_500_ms"
    OVER_500_MS = "over_500_ms"


LOAD_CLASSES = tuple(LoadClass)


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
    spread: float = 1.0


@attrs.frozen(kw_only=True)
class ErrorSummary:
    """Ratio of observed to expected times of one model at one load."""

    service: str
    model: str
    load: LoadClass
    samples: int
    median: float
    spread: float
