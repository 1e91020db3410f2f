"""Settings of the sidecar."""

import attrs

from cardamomnotch_runtime.settings import LogSettings, NodeSettings

from .const import (
    CONF_ENGINE,
    CONF_SERVICE,
    DEFAULT_DRAIN_GRACE_S,
    DEFAULT_SILENCE_S,
)


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """Table ``upstream``: what stands behind this gate."""

    kind: str = attrs.field(validator=attrs.validators.in_((CONF_ENGINE, CONF_SERVICE)))
    url: str = attrs.field(validator=attrs.validators.matches_re(r"https?://.+"))
    # Names of the plain services, for kind "service".
    services: tuple[str, ...] = ()
    max_concurrency: int = attrs.field(default=32, validator=attrs.validators.gt(0))
    silence_s: float = attrs.field(
        default=DEFAULT_SILENCE_S, validator=attrs.validators.gt(0)
    )


@attrs.frozen(kw_only=True)
class SidecarSettings:
    """All tables of the sidecar's settings file."""

    node: NodeSettings
    upstream: UpstreamSettings
    log: LogSettings = attrs.field(factory=LogSettings)
    drain_grace_s: float = attrs.field(
        default=DEFAULT_DRAIN_GRACE_S, validator=attrs.validators.ge(0)
    )
