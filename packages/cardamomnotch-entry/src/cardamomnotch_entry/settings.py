"""Settings of the entry and of the operator's command line."""

import attrs

from cardamomnotch_runtime.settings import (
    LogSettings,
    NodeSettings,
    address_field,
)

from .const import DEFAULT_DRAIN_GRACE_S

_URL = attrs.validators.matches_re(r"https?://.+")


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Table ``platform``: where the platform's services are."""

    store_url: str = attrs.field(validator=_URL)
    vm_list_url: str = attrs.field(validator=_URL)
    # Without a rating service nothing is rated, and roll-outs do not grow.
    rating_url: str = attrs.field(
        default="", validator=attrs.validators.or_(attrs.validators.in_(("",)), _URL)
    )


@attrs.frozen(kw_only=True)
class CallerSettings:
    """Table ``caller``: the address that the platform's balancer uses.

    With ``certificate`` and ``private_key``, files in PEM form, callers use
    TLS; changed files are read again within seconds.
    """

    address: str = address_field()
    certificate: str = ""
    private_key: str = attrs.field(default="", repr=False)

    @private_key.validator
    def _check_pair(self, _: attrs.Attribute, value: str) -> None:
        if bool(value) != bool(self.certificate):
            raise ValueError("certificate and private_key go together")


@attrs.frozen(kw_only=True)
class RatingSettings:
    """Table ``ratings``: the share of answers that is rated.

    Answers of versions in roll-out, or under suspicion, are all rated.
    """

    share: float = attrs.field(
        default=1.0,
        validator=[attrs.validators.ge(0), attrs.validators.le(1)],
    )


@attrs.frozen(kw_only=True)
class SessionSettings:
    """Table ``sessions``: keys of session tokens.

    The first signs, all are read, so two are listed during a change. Without
    any the keys are derived from the inner keys.
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
    log: LogSettings = attrs.field(factory=LogSettings)
    drain_grace_s: float = attrs.field(
        default=DEFAULT_DRAIN_GRACE_S, validator=attrs.validators.ge(0)
    )


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """All tables of an operator's settings file."""

    platform: PlatformSettings
    # Keys that processes accept, for commands that ask them.
    inner_keys: tuple[str, ...] = attrs.field(default=(), repr=False)
