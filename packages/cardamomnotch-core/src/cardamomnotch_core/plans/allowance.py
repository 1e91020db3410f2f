"""Versions and services that a workspace may use."""

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Configuration, Plan, ServiceRoute, Version

ANY_MODEL = "auto"


class PlanError(CardamomnotchError):
    """The workspace's plan does not allow the request."""

    code = ResultCode.MODEL_NOT_ALLOWED


@attrs.frozen
class AllowedVersion:
    """A version in service that the plan allows."""

    model: str
    version: Version

    @property
    def full_name(self) -> str:
        """Return "model/version"."""
        return f"{self.model}/{self.version.name}"


@attrs.frozen
class AllowedRoute:
    """A service call that the plan allows."""

    service: str
    route: ServiceRoute


def plan_of(configuration: Configuration, workspace: str) -> Plan:
    """Return the plan of ``workspace``.

    Raises PlanError if the workspace is not configured.
    """
    workspace_entry = configuration.workspaces_by_name.get(workspace)
    if workspace_entry is None:
        raise PlanError(
            f"workspace {workspace} is not configured", code=ResultCode.UNKNOWN_KEY
        )
    return configuration.plans_by_name[workspace_entry.plan]


def allowed_versions(
    configuration: Configuration, workspace: str, model: str = ANY_MODEL
) -> tuple[AllowedVersion, ...]:
    """Return the versions in service that the plan of ``workspace`` allows.

    ``model`` is a model's name, "model/version" or ``ANY_MODEL``. Raises
    PlanError if the name is unknown or not allowed, or if no allowed version
    is in service.
    """
    model_name, _, version_name = model.partition("/")
    _check_configured(configuration, model_name, version_name)
    allowed = versions_in_plan(configuration, plan_of(configuration, workspace))
    requested = tuple(
        item
        for item in allowed
        if model_name in (ANY_MODEL, item.model)
        and version_name in ("", item.version.name)
    )
    if not requested:
        raise PlanError(
            f"the plan of workspace {workspace} does not allow model {model}"
        )
    out_of_service = frozenset(configuration.marks.versions_out)
    in_service = tuple(
        item for item in requested if item.full_name not in out_of_service
    )
    if in_service:
        return in_service
    code = (
        ResultCode.VERSION_WITHDRAWN
        if version_name
        else ResultCode.NO_VERSION_IN_SERVICE
    )
    raise PlanError(
        f"all allowed versions of model {model} are out of service", code=code
    )


def _check_configured(configuration: Configuration, model: str, version: str) -> None:
    if model == ANY_MODEL:
        return
    model_entry = configuration.models_by_name.get(model)
    if model_entry is None:
        raise PlanError(
            f"model {model} is not configured", code=ResultCode.UNKNOWN_MODEL
        )
    if version and all(item.name != version for item in model_entry.versions):
        raise PlanError(
            f"version {model}/{version} is not configured",
            code=ResultCode.UNKNOWN_MODEL,
        )


def versions_in_plan(
    configuration: Configuration, plan: Plan
) -> tuple[AllowedVersion, ...]:
    """Return all versions that ``plan`` includes, in service or not."""
    return tuple(
        AllowedVersion(plan_model.model, version)
        for plan_model in plan.models
        for version in configuration.models_by_name[plan_model.model].versions
        if not plan_model.versions or version.name in plan_model.versions
    )


def allowed_route(
    configuration: Configuration, workspace: str, service: str, method: str, path: str
) -> AllowedRoute:
    """Return the route with the longest path prefix that matches a call.

    Raises PlanError if no route matches or the plan excludes the service.
    """
    service_entry = configuration.services_by_name.get(service)
    if service_entry is None:
        raise PlanError(
            f"service {service} is not configured", code=ResultCode.UNKNOWN_ROUTE
        )
    if service not in plan_of(configuration, workspace).services:
        raise PlanError(
            f"the plan of workspace {workspace} does not allow service {service}",
            code=ResultCode.SERVICE_NOT_ALLOWED,
        )
    matches = [
        route
        for route in service_entry.routes
        if route.method == method and path.startswith(route.path_prefix)
    ]
    if not matches:
        raise PlanError(
            f"no route for {method} {path} in service {service}",
            code=ResultCode.UNKNOWN_ROUTE,
        )
    longest_match = max(matches, key=lambda route: len(route.path_prefix))
    return AllowedRoute(service, longest_match)
