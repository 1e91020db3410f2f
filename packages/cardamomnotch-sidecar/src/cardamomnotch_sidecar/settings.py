"""Settings of the sidecar."""

import attrs

from cardamomnotch_core.admission.models import LimiterSettings
from cardamomnotch_runtime.settings import LogSettings, NodeSettings

from .const import (
    CONF_ENGINE,
    CONF_SERVICE,
    DEFAULT_COLD_CONCURRENCY,
    DEFAULT_DRAIN_GRACE_S,
    DEFAULT_SILENCE_S,
    DEFAULT_WARM_UP_COMPLETIONS,
)


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """Table ``upstream``: what stands behind this gate."""

    kind: str = attrs.field(validator=attrs.validators.in_((CONF_ENGINE, CONF_SERVICE)))
    url: str = attrs.field(validator=attrs.validators.matches_re(r"https?://.+"))
    # Names of the plain services, for kind "service".
    services: tuple[str, ...] = ()
    max_concurrency: int = attrs.field(default=32, validator=attrs.validators.gt(0))
    # What the upstream bears right after a start.
    cold_concurrency: int = attrs.field(
        default=DEFAULT_COLD_CONCURRENCY, validator=attrs.validators.gt(0)
    )
    # Whole answers before the limit rises above the cold one.
    warm_up_completions: int = attrs.field(
        default=DEFAULT_WARM_UP_COMPLETIONS, validator=attrs.validators.ge(0)
    )
    # 0 leaves tokens unlimited.
    max_tokens_in_flight: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    silence_s: float = attrs.field(
        default=DEFAULT_SILENCE_S, validator=attrs.validators.gt(0)
    )

    @property
    def limiter(self) -> LimiterSettings:
        """Return the bounds of the gate's limiter."""
        return LimiterSettings(
            max_limit=self.max_concurrency,
            cold_limit=self.cold_concurrency,
            max_tokens_in_flight=self.max_tokens_in_flight,
            warm_up_completions=self.warm_up_completions,
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
