"""Settings of the sidecar."""

import attrs

from cardamomnotch_core.admission.models import LimiterSettings
from cardamomnotch_runtime.caller_limits.settings import ProcessSettings
from cardamomnotch_runtime.settings import LogSettings, NodeSettings

from .const import (
    DEFAULT_COLD_CONCURRENCY,
    DEFAULT_DRAIN_GRACE_S,
    DEFAULT_READ_TIMEOUT_S,
    DEFAULT_WARM_UP_COMPLETIONS,
    UPSTREAM_KIND_ENGINE,
    UPSTREAM_KIND_SERVICE,
)


@attrs.frozen(kw_only=True)
class UpstreamSettings:
    """Table ``upstream``: the upstream that this sidecar controls."""

    kind: str = attrs.field(
        validator=attrs.validators.in_((UPSTREAM_KIND_ENGINE, UPSTREAM_KIND_SERVICE))
    )
    url: str = attrs.field(validator=attrs.validators.matches_re(r"https?://.+"))
    # Names of the plain services; only for kind "service".
    services: tuple[str, ...] = ()
    max_concurrency: int = attrs.field(default=32, validator=attrs.validators.gt(0))
    # Concurrency limit right after a start of the upstream.
    cold_concurrency: int = attrs.field(
        default=DEFAULT_COLD_CONCURRENCY, validator=attrs.validators.gt(0)
    )
    # Complete answers before the limit rises above cold_concurrency.
    warm_up_completions: int = attrs.field(
        default=DEFAULT_WARM_UP_COMPLETIONS, validator=attrs.validators.ge(0)
    )
    # 0: no limit.
    max_tokens_in_flight: int = attrs.field(default=0, validator=attrs.validators.ge(0))
    # Time without data from the upstream after which a call fails.
    silence_s: float = attrs.field(
        default=DEFAULT_READ_TIMEOUT_S, validator=attrs.validators.gt(0)
    )

    @property
    def limiter(self) -> LimiterSettings:
        """Return the settings of the concurrency limiter."""
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
    process: ProcessSettings = attrs.field(factory=ProcessSettings)
    log: LogSettings = attrs.field(factory=LogSettings)
    drain_grace_s: float = attrs.field(
        default=DEFAULT_DRAIN_GRACE_S, validator=attrs.validators.ge(0)
    )
