"""Models of the operators' configuration."""

from collections.abc import Mapping
from functools import cached_property

import attrs

from cardamomnotch_protocol.models import ConfigurationMessage


@attrs.frozen(kw_only=True)
class Version:
    """One version of a model.

    ``quality`` maps the name of a request class to the expected score from 0
    to 1; in the quality estimate it has the weight of ``quality_answers``
    rated answers. ``rollout_share`` is the share of requests that a version
    receives while it is rolled out.
    """

    name: str
    cost_per_1k_tokens: float
    quality: Mapping[str, float] = attrs.field(factory=dict)
    quality_answers: int = 200
    rollout_share: float = 1.0
    # Number of engines that should load the version; with 0 the placement
    # planner does not manage it, and operators load it themselves.
    replicas: int = 0


@attrs.frozen(kw_only=True)
class Model:
    """A model and its versions, oldest first."""

    name: str
    versions: tuple[Version, ...]


@attrs.frozen(kw_only=True)
class RequestClass:
    """Requirements of a class of requests.

    A lower ``priority`` number is served first. A version is bad for the
    class if more than ``bad_share`` of its answers score below ``bad_below``.
    """

    name: str
    quality_target: float = 0.0
    priority: int = 1
    deadline_s: float = 120.0
    # Whether a small share of the requests, ``explore_share``, may go to
    # cheaper versions whose quality is uncertain.
    explore: bool = True
    explore_share: float = 0.02
    # Whether the best version serves requests if no version meets
    # ``quality_target``; a response header informs the caller.
    serve_below_target: bool = False
    bad_below: float = 0.5
    bad_share: float = 0.01


@attrs.frozen(kw_only=True)
class ServiceRoute:
    """A route of a plain service; only idempotent routes may be retried."""

    method: str
    path_prefix: str
    idempotent: bool = False


@attrs.frozen(kw_only=True)
class Service:
    """A plain service behind the router: it serves HTTP routes, no model."""

    name: str
    routes: tuple[ServiceRoute, ...]
    deadline_s: float = 30.0


@attrs.frozen(kw_only=True)
class PlanModel:
    """A model that a plan allows; empty ``versions`` allows all of them."""

    model: str
    versions: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Plan:
    """Permissions and limits of a customer's workspaces.

    A limit of 0 means that there is none.
    """

    name: str
    models: tuple[PlanModel, ...] = ()
    services: tuple[str, ...] = ()
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrent_requests: int = 0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer.

    ``key_digests`` are the hexadecimal SHA-256 digests of its API keys.
    """

    name: str
    plan: str
    key_digests: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class OutOfServiceMarks:
    """Zones, versions and VMs that are out of service.

    Zones and VMs are listed by id, versions as "model/version".
    """

    zones_out: tuple[str, ...] = ()
    versions_out: tuple[str, ...] = ()
    vms_out: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class PlacementRules:
    """Limits for the placement of versions on engines.

    ``concurrent_loads`` is the maximum number of engines that load weights
    from the weight store at the same time.
    """

    versions_per_engine: int = 2
    concurrent_loads: int = 1


@attrs.frozen(kw_only=True)
class QuarantinedRequest:
    """A request that crashed upstreams and is refused until ``until_s``.

    ``until_s`` is wall-clock time in seconds.
    """

    fingerprint: str
    until_s: float


@attrs.frozen(kw_only=True)
class UpstreamCrash:
    """Requests that were in flight when the upstream on ``vm_id`` crashed.

    Until ``until_s``, in wall-clock seconds, only the entries that had sent
    these requests may run them again to find out which one caused the crash.
    """

    vm_id: str
    fingerprints: tuple[str, ...]
    until_s: float


@attrs.define(kw_only=True, frozen=True, slots=False)
class Configuration:
    """The complete configuration of one revision."""

    models: tuple[Model, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    services: tuple[Service, ...] = ()
    plans: tuple[Plan, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    marks: OutOfServiceMarks = OutOfServiceMarks()
    quarantined: tuple[QuarantinedRequest, ...] = ()
    crashes: tuple[UpstreamCrash, ...] = ()
    placement: PlacementRules = PlacementRules()

    @cached_property
    def quarantined_until(self) -> Mapping[str, float]:
        """Return the wall-clock end of each quarantine, by fingerprint."""
        return {request.fingerprint: request.until_s for request in self.quarantined}

    @cached_property
    def models_by_name(self) -> Mapping[str, Model]:
        """Return the models by name."""
        return {model.name: model for model in self.models}

    @cached_property
    def classes_by_name(self) -> Mapping[str, RequestClass]:
        """Return the request classes by name."""
        return {request_class.name: request_class for request_class in self.classes}

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
        """Return all versions, as "model/version", and plain services."""
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
        """Return the workspaces by the digests of their API keys."""
        return {
            digest: workspace
            for workspace in self.workspaces
            for digest in workspace.key_digests
        }


@attrs.frozen(kw_only=True)
class ConfigurationRecord:
    """A configuration revision that the store has accepted."""

    revision: int
    change_id: str
    configuration: Configuration
    # The message from which the configuration was read, so that it is
    # forwarded exactly as the store accepted it.
    message: ConfigurationMessage | None = attrs.field(
        default=None, eq=False, repr=False
    )
