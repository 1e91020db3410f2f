"""Recent routing decisions, kept for the state dump."""

from collections import OrderedDict
from enum import StrEnum
from typing import Any

import attrs

from .models import Route, RoutingRequest
from .ranking import RankedVersion, Ranking

MAX_DECISIONS = 256


class DecisionReason(StrEnum):
    """Reason for which a version or service was selected."""

    # No version meets the quality target, and the class allows that.
    BELOW_TARGET = "below_target"
    CHEAPEST = "cheapest"
    # Selected to collect ratings of a cheaper version.
    EXPLORED = "explored"
    # A suspect version above its share, as no other version can serve.
    HELD_BACK = "held_back"
    # The request belongs to the traffic share of a version in rollout.
    ROLLED_OUT = "rolled_out"
    SERVICE = "service"
    # The session keeps its version.
    SESSION = "session"


@attrs.frozen(kw_only=True)
class Decision:
    """A routing decision with its inputs."""

    at_s: float
    request: RoutingRequest
    route: Route
    reason: DecisionReason
    ranking: Ranking | None = None
    # Preferred versions that were skipped for lack of an available upstream.
    without_upstream: tuple[str, ...] = ()

    def as_dict(self) -> dict[str, Any]:
        """Return the decision as a dictionary for the state dump."""
        return {
            "at_s": self.at_s,
            "workspace": self.request.workspace,
            "request_class": self.request.request_class,
            "reason": self.reason.value,
            "vm_id": self.route.upstream.vm_id,
            "model": self.route.model,
            "version": self.route.version,
            "service": self.route.service,
            "without_upstream": list(self.without_upstream),
            "considered": [
                self._version_as_dict(item) for item in self._ranked_versions()
            ],
        }

    def _ranked_versions(self) -> tuple[RankedVersion, ...]:
        return self.ranking.versions if self.ranking else ()

    def _version_as_dict(self, item: RankedVersion) -> dict[str, Any]:
        return {
            "version": item.full_name,
            "cost_per_1k_tokens": item.cost,
            "is_suspect": item.is_suspect,
            "rollout_share": item.rollout_share,
            "meets_target": item in self.ranking.meeting_target,
            "estimate": attrs.asdict(item.estimate) if item.estimate else None,
        }


class DecisionLog:
    """Keeps the most recent decisions by request ID, up to a limit."""

    def __init__(self, limit: int = MAX_DECISIONS) -> None:
        self._limit = limit
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Store ``decision``, replacing a previous one of the same request."""
        self._decisions[decision.request.request_id] = decision
        if len(self._decisions) > self._limit:
            self._decisions.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Return the last decision for ``request_id``, or None if not kept."""
        return self._decisions.get(request_id)

    def diagnostics(self) -> dict[str, Any]:
        """Return the stored decisions by request ID for the state dump."""
        return {key: item.as_dict() for key, item in self._decisions.items()}
