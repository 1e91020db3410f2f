"""Choice of version and upstream."""

import random
from collections.abc import Collection

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration, ConfigurationRecord
from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from ..plans.allowance import AllowedVersion, allowed_route, allowed_versions
from .const import RETRY_AFTER_S
from .health import HealthBook
from .index import UpstreamIndex
from .load import LoadBook
from .models import Demand, Route
from .picker import UpstreamPicker


class RoutingError(CardamomnotchError):
    """No upstream can take the request."""

    code = ResultCode.NO_UPSTREAM


class Router:
    """Chooses among what is allowed, in service and reachable."""

    def __init__(
        self, zone: str, table: UpstreamTable, random_source: random.Random
    ) -> None:
        self.health = HealthBook()
        self.loads = LoadBook()
        self._index = UpstreamIndex(zone, table)
        self._picker = UpstreamPicker(table, self.health, self.loads, random_source)

    def choose(
        self,
        record: ConfigurationRecord,
        demand: Demand,
        tried: Collection[str],
        now_s: float,
    ) -> Route:
        """Return the route for ``demand``, on a VM that is not in ``tried``.

        Raises PlanError or RoutingError if there is none.
        """
        if demand.service:
            return self._choose_service(record, demand, tried, now_s)
        return self._choose_model(record, demand, tried, now_s)

    def _choose_service(
        self,
        record: ConfigurationRecord,
        demand: Demand,
        tried: Collection[str],
        now_s: float,
    ) -> Route:
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
        return Route(
            upstream=upstream,
            service=demand.service,
            idempotent=allowed.route.idempotent,
            priority=0,
        )

    def _choose_model(
        self,
        record: ConfigurationRecord,
        demand: Demand,
        tried: Collection[str],
        now_s: float,
    ) -> Route:
        configuration = record.configuration
        request_class = configuration.classes_by_name.get(demand.request_class)
        for item in _candidates(configuration, demand):
            upstream = self._pick(record, item.full_name, tried, now_s)
            if upstream is not None:
                return Route(
                    upstream=upstream,
                    model=item.model,
                    version=item.version.name,
                    priority=request_class.priority if request_class else 1,
                )
        raise RoutingError(
            f"no upstream for {demand.model}", retry_after_s=RETRY_AFTER_S
        )

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


def _candidates(configuration: Configuration, demand: Demand) -> list[AllowedVersion]:
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
    return _by_preference(allowed, demand.session_version)


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
