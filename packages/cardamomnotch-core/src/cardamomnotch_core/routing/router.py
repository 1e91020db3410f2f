"""Choice of version and upstream."""

import random
from collections.abc import Collection

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration
from ..membership.models import Upstream
from ..plans.allowance import AllowedVersion, allowed_route, allowed_versions
from .models import Demand, Route

RETRY_AFTER_S = 1.0


class RoutingError(CardamomnotchError):
    """No upstream can take the request."""

    code = ResultCode.NO_UPSTREAM


class Router:
    """Chooses among what is allowed, in service and reachable."""

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._zone = zone
        self._random = random_source

    def choose(
        self,
        configuration: Configuration,
        demand: Demand,
        upstreams: Collection[Upstream],
    ) -> Route:
        """Return the route for ``demand`` among usable ``upstreams``.

        Raises PlanError or RoutingError if there is none.
        """
        out_zones = frozenset(configuration.marks.zones_out)
        out_vms = frozenset(configuration.marks.vms_out)
        in_service = [
            upstream
            for upstream in upstreams
            if upstream.zone not in out_zones and upstream.vm_id not in out_vms
        ]
        if demand.service:
            return self._choose_service(configuration, demand, in_service)
        return self._choose_model(configuration, demand, in_service)

    def _choose_service(
        self, configuration: Configuration, demand: Demand, upstreams: list[Upstream]
    ) -> Route:
        allowed = allowed_route(
            configuration, demand.workspace, demand.service, demand.method, demand.path
        )
        able = [item for item in upstreams if demand.service in item.services]
        return Route(
            upstream=self._pick(able, demand.service),
            service=demand.service,
            idempotent=allowed.route.idempotent,
            priority=0,
        )

    def _choose_model(
        self, configuration: Configuration, demand: Demand, upstreams: list[Upstream]
    ) -> Route:
        request_class = configuration.classes_by_name.get(demand.request_class)
        if demand.request_class and request_class is None:
            raise RoutingError(
                f"no class {demand.request_class}", code=ResultCode.UNKNOWN_CLASS
            )
        allowed = allowed_versions(configuration, demand.workspace, demand.model)
        if request_class is not None:
            allowed = _meeting_target(
                allowed, request_class.name, request_class.quality_target
            )
        for item in _by_preference(allowed, demand.session_version):
            able = [one for one in upstreams if item.full_name in one.versions]
            if able:
                return Route(
                    upstream=self._pick(able, item.full_name),
                    model=item.model,
                    version=item.version.name,
                    priority=request_class.priority if request_class else 1,
                )
        raise RoutingError(
            f"no upstream for {demand.model}", retry_after_s=RETRY_AFTER_S
        )

    def _pick(self, able: list[Upstream], wanted: str) -> Upstream:
        """Return the less loaded of two random upstreams, own zone first."""
        if not able:
            raise RoutingError(f"no upstream for {wanted}", retry_after_s=RETRY_AFTER_S)
        near = [upstream for upstream in able if upstream.zone == self._zone]
        free_near = [item for item in near if item.load.in_flight < item.load.limit]
        pool = free_near or able
        pair = self._random.sample(pool, min(2, len(pool)))
        return min(pair, key=_load_share)


def _load_share(upstream: Upstream) -> float:
    return upstream.load.in_flight / max(1, upstream.load.limit)


def _meeting_target(
    allowed: tuple[AllowedVersion, ...], class_name: str, target: float
) -> tuple[AllowedVersion, ...]:
    good = tuple(
        item for item in allowed if item.version.quality.get(class_name, 0.0) >= target
    )
    if good:
        return good
    raise RoutingError(
        f"no allowed version reaches {target} for {class_name}",
        code=ResultCode.QUALITY_NOT_AVAILABLE,
    )


def _by_preference(
    allowed: tuple[AllowedVersion, ...], session_version: str
) -> list[AllowedVersion]:
    return sorted(
        allowed,
        key=lambda item: (
            item.full_name != session_version,
            item.version.cost_per_1k_tokens,
            item.full_name,
        ),
    )
