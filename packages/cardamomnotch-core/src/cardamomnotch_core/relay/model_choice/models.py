"""Data of the choice of a model."""

from enum import StrEnum

import attrs

from ..models import RequestFacts, Route, Service, Workspace


class ChoiceReason(StrEnum):
    """Why a request got its model; the values appear in logs and metrics."""

    # The smallest model was asked first, and its answer does not lack confidence.
    SMALL = "small"
    LARGE_FIRST = "large_first"
    ESCALATED = "escalated"
    # An answer of low confidence is kept, since the larger model's first token is not
    # expected in time, since upstream time or the retry budget is short, since the
    # larger model is not expected to end before the deadline, since no attempt is
    # left, since the request may crash upstreams, since the route allows no second
    # run, or since no upstream can take the request.
    KEPT_IN_TIME = "kept_in_time"
    KEPT_SHORTAGE = "kept_shortage"
    KEPT_BUDGET = "kept_budget"
    KEPT_END = "kept_end"
    KEPT_ATTEMPTS = "kept_attempts"
    KEPT_SUSPECT = "kept_suspect"
    KEPT_REPEAT = "kept_repeat"
    KEPT_NO_UPSTREAM = "kept_no_upstream"


@attrs.frozen(kw_only=True)
class PromptTimes:
    """Times until the first tokens on idle upstreams without a cached prompt."""

    smallest_s: float
    largest_s: float


@attrs.frozen(kw_only=True)
class ChoiceRequest:
    """A request for which the relay chooses the model."""

    route: Route
    service: Service
    facts: RequestFacts
    workspace: Workspace | None = None
    # Time from the request's arrival to its deadline, in seconds.
    allowed_s: float = float("inf")

    @property
    def priority(self) -> int:
        """Return the workspace's priority, or else the route's; 0 is most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace; empty if there is none."""
        return self.workspace.name if self.workspace else ""


@attrs.frozen(kw_only=True)
class Answer:
    """An answer whose head has arrived, and that may be kept."""

    model: str
    # The model's own rating, 0 to 100; None if it gave none.
    confidence: int | None
    # Time from the request's arrival until now, in seconds.
    elapsed_s: float
    # Expected time until its end.
    end_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Shortage:
    """How short a service's upstream time and retry budget are, from 0 to 1."""

    wait_part: float = 0.0
    pause_part: float = 0.0
    budget_part: float = 0.0
    # Smoothed wait of the last requests in milliseconds, and the last one's age in
    # seconds.
    wait_ms: float = 0.0
    # Smoothed pause within streams, as a fraction of the longest that is on time.
    pause_fraction: float = 0.0
    age_s: float = 0.0
    # Used share of the retry budget.
    budget_share: float = 0.0

    @property
    def value(self) -> float:
        """Return the greatest of the parts."""
        return max(self.time_part, self.budget_part)

    @property
    def time_part(self) -> float:
        """Return the part that shows too little upstream time."""
        return max(self.wait_part, self.pause_part)


@attrs.frozen
class ModelDecision:
    """Decision on the model that a request is sent to next."""

    # None if the answer is kept.
    model: str | None
    reason: ChoiceReason
    shortage: Shortage


@attrs.frozen
class Rank:
    """Rank of a wish for a larger model."""

    priority: int
    is_over_share: bool
    # Loss without the larger model for each millisecond of upstream time.
    loss_per_ms: float

    @property
    def order(self) -> tuple[float, ...]:
        """Return a key by which wishes are ordered; lower ones come first."""
        return self.priority, self.is_over_share, -self.loss_per_ms
