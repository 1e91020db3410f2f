"""Classes of the operators' lists."""

from collections.abc import Mapping
from functools import cached_property

import attrs

from cardamomnotch_protocol.models import ConfigurationMessage


@attrs.frozen(kw_only=True)
class Version:
    """One version of a model.

    ``quality`` maps a request class to the expected score from 0 to 1, and
    counts as much as ``quality_answers`` rated answers. ``rollout_share`` is
    the share of requests that a version in roll-out takes.
    """

    name: str
    cost_per_1k_tokens: float
    quality: Mapping[str, float] = attrs.field(factory=dict)
    quality_answers: int = 200
    rollout_share: float = 1.0
    # Engines that load the version; 0 leaves it to the operators.
    replicas: int = 0


@attrs.frozen(kw_only=True)
class Model:
    """A model and its versions, oldest first."""

    name: str
    versions: tuple[Version, ...]


@attrs.frozen(kw_only=True)
class RequestClass:
    """What a kind of request needs; a lower priority number goes first.

    A version is bad for the class if more than ``bad_share`` of its answers
    score under ``bad_below``.
    """

    name: str
    quality_target: float = 0.0
    priority: int = 1
    deadline_s: float = 120.0
    # Whether a small share may go to cheaper versions of unsure quality.
    explore: bool = True
    explore_share: float = 0.02
    # Serve the best version, and say so, where none meets the target.
    serve_below_target: bool = False
    bad_below: float = 0.5
    bad_share: float = 0.01


@attrs.frozen(kw_only=True)
class ServiceRoute:
    """Calls of a plain service; only idempotent ones may be repeated."""

    method: str
    path_prefix: str
    idempotent: bool = False


@attrs.frozen(kw_only=True)
class Service:
    """A plain service behind the router."""

    name: str
    routes: tuple[ServiceRoute, ...]
    deadline_s: float = 30.0


@attrs.frozen(kw_only=True)
class PlanModel:
    """A model that a plan allows; no versions named means all of them."""

    model: str
    versions: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Plan:
    """What a customer's workspaces may use; a limit of 0 means no limit."""

    name: str
    models: tuple[PlanModel, ...] = ()
    services: tuple[str, ...] = ()
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrent_requests: int = 0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer; API keys are kept as SHA-256 digests in hexadecimal."""

    name: str
    plan: str
    key_digests: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Marks:
    """What operators have taken out of service.

    Versions are written as "model/version".
    """

    zones_out: tuple[str, ...] = ()
    versions_out: tuple[str, ...] = ()
    vms_out: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PlacementRules:
    """What the planner may ask of the engines.

    ``concurrent_loads`` bounds how many engines read the weight store.
    """

    versions_per_engine: int = 2
    concurrent_loads: int = 1


@attrs.frozen(kw_only=True)
class QuarantinedRequest:
    """A request that crashed upstreams; ``until_s`` is wall-clock time."""

    fingerprint: str
    until_s: float


@attrs.frozen(kw_only=True)
class UpstreamCrash:
    """Requests that were in flight at a crash, until a verdict is due."""

    vm_id: str
    fingerprints: tuple[str, ...]
    until_s: float


@attrs.define(kw_only=True, frozen=True, slots=False)
class Configuration:
    """The whole of the operators' lists."""

    models: tuple[Model, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    services: tuple[Service, ...] = ()
    plans: tuple[Plan, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    marks: Marks = Marks()
    quarantined: tuple[QuarantinedRequest, ...] = ()
    crashes: tuple[UpstreamCrash, ...] = ()
    placement: PlacementRules = PlacementRules()

    @cached_property
    def quarantined_until(self) -> Mapping[str, float]:
        """Return the wall-clock end of each quarantine, by fingerprint."""
        return {item.fingerprint: item.until_s for item in self.quarantined}

    @cached_property
    def models_by_name(self) -> Mapping[str, Model]:
        """Return the models by name."""
        return {model.name: model for model in self.models}

    @cached_property
    def classes_by_name(self) -> Mapping[str, RequestClass]:
        """Return the request classes by name."""
        return {item.name: item for item in self.classes}

    @cached_property
    def services_by_name(self) -> Mapping[str, Service]:
        """Return the plain services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def plans_by_name(self) -> Mapping[str, Plan]:
        """Return the plans by name."""
        return {plan.name: plan for plan in self.plans}

    @cached_property
    def served_names(self) -> tuple[str, ...]:
        """Return every version as "model/version", and every plain service."""
        versions = tuple(
            f"{model.name}/{version.name}"
            for model in self.models
            for version in model.versions
        )
        return versions + tuple(service.name for service in self.services)

    @cached_property
    def workspaces_by_name(self) -> Mapping[str, Workspace]:
        """Return the workspaces by name."""
        return {workspace.name: workspace for workspace in self.workspaces}

    @cached_property
    def workspaces_by_digest(self) -> Mapping[str, Workspace]:
        """Return the workspaces by digest of each API key."""
        return {
            digest: workspace
            for workspace in self.workspaces
            for digest in workspace.key_digests
        }


@attrs.frozen(kw_only=True)
class ConfigurationRecord:
    """The lists at one revision, as accepted by the store."""

    revision: int
    change_id: str
    configuration: Configuration
    # What it was read from, so that it is passed on as it was accepted.
    message: ConfigurationMessage | None = attrs.field(
        default=None, eq=False, repr=False
    )
