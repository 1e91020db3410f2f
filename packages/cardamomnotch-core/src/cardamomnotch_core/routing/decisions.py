"""The last decisions, to explain why a request went where it went."""

from collections import OrderedDict
from enum import StrEnum
from typing import Any

import attrs

from .models import Route, RoutingRequest
from .ranking import RankedVersion, Ranking

MAX_DECISIONS = 256


class Reason(StrEnum):
    """Why a version was chosen."""

    BELOW_TARGET = "below_target"
    CHEAPEST = "cheapest"
    EXPLORED = "explored"
    HELD_BACK = "held_back"
    ROLLED_OUT = "rolled_out"
    SERVICE = "service"
    SESSION = "session"


@attrs.frozen(kw_only=True)
class Decision:
    """One decision with what it went by."""

    at_s: float
    demand: RoutingRequest
    route: Route
    reason: Reason
    ranking: Ranking | None = None
    # Versions that were preferred but had no upstream to ask.
    without_upstream: tuple[str, ...] = ()

    def as_dict(self) -> dict[str, Any]:
        """Return the decision for the state dump."""
        return {
            "at_s": self.at_s,
            "workspace": self.demand.workspace,
            "request_class": self.demand.request_class,
            "reason": self.reason.value,
            "vm_id": self.route.upstream.vm_id,
            "model": self.route.model,
            "version": self.route.version,
            "service": self.route.service,
            "without_upstream": list(self.without_upstream),
            "considered": [self._considered(item) for item in self._versions()],
        }

    def _versions(self) -> tuple[RankedVersion, ...]:
        return self.ranking.versions if self.ranking else ()

    def _considered(self, item: RankedVersion) -> dict[str, Any]:
        return {
            "version": item.full_name,
            "cost_per_1k_tokens": item.cost,
            "is_suspect": item.is_suspect,
            "rollout_share": item.rollout_share,
            "meets_target": item in self.ranking.meeting,
            "estimate": attrs.asdict(item.estimate) if item.estimate else None,
        }


class DecisionLog:
    """A bounded record of decisions by request id."""

    def __init__(self, limit: int = MAX_DECISIONS) -> None:
        self._limit = limit
        self._decisions: OrderedDict[str, Decision] = OrderedDict()

    def add(self, decision: Decision) -> None:
        """Keep ``decision`` in place of an earlier one of the same request."""
        self._decisions[decision.demand.request_id] = decision
        if len(self._decisions) > self._limit:
            self._decisions.popitem(last=False)

    def get(self, request_id: str) -> Decision | None:
        """Return the last decision on ``request_id``, if it is still kept."""
        return self._decisions.get(request_id)

    def diagnostics(self) -> dict[str, Any]:
        """Return the kept decisions by request id."""
        return {key: item.as_dict() for key, item in self._decisions.items()}
