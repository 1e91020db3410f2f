"""Data classes of admission control."""

from enum import StrEnum

import attrs

from .const import DEFAULT_WARM_UP_COMPLETIONS


class WarmUpState(StrEnum):
    """How far the concurrency limit of an upstream has grown.

    COLD keeps the initial limit, WARMING increases it, WARM is at the maximum.
    """

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class UpstreamSignal(StrEnum):
    """What a finished call or a status report indicates about the upstream.

    RETURNED means that the upstream has returned to service.
    """

    COMPLETED = "completed"
    OVERLOADED = "overloaded"
    RESTARTED = "restarted"
    RETURNED = "returned"
    # Indicates nothing about the upstream, such as a cancelled call.
    NONE = "none"


@attrs.frozen(kw_only=True)
class LimiterSettings:
    """Bounds of the concurrency limiter.

    A ``cold_limit`` of 0 stands for ``max_limit``. A ``max_tokens_in_flight``
    of 0 means that tokens are not limited.
    """

    max_limit: int
    cold_limit: int = 0
    max_tokens_in_flight: int = 0
    warm_up_completions: int = DEFAULT_WARM_UP_COMPLETIONS

    @property
    def initial_limit(self) -> int:
        """Return the concurrency limit of a cold upstream."""
        return min(self.cold_limit or self.max_limit, self.max_limit)


@attrs.frozen(kw_only=True)
class AdmittedAttempt:
    """An attempt that is counted against the limit.

    ``reductions`` and ``cold_starts`` are the limiter's counts of reductions
    of the limit and of cold starts when the attempt was admitted.
    """

    attempt_id: str
    expected_tokens: int
    reductions: int
    cold_starts: int
    streamed: bool = False
