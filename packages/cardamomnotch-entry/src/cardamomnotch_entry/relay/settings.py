"""Settings of a relaying entry."""

import attrs

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_runtime.caller_limits.settings import ProcessSettings
from cardamomnotch_runtime.settings import (
    LOG_LEVEL_VALIDATOR,
    address_field,
    optional_address_field,
)


@attrs.frozen(kw_only=True)
class RelaySettings:
    """Contents of a relaying entry's settings file."""

    name: str
    zone: str
    # Address for callers, "ip:port".
    caller_address: str = address_field()
    # Address for load notices from the other entries (UDP), "ip:port".
    peer_address: str = address_field()
    # Address for readiness checks, metrics and the state dump, "ip:port".
    admin_address: str = address_field()
    # Optional address that serves only metrics, "ip:port".
    metrics_address: str = optional_address_field()
    # Address of the store, "ip:port".
    store_address: str = address_field()
    # Minimum level of the JSON log lines.
    log_level: str = attrs.field(default="info", validator=LOG_LEVEL_VALIDATOR)
    limits: RelayLimits = attrs.field(factory=RelayLimits)
    process: ProcessSettings = attrs.field(factory=ProcessSettings)
