"""Settings of a relaying entry."""

import attrs

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_runtime.settings import (
    LOG_LEVEL_VALIDATOR,
    address_field,
    optional_address_field,
)


@attrs.frozen(kw_only=True)
class RelaySettings:
    """All tables of a relaying entry's settings file."""

    name: str
    zone: str
    # Address for callers, "ip:port".
    caller_address: str = address_field()
    # Address for datagrams of the other entries, "ip:port".
    peer_address: str = address_field()
    # Address for the balancer's and operators' questions, "ip:port".
    admin_address: str = address_field()
    # Address for metrics alone, "ip:port"; without one the admin address has them.
    metrics_address: str = optional_address_field()
    # Address of the store, "ip:port".
    store_address: str = address_field()
    # Least level of the log lines, which are JSON.
    log_level: str = attrs.field(default="info", validator=LOG_LEVEL_VALIDATOR)
    limits: RelayLimits = attrs.field(factory=RelayLimits)
