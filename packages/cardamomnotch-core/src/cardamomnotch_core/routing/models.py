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


@attrs.frozen(kw_only=True)
class Demand:
    """What a request asks of routing."""

    workspace: str
    model: str = ""
    request_class: str = ""
    session_version: str = ""
    service: str = ""
    method: str = ""
    path: str = ""
