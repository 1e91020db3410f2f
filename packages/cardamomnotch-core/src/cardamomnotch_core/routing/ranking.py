"""Ranking of the versions that a request may use, by cost and quality."""

from collections.abc import Iterable

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration, ConfigurationRecord, RequestClass
from ..plans.allowance import AllowedVersion, allowed_versions, plan_of
from ..quality.const import RANKING_MAX_AGE_S
from ..quality.estimator import QualityEstimator
from ..quality.models import QualityEstimate
from .models import RoutingRequest


class RankingError(CardamomnotchError):
    """No version satisfies the request."""

    code = ResultCode.QUALITY_NOT_AVAILABLE


@attrs.frozen(kw_only=True)
class RankedVersion:
    """An allowed version in service, with its quality for the class."""

    allowed: AllowedVersion
    full_name: str
    estimate: QualityEstimate | None = None
    rollout_share: float = 1.0
    # Whether its ratings are poor, but not enough to withdraw the version.
    is_suspect: bool = False

    @property
    def cost(self) -> float:
        """Return the cost per 1,000 tokens."""
        return self.allowed.version.cost_per_1k_tokens


@attrs.frozen(kw_only=True)
class Ranking:
    """Versions for one plan, class and model, cheapest first."""

    # All versions that are allowed and in service.
    versions: tuple[RankedVersion, ...]
    # Versions whose lower confidence bound reaches the quality target.
    meeting_target: tuple[RankedVersion, ...]
    # Versions whose confidence interval contains the quality target.
    possibly_meeting_target: tuple[RankedVersion, ...]
    request_class: RequestClass | None = None

    def find(self, full_name: str) -> RankedVersion | None:
        """Return the version ``full_name`` ("model/version"), or None."""
        return next(
            (item for item in self.versions if item.full_name == full_name), None
        )


@attrs.frozen
class _RankingKey:
    plan: str
    model: str
    request_class: str


class RankingCache:
    """Caches rankings by plan, model and request class.

    Rankings are rebuilt when the configuration revision or the withdrawn or
    suspect versions change, and at most ``RANKING_MAX_AGE_S`` after a rating.
    """

    def __init__(self, quality: QualityEstimator) -> None:
        self._quality = quality
        self._withdrawn: frozenset[str] = frozenset()
        self._suspect_versions: frozenset[str] = frozenset()
        self._revision = -1
        self._rankings: dict[_RankingKey, tuple[Ranking, int, float]] = {}

    @property
    def withdrawn(self) -> frozenset[str]:
        """Return the versions that this entry has stopped using."""
        return self._withdrawn

    def set_withdrawn(self, versions: frozenset[str]) -> None:
        """Exclude ``versions`` from all further rankings."""
        self._withdrawn = versions
        self._rankings.clear()

    def set_suspect_versions(self, versions: frozenset[str]) -> None:
        """Mark ``versions`` as suspect in all further rankings."""
        if versions != self._suspect_versions:
            self._suspect_versions = versions
            self._rankings.clear()

    def get(
        self, record: ConfigurationRecord, request: RoutingRequest, now_s: float
    ) -> Ranking:
        """Return the ranking for ``request``.

        Raises PlanError or RankingError if no version may be used.
        """
        if record.revision != self._revision:
            self._revision = record.revision
            self._rankings.clear()
        plan = plan_of(record.configuration, request.workspace)
        key = _RankingKey(plan.name, request.model, request.request_class)
        cached = self._rankings.get(key)
        if cached is not None:
            ranking, generation, built_at_s = cached
            is_current = generation == self._quality.generation
            if is_current or now_s - built_at_s < RANKING_MAX_AGE_S:
                return ranking
        ranking = self._build(record.configuration, request)
        self._rankings[key] = (ranking, self._quality.generation, now_s)
        return ranking

    def _build(self, configuration: Configuration, request: RoutingRequest) -> Ranking:
        request_class = configuration.classes_by_name.get(request.request_class)
        if request.request_class and request_class is None:
            raise RankingError(
                f"request class {request.request_class} is not configured",
                code=ResultCode.UNKNOWN_CLASS,
            )
        allowed = allowed_versions(configuration, request.workspace, request.model)
        versions = [
            self._ranked_version(item, request.request_class)
            for item in allowed
            if item.full_name not in self._withdrawn
        ]
        if not versions:
            raise RankingError(
                f"all allowed versions of model {request.model} are withdrawn",
                code=ResultCode.NO_VERSION_IN_SERVICE,
            )
        target = request_class.quality_target if request_class else None
        meeting_target = [item for item in versions if _meets_target(item, target)]
        return Ranking(
            versions=_cheapest_first(versions),
            meeting_target=_cheapest_first(meeting_target),
            possibly_meeting_target=_cheapest_first(
                item
                for item in versions
                if target is not None
                and item.estimate is not None
                and item.estimate.lower < target <= item.estimate.upper
            ),
            request_class=request_class,
        )

    def _ranked_version(
        self, allowed: AllowedVersion, class_name: str
    ) -> RankedVersion:
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
            is_suspect=full_name in self._suspect_versions,
        )


def _meets_target(item: RankedVersion, target: float | None) -> bool:
    if not target:
        return True
    return item.estimate is not None and item.estimate.lower >= target


def _cheapest_first(versions: Iterable[RankedVersion]) -> tuple[RankedVersion, ...]:
    """Return ``versions`` sorted by cost.

    A version in rollout takes its traffic share from its own model, so it
    is placed before the model's cheapest version, whatever its own cost.
    """
    items = list(versions)
    lowest_cost: dict[str, float] = {}
    for item in items:
        model = item.allowed.model
        lowest_cost[model] = min(item.cost, lowest_cost.get(model, item.cost))

    def sort_key(item: RankedVersion) -> tuple[float, bool, str]:
        is_in_rollout = item.rollout_share < 1
        cost = lowest_cost[item.allowed.model] if is_in_rollout else item.cost
        return (cost, not is_in_rollout, item.full_name)

    return tuple(sorted(items, key=sort_key))
