"""Settings of the entry and of the operator's command line."""

import attrs

from cardamomnotch_runtime.caller_limits.settings import ProcessSettings
from cardamomnotch_runtime.settings import (
    LogSettings,
    NodeSettings,
    address_field,
)

from .const import DEFAULT_DRAIN_GRACE_S

_HTTP_URL_VALIDATOR = attrs.validators.matches_re(r"https?://.+")


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Table ``platform``: addresses of the platform's services."""

    store_url: str = attrs.field(validator=_HTTP_URL_VALIDATOR)
    vm_list_url: str = attrs.field(validator=_HTTP_URL_VALIDATOR)
    # Without a rating service no answer is rated, and rollout shares do not
    # increase.
    rating_url: str = attrs.field(
        default="",
        validator=attrs.validators.or_(
            attrs.validators.in_(("",)), _HTTP_URL_VALIDATOR
        ),
    )


@attrs.frozen(kw_only=True)
class CallerSettings:
    """Table ``caller``: address for the platform's load balancer.

    If ``certificate`` and ``private_key`` (paths of PEM files) are set,
    callers use TLS; changed files are reloaded within seconds.
    """

    address: str = address_field()
    certificate: str = ""
    private_key: str = attrs.field(default="", repr=False)

    @private_key.validator
    def _check_certificate_pair(self, _: attrs.Attribute, value: str) -> None:
        if bool(value) != bool(self.certificate):
            raise ValueError(
                "caller.certificate and caller.private_key must be set together"
            )


@attrs.frozen(kw_only=True)
class RatingSettings:
    """Table ``ratings``: share of answers sent to the rating service.

    Versions in a rollout, or suspected of low quality, have all answers rated.
    """

    share: float = attrs.field(
        default=1.0,
        validator=[attrs.validators.ge(0), attrs.validators.le(1)],
    )


@attrs.frozen(kw_only=True)
class SessionSettings:
    """Table ``sessions``: keys of session tokens.

    The first key signs new tokens; tokens of every key are accepted, so that
    two keys can be listed during a key rotation. Without any key, the keys are
    derived from the inner keys.
    """

    keys: tuple[str, ...] = attrs.field(default=(), repr=False)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """All tables of the entry's settings file."""

    node: NodeSettings
    caller: CallerSettings
    platform: PlatformSettings
    ratings: RatingSettings = attrs.field(factory=RatingSettings)
    sessions: SessionSettings = attrs.field(factory=SessionSettings)
    process: ProcessSettings = attrs.field(factory=ProcessSettings)
    log: LogSettings = attrs.field(factory=LogSettings)
    drain_grace_s: float = attrs.field(
        default=DEFAULT_DRAIN_GRACE_S, validator=attrs.validators.ge(0)
    )


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """All tables of an operator's settings file."""

    platform: PlatformSettings
    # Inner keys, for commands that call entries or sidecars.
    inner_keys: tuple[str, ...] = attrs.field(default=(), repr=False)
