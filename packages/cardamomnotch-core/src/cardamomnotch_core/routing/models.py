"""Data classes of routing."""

import attrs

from ..membership.models import Upstream


@attrs.frozen(kw_only=True)
class Route:
    """The upstream for a request, and the version or service to use on it."""

    upstream: Upstream
    model: str = ""
    version: str = ""
    service: str = ""
    idempotent: bool = True
    priority: int = 1
    # The session's previous version, if this route uses a different one.
    replaced_version: str = ""
    # Whether the version was used although no version meets the quality target
    # of the request class, which the class allows.
    below_target: bool = False


@attrs.frozen(kw_only=True)
class RoutingRequest:
    """The properties of a request that determine its route."""

    workspace: str
    model: str = ""
    request_class: str = ""
    session_version: str = ""
    service: str = ""
    method: str = ""
    path: str = ""
    request_id: str = ""
    # Session or request key, whose hash assigns the request to the traffic
    # share of a rollout.
    routing_key: str = ""


@attrs.frozen
class UpstreamPool:
    """VM IDs of the upstreams that serve one version or service."""

    same_zone: tuple[str, ...] = ()
    other_zones: tuple[str, ...] = ()

    @property
    def vm_ids(self) -> tuple[str, ...]:
        """Return all VM IDs, those in the same availability zone first."""
        return self.same_zone + self.other_zones
