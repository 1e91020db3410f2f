"""Choice of version and upstream."""

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
from ..quality.book import QualityBook
from ..rollout.const import SUSPECT_SHARE
from ..rollout.share import is_in_share
from .const import RETRY_AFTER_S
from .decisions import Decision, DecisionLog, Reason
from .health import HealthBook
from .index import UpstreamIndex
from .load import LoadBook
from .models import Demand, Route
from .picker import UpstreamPicker
from .ranking import RankedVersion, Ranking, RankingCache, RankingError


class RoutingError(CardamomnotchError):
    """No upstream can take the request."""

    code = ResultCode.NO_UPSTREAM


class Router:
    """Chooses among what is allowed, in service and reachable."""

    def __init__(
        self,
        zone: str,
        table: UpstreamTable,
        random_source: random.Random,
        quality: QualityBook | None = None,
    ) -> None:
        self.health = HealthBook()
        self.loads = LoadBook()
        self.decisions = DecisionLog()
        self.retries = RetryBudget()
        self.rankings = RankingCache(quality or QualityBook())
        self._random = random_source
        self._index = UpstreamIndex(zone, table)
        self._picker = UpstreamPicker(table, self.health, self.loads, random_source)

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "retries_saved": self.retries.available,
            "withdrawn_here": sorted(self.rankings.withdrawn),
            "recent_decisions": self.decisions.diagnostics(),
        }

    def choose(
        self,
        record: ConfigurationRecord,
        demand: Demand,
        tried: Collection[str],
        now_s: float,
    ) -> Route:
        """Return the route for ``demand``, on a VM that is not in ``tried``.

        Raises PlanError, RankingError or RoutingError if there is none.
        """
        self._count_attempt(is_retry=bool(tried))
        choose = self._choose_service if demand.service else self._choose_model
        decision = choose(record, demand, tried, now_s)
        self.decisions.add(decision)
        return decision.route

    def _count_attempt(self, *, is_retry: bool) -> None:
        if not is_retry:
            self.retries.record_first_attempt()
        elif not self.retries.try_spend():
            raise RoutingError(
                "retries exceed their share of the traffic",
                code=ResultCode.OVERLOADED,
                retry_after_s=RETRY_AFTER_S,
            )

    def _choose_service(
        self,
        record: ConfigurationRecord,
        demand: Demand,
        tried: Collection[str],
        now_s: float,
    ) -> Decision:
        allowed = allowed_route(
            record.configuration,
            demand.workspace,
            demand.service,
            demand.method,
            demand.path,
        )
        upstream = self._pick(record, demand.service, tried, now_s)
        if upstream is None:
            raise RoutingError(
                f"no upstream for {demand.service}", retry_after_s=RETRY_AFTER_S
            )
        route = Route(
            upstream=upstream,
            service=demand.service,
            idempotent=allowed.route.idempotent,
            priority=0,
        )
        return Decision(at_s=now_s, demand=demand, route=route, reason=Reason.SERVICE)

    def _choose_model(
        self,
        record: ConfigurationRecord,
        demand: Demand,
        tried: Collection[str],
        now_s: float,
    ) -> Decision:
        ranking = self.rankings.get(record, demand, now_s)
        passed_over: list[str] = []
        for item, reason in self._preferences(ranking, demand):
            upstream = self._pick(record, item.full_name, tried, now_s)
            if upstream is None:
                passed_over.append(item.full_name)
                continue
            return Decision(
                at_s=now_s,
                demand=demand,
                route=_route(item, upstream, ranking, demand, reason),
                reason=reason,
                ranking=ranking,
                without_upstream=tuple(passed_over),
            )
        if not passed_over:
            raise RankingError(
                f"no version meets the target of {demand.request_class}",
                retry_after_s=RETRY_AFTER_S,
            )
        raise RoutingError(
            f"no upstream for {', '.join(passed_over)}", retry_after_s=RETRY_AFTER_S
        )

    def _preferences(
        self, ranking: Ranking, demand: Demand
    ) -> Iterator[tuple[RankedVersion, Reason]]:
        """Yield the versions to try, the preferred one first."""
        bound = ranking.find(demand.session_version)
        if bound is not None:
            yield bound, Reason.SESSION
            return
        explored = self._explored(ranking, demand)
        if explored is not None:
            yield explored, Reason.EXPLORED
        held_back = []
        for item in ranking.meeting:
            if item.is_suspect and not is_in_share(
                item.full_name, demand.routing_key, SUSPECT_SHARE
            ):
                held_back.append(item)
            elif item.rollout_share >= 1:
                yield item, Reason.CHEAPEST
            elif is_in_share(item.full_name, demand.routing_key, item.rollout_share):
                yield item, Reason.ROLLED_OUT
        for item in held_back:
            if item.rollout_share >= 1:
                yield item, Reason.HELD_BACK
        if not ranking.meeting and _may_go_below(ranking):
            best = max(ranking.versions, key=_lower_bound)
            yield best, Reason.BELOW_TARGET

    def _explored(self, ranking: Ranking, demand: Demand) -> RankedVersion | None:
        """Return a cheaper version to learn about, for a small share."""
        request_class = ranking.request_class
        if request_class is None or not request_class.explore or not ranking.uncertain:
            return None
        if self._random.random() >= request_class.explore_share:
            return None
        dearest = ranking.meeting[0].cost if ranking.meeting else float("inf")
        cheaper = [
            item
            for item in ranking.uncertain
            if item.cost < dearest
            and is_in_share(item.full_name, demand.routing_key, item.rollout_share)
        ]
        return self._random.choice(cheaper) if cheaper else None

    def _pick(
        self,
        record: ConfigurationRecord,
        name: str,
        tried: Collection[str],
        now_s: float,
    ) -> Upstream | None:
        pool = self._index.pool(record, name)
        found = self._picker.pick(pool, tried, now_s)
        return found.upstream if found else None


def _may_go_below(ranking: Ranking) -> bool:
    request_class = ranking.request_class
    return request_class is not None and request_class.serve_below_target


def _lower_bound(item: RankedVersion) -> float:
    return item.estimate.lower if item.estimate else 0.0


def _route(
    item: RankedVersion,
    upstream: Upstream,
    ranking: Ranking,
    demand: Demand,
    reason: Reason,
) -> Route:
    replaced = "" if reason is Reason.SESSION else demand.session_version
    return Route(
        upstream=upstream,
        model=item.allowed.model,
        version=item.allowed.version.name,
        priority=ranking.request_class.priority if ranking.request_class else 1,
        replaced_version=replaced,
        below_target=reason is Reason.BELOW_TARGET,
    )
