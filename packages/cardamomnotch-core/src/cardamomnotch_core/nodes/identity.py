"""Who a node is, from its settings."""

import attrs


@attrs.frozen(kw_only=True)
class EntryIdentity:
    """Who an entry is."""

    vm_id: str
    zone: str
    inner_address: str


@attrs.frozen(kw_only=True)
class SidecarIdentity:
    """Who a sidecar is; a new incarnation is drawn at each start."""

    vm_id: str
    zone: str
    incarnation: str
    services: tuple[str, ...] = ()
