"""Identities of entry and sidecar nodes."""

import attrs


@attrs.frozen(kw_only=True)
class EntryIdentity:
    """Identity of an entry, from its settings."""

    vm_id: str
    zone: str
    inner_address: str


@attrs.frozen(kw_only=True)
class SidecarIdentity:
    """Identity of a sidecar, with an incarnation that is new at each start."""

    vm_id: str
    zone: str
    incarnation: str
    services: tuple[str, ...] = ()
