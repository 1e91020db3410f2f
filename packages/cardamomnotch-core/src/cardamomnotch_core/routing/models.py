"""Classes of the routing decision."""

import attrs

from ..membership.models import Upstream


@attrs.frozen(kw_only=True)
class Route:
    """An upstream, and the version or service to use there."""

    upstream: Upstream
    model: str = ""
    version: str = ""
    service: str = ""
    idempotent: bool = True
    priority: int = 1
    # The session's version, if this route had to replace it.
    replaced_version: str = ""
    # Whether no version meets the target, and the class allows that.
    below_target: bool = False


@attrs.frozen(kw_only=True)
class RoutingRequest:
    """What a request asks of routing."""

    workspace: str
    model: str = ""
    request_class: str = ""
    session_version: str = ""
    service: str = ""
    method: str = ""
    path: str = ""
    request_id: str = ""
    # Decides the side of a roll-out's share: session or request key.
    routing_key: str = ""


@attrs.frozen
class Pool:
    """Upstreams that serve one version or service, by nearness."""

    near: tuple[str, ...] = ()
    far: tuple[str, ...] = ()

    @property
    def vm_ids(self) -> tuple[str, ...]:
        """Return the VM ids, near ones first."""
        return self.near + self.far
