"""Consistency checks of a configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import Protocol

from .models import Configuration, Plan


class _Named(Protocol):
    @property
    def name(self) -> str: ...


def find_problems(configuration: Configuration) -> tuple[str, ...]:
    """Return one line per problem, which starts with the path of the item."""
    return tuple(problem for check in _CHECKS for problem in check(configuration))


def _find_duplicates(section: str, items: Iterable[_Named]) -> Iterator[str]:
    counts = Counter(item.name for item in items)
    for name, count in counts.items():
        if count > 1:
            yield f"{section}[{name}]: name must be unique but is used {count} times"


def _check_names(configuration: Configuration) -> Iterator[str]:
    yield from _find_duplicates("models", configuration.models)
    yield from _find_duplicates("classes", configuration.classes)
    yield from _find_duplicates("services", configuration.services)
    yield from _find_duplicates("plans", configuration.plans)
    yield from _find_duplicates("workspaces", configuration.workspaces)
    for model in configuration.models:
        yield from _find_duplicates(f"models[{model.name}].versions", model.versions)
        if not model.versions:
            yield f"models[{model.name}].versions: must contain at least one version"


def _check_quality(configuration: Configuration) -> Iterator[str]:
    for model in configuration.models:
        for version in model.versions:
            path = f"models[{model.name}].versions[{version.name}]"
            if version.cost_per_1k_tokens < 0:
                yield f"{path}.cost_per_1k_tokens: must not be negative"
            for class_name, score in version.quality.items():
                if not 0 <= score <= 1:
                    yield f"{path}.quality.{class_name}: must be from 0 to 1"
                if class_name not in configuration.classes_by_name:
                    yield f"{path}.quality.{class_name}: class is not in classes"


def _check_shares(configuration: Configuration) -> Iterator[str]:
    for model in configuration.models:
        for version in model.versions:
            path = f"models[{model.name}].versions[{version.name}]"
            if not 0 <= version.rollout_share <= 1:
                yield f"{path}.rollout_share: must be from 0 to 1"
            if version.quality_answers < 1:
                yield f"{path}.quality_answers: must be at least 1"
    for request_class in configuration.classes:
        for field in ("quality_target", "explore_share", "bad_below"):
            if not 0 <= getattr(request_class, field) <= 1:
                yield f"classes[{request_class.name}].{field}: must be from 0 to 1"
        if not 0 < request_class.bad_share < 1:
            yield (
                f"classes[{request_class.name}].bad_share: "
                "must be greater than 0 and less than 1"
            )


def _check_plan(configuration: Configuration, plan: Plan) -> Iterator[str]:
    path = f"plans[{plan.name}]"
    for allowed in plan.models:
        model = configuration.models_by_name.get(allowed.model)
        if model is None:
            yield f"{path}.models: model {allowed.model} is not in models"
            continue
        version_names = {version.name for version in model.versions}
        for version in allowed.versions:
            if version not in version_names:
                yield (
                    f"{path}.models[{allowed.model}]: "
                    f"the model has no version {version}"
                )
    for service in plan.services:
        if service not in configuration.services_by_name:
            yield f"{path}.services: service {service} is not in services"
    if min(plan.requests_per_s, plan.tokens_per_s, plan.concurrent_requests) < 0:
        yield (
            f"{path}: requests_per_s, tokens_per_s and concurrent_requests "
            "must not be negative"
        )


def _check_plans(configuration: Configuration) -> Iterator[str]:
    for plan in configuration.plans:
        yield from _check_plan(configuration, plan)


def _check_workspaces(configuration: Configuration) -> Iterator[str]:
    digests: Counter[str] = Counter()
    for workspace in configuration.workspaces:
        digests.update(workspace.key_digests)
        if workspace.plan not in configuration.plans_by_name:
            yield (
                f"workspaces[{workspace.name}].plan: "
                f"plan {workspace.plan} is not in plans"
            )
    for count in digests.values():
        if count > 1:
            yield (
                "workspaces: each key digest must be unique, "
                f"but one is used {count} times"
            )


def _check_out_of_service(configuration: Configuration) -> Iterator[str]:
    configured_versions = {
        f"{model.name}/{version.name}"
        for model in configuration.models
        for version in model.versions
    }
    for version in configuration.marks.versions_out:
        if version not in configured_versions:
            yield f"marks.versions_out: version {version} is not in models"


_CHECKS = (
    _check_names,
    _check_quality,
    _check_shares,
    _check_plans,
    _check_workspaces,
    _check_out_of_service,
)
