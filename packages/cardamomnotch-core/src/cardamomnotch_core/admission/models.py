"""Classes of admission."""

from enum import StrEnum

import attrs

from .const import DEFAULT_WARM_UP_COMPLETIONS


class WarmUpState(StrEnum):
    """How much an upstream is trusted to bear."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class UpstreamSignal(StrEnum):
    """What the end of a call or a report says about the upstream."""

    COMPLETED = "completed"
    OVERLOADED = "overloaded"
    RESTARTED = "restarted"
    RETURNED = "returned"
    # Says nothing, for example that the caller cancelled.
    NONE = "none"


@attrs.frozen(kw_only=True)
class LimiterSettings:
    """Bounds of the limiter; a cold limit of 0 stands for the maximum.

    ``max_tokens_in_flight`` of 0 means that tokens are not limited.
    """

    max_limit: int
    cold_limit: int = 0
    max_tokens_in_flight: int = 0
    warm_up_completions: int = DEFAULT_WARM_UP_COMPLETIONS

    @property
    def first_limit(self) -> int:
        """Return the limit of a cold upstream."""
        return min(self.cold_limit or self.max_limit, self.max_limit)


@attrs.frozen(kw_only=True)
class Ticket:
    """An admitted attempt.

    ``epoch`` numbers the limit's last reduction, ``start`` the upstream's
    last cold start, when the attempt was admitted.
    """

    attempt_id: str
    expected_tokens: int
    epoch: int
    start: int
    streamed: bool = False
