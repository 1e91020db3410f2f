"""Routing of requests to a version and an upstream."""

import random
from collections.abc import Collection, Iterator
from typing import Any

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..capacity.retries import RetryBudget
from ..configuration.models import ConfigurationRecord
from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from ..plans.allowance import allowed_route
from ..quality.estimator import QualityEstimator
from ..rollout.const import SUSPECT_TRAFFIC_SHARE
from ..rollout.traffic_share import is_in_share
from .const import RETRY_AFTER_S
from .decisions import Decision, DecisionLog, DecisionReason
from .health import UpstreamHealthTracker
from .index import UpstreamIndex
from .load import UpstreamLoadTracker
from .models import Route, RoutingRequest
from .picker import UpstreamPicker
from .ranking import RankedVersion, Ranking, RankingCache, RankingError


class RoutingError(CardamomnotchError):
    """No upstream is available for the request."""

    code = ResultCode.NO_UPSTREAM


class Router:
    """Selects a version and an upstream for each request.

    Only versions that are allowed and in service, and upstreams that are
    reachable, are considered.
    """

    def __init__(
        self,
        zone: str,
        table: UpstreamTable,
        random_source: random.Random,
        quality: QualityEstimator | None = None,
    ) -> None:
        self.health = UpstreamHealthTracker()
        self.loads = UpstreamLoadTracker()
        self.decisions = DecisionLog()
        self.retries = RetryBudget()
        self.rankings = RankingCache(quality or QualityEstimator())
        self._random = random_source
        self._index = UpstreamIndex(zone, table)
        self._picker = UpstreamPicker(table, self.health, self.loads, random_source)

    def diagnostics(self) -> dict[str, Any]:
        """Return the routing state for the state dump."""
        return {
            "retries_saved": self.retries.available,
            "withdrawn_here": sorted(self.rankings.withdrawn),
            "recent_decisions": self.decisions.diagnostics(),
        }

    def choose(
        self,
        record: ConfigurationRecord,
        request: RoutingRequest,
        tried: Collection[str],
        now_s: float,
    ) -> Route:
        """Return the route for ``request``, on a VM that is not in ``tried``.

        Raises PlanError, RankingError or RoutingError if there is none.
        """
        self._count_attempt(is_retry=bool(tried))
        choose = self._choose_service if request.service else self._choose_model
        decision = choose(record, request, tried, now_s)
        self.decisions.add(decision)
        return decision.route

    def _count_attempt(self, *, is_retry: bool) -> None:
        if not is_retry:
            self.retries.record_first_attempt()
        elif not self.retries.try_spend():
            raise RoutingError(
                "retry not sent: the retry budget of this entry is exhausted",
                code=ResultCode.OVERLOADED,
                retry_after_s=RETRY_AFTER_S,
            )

    def _choose_service(
        self,
        record: ConfigurationRecord,
        request: RoutingRequest,
        tried: Collection[str],
        now_s: float,
    ) -> Decision:
        allowed = allowed_route(
            record.configuration,
            request.workspace,
            request.service,
            request.method,
            request.path,
        )
        upstream = self._pick_upstream(record, request.service, tried, now_s)
        if upstream is None:
            raise RoutingError(
                f"no upstream available for service {request.service}",
                retry_after_s=RETRY_AFTER_S,
            )
        route = Route(
            upstream=upstream,
            service=request.service,
            idempotent=allowed.route.idempotent,
            priority=0,
        )
        return Decision(
            at_s=now_s, request=request, route=route, reason=DecisionReason.SERVICE
        )

    def _choose_model(
        self,
        record: ConfigurationRecord,
        request: RoutingRequest,
        tried: Collection[str],
        now_s: float,
    ) -> Decision:
        ranking = self.rankings.get(record, request, now_s)
        skipped_versions: list[str] = []
        for item, reason in self._preferred_versions(ranking, request):
            upstream = self._pick_upstream(record, item.full_name, tried, now_s)
            if upstream is None:
                skipped_versions.append(item.full_name)
                continue
            return Decision(
                at_s=now_s,
                request=request,
                route=_build_route(item, upstream, ranking, request, reason),
                reason=reason,
                ranking=ranking,
                without_upstream=tuple(skipped_versions),
            )
        if not skipped_versions:
            raise RankingError(
                f"no version meets the quality target of class {request.request_class}",
                retry_after_s=RETRY_AFTER_S,
            )
        raise RoutingError(
            f"no upstream available for versions {', '.join(skipped_versions)}",
            retry_after_s=RETRY_AFTER_S,
        )

    def _preferred_versions(
        self, ranking: Ranking, request: RoutingRequest
    ) -> Iterator[tuple[RankedVersion, DecisionReason]]:
        """Yield versions to try, with reasons, in order of preference."""
        session_version = ranking.find(request.session_version)
        if session_version is not None:
            yield session_version, DecisionReason.SESSION
            return
        explored = self._version_to_explore(ranking, request)
        if explored is not None:
            yield explored, DecisionReason.EXPLORED
        held_back = []
        for item in ranking.meeting_target:
            if item.is_suspect and not is_in_share(
                item.full_name, request.routing_key, SUSPECT_TRAFFIC_SHARE
            ):
                held_back.append(item)
            elif item.rollout_share >= 1:
                yield item, DecisionReason.CHEAPEST
            elif is_in_share(item.full_name, request.routing_key, item.rollout_share):
                yield item, DecisionReason.ROLLED_OUT
        for item in held_back:
            if item.rollout_share >= 1:
                yield item, DecisionReason.HELD_BACK
        if not ranking.meeting_target and _may_serve_below_target(ranking):
            best_version = max(ranking.versions, key=_lower_quality_bound)
            yield best_version, DecisionReason.BELOW_TARGET

    def _version_to_explore(
        self, ranking: Ranking, request: RoutingRequest
    ) -> RankedVersion | None:
        """Return a cheaper version for exploration, or None.

        A share ``explore_share`` of the requests of a class goes to cheaper
        versions that possibly meet the target, to collect ratings for them.
        """
        request_class = ranking.request_class
        if (
            request_class is None
            or not request_class.explore
            or not ranking.possibly_meeting_target
        ):
            return None
        if self._random.random() >= request_class.explore_share:
            return None
        cost_limit = (
            ranking.meeting_target[0].cost if ranking.meeting_target else float("inf")
        )
        cheaper = [
            item
            for item in ranking.possibly_meeting_target
            if item.cost < cost_limit
            and is_in_share(item.full_name, request.routing_key, item.rollout_share)
        ]
        return self._random.choice(cheaper) if cheaper else None

    def _pick_upstream(
        self,
        record: ConfigurationRecord,
        name: str,
        tried: Collection[str],
        now_s: float,
    ) -> Upstream | None:
        pool = self._index.pool(record, name)
        candidate = self._picker.pick(pool, tried, now_s)
        return candidate.upstream if candidate else None


def _may_serve_below_target(ranking: Ranking) -> bool:
    request_class = ranking.request_class
    return request_class is not None and request_class.serve_below_target


def _lower_quality_bound(item: RankedVersion) -> float:
    return item.estimate.lower if item.estimate else 0.0


def _build_route(
    item: RankedVersion,
    upstream: Upstream,
    ranking: Ranking,
    request: RoutingRequest,
    reason: DecisionReason,
) -> Route:
    replaced_version = (
        "" if reason is DecisionReason.SESSION else request.session_version
    )
    return Route(
        upstream=upstream,
        model=item.allowed.model,
        version=item.allowed.version.name,
        priority=ranking.request_class.priority if ranking.request_class else 1,
        replaced_version=replaced_version,
        below_target=reason is DecisionReason.BELOW_TARGET,
    )
