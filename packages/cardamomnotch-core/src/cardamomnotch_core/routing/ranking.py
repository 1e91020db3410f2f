"""Order of the versions that a request may use."""

from collections.abc import Iterable

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration, ConfigurationRecord, RequestClass
from ..plans.allowance import AllowedVersion, allowed_versions, plan_of
from ..quality.const import RANKING_MAX_AGE_S
from ..quality.estimator import QualityEstimator
from ..quality.models import Estimate
from .models import RoutingRequest


class RankingError(CardamomnotchError):
    """No version suits the request."""

    code = ResultCode.QUALITY_NOT_AVAILABLE


@attrs.frozen(kw_only=True)
class RankedVersion:
    """An allowed version in service, with its estimate for the class."""

    allowed: AllowedVersion
    full_name: str
    estimate: Estimate | None = None
    rollout_share: float = 1.0
    # Whether ratings speak against it, though not enough to withdraw it.
    is_suspect: bool = False

    @property
    def cost(self) -> float:
        """Return the cost of 1,000 tokens."""
        return self.allowed.version.cost_per_1k_tokens


@attrs.frozen(kw_only=True)
class Ranking:
    """Versions for one plan, class and model, cheapest first."""

    # Everything allowed and in service.
    versions: tuple[RankedVersion, ...]
    # Those whose lower bound meets the target.
    meeting: tuple[RankedVersion, ...]
    # Those that may meet it, though their lower bound does not.
    uncertain: tuple[RankedVersion, ...]
    request_class: RequestClass | None = None

    def find(self, full_name: str) -> RankedVersion | None:
        """Return the version called ``full_name``."""
        return next(
            (item for item in self.versions if item.full_name == full_name), None
        )


@attrs.frozen
class _Key:
    plan: str
    model: str
    request_class: str


class RankingCache:
    """Rankings, renewed with each revision, withdrawal and a little after ratings."""

    def __init__(self, quality: QualityEstimator) -> None:
        self._quality = quality
        self._withdrawn: frozenset[str] = frozenset()
        self._suspects: frozenset[str] = frozenset()
        self._revision = -1
        self._rankings: dict[_Key, tuple[Ranking, int, float]] = {}

    @property
    def withdrawn(self) -> frozenset[str]:
        """Return the versions that this entry itself gives no more work."""
        return self._withdrawn

    def set_withdrawn(self, versions: frozenset[str]) -> None:
        """Leave ``versions`` out from the next decision on."""
        self._withdrawn = versions
        self._rankings.clear()

    def set_suspect_versions(self, versions: frozenset[str]) -> None:
        """Hold ``versions`` back from the next decision on."""
        if versions != self._suspects:
            self._suspects = versions
            self._rankings.clear()

    def get(
        self, record: ConfigurationRecord, demand: RoutingRequest, now_s: float
    ) -> Ranking:
        """Return the ranking for ``demand``; raise PlanError or RankingError."""
        if record.revision != self._revision:
            self._revision = record.revision
            self._rankings.clear()
        plan = plan_of(record.configuration, demand.workspace)
        key = _Key(plan.name, demand.model, demand.request_class)
        known = self._rankings.get(key)
        if known is not None:
            ranking, generation, built_at_s = known
            fresh = generation == self._quality.generation
            if fresh or now_s - built_at_s < RANKING_MAX_AGE_S:
                return ranking
        ranking = self._build(record.configuration, demand)
        self._rankings[key] = (ranking, self._quality.generation, now_s)
        return ranking

    def _build(self, configuration: Configuration, demand: RoutingRequest) -> Ranking:
        request_class = configuration.classes_by_name.get(demand.request_class)
        if demand.request_class and request_class is None:
            raise RankingError(
                f"no class {demand.request_class}", code=ResultCode.UNKNOWN_CLASS
            )
        allowed = allowed_versions(configuration, demand.workspace, demand.model)
        versions = [
            self._ranked(item, demand.request_class)
            for item in allowed
            if item.full_name not in self._withdrawn
        ]
        if not versions:
            raise RankingError(
                f"every allowed version of {demand.model} is withdrawn",
                code=ResultCode.NO_VERSION_IN_SERVICE,
            )
        target = request_class.quality_target if request_class else None
        meeting = [item for item in versions if _meets(item, target)]
        return Ranking(
            versions=_cheapest_first(versions),
            meeting=_cheapest_first(meeting),
            uncertain=_cheapest_first(
                item
                for item in versions
                if target is not None
                and item.estimate is not None
                and item.estimate.lower < target <= item.estimate.upper
            ),
            request_class=request_class,
        )

    def _ranked(self, allowed: AllowedVersion, class_name: str) -> RankedVersion:
        version = allowed.version
        full_name = allowed.full_name
        return RankedVersion(
            allowed=allowed,
            full_name=full_name,
            estimate=(
                self._quality.estimate(full_name, version, class_name)
                if class_name
                else None
            ),
            rollout_share=version.rollout_share,
            is_suspect=full_name in self._suspects,
        )


def _meets(item: RankedVersion, target: float | None) -> bool:
    if not target:
        return True
    return item.estimate is not None and item.estimate.lower >= target


def _cheapest_first(versions: Iterable[RankedVersion]) -> tuple[RankedVersion, ...]:
    """Return ``versions`` by cost; one that is rolled out before its elders.

    A version in roll-out takes its share from its model, so it counts as no
    dearer than the cheapest other version of the model.
    """
    items = list(versions)
    floor: dict[str, float] = {}
    for item in items:
        model = item.allowed.model
        floor[model] = min(item.cost, floor.get(model, item.cost))

    def order(item: RankedVersion) -> tuple[float, bool, str]:
        is_rolling = item.rollout_share < 1
        cost = floor[item.allowed.model] if is_rolling else item.cost
        return (cost, not is_rolling, item.full_name)

    return tuple(sorted(items, key=order))
