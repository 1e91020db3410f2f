"""The entries that an entry exchanges revisions with."""

from collections.abc import Iterable

import attrs

from .const import PEERS_PER_ENTRY, ROLE_ENTRY
from .models import Vm
from .rendezvous import choose_spread


@attrs.frozen(kw_only=True)
class Peer:
    """Another entry as this one knows it."""

    vm_id: str
    address: str
    zone: str
    revision: int = 0
    heard_at_s: float = float("-inf")


class PeerTable:
    """A few entries of every zone, and what they have told."""

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._peers: dict[str, Peer] = {}
        self._others_listed = 0

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return the entries that this one tells its revision."""
        return tuple(self._peers[vm_id] for vm_id in sorted(self._peers))

    @property
    def others_listed(self) -> int:
        """Return how many other entries the VM list names."""
        return self._others_listed

    def take_vm_list(self, vms: Iterable[Vm]) -> None:
        """Choose the peers among the listed entries."""
        others = [
            vm
            for vm in vms
            if vm.role == ROLE_ENTRY and vm.vm_id != self._vm_id and not vm.leaving
        ]
        self._others_listed = len(others)
        chosen = choose_spread(self._vm_id, others, PEERS_PER_ENTRY)
        self._peers = {vm.vm_id: self._from_vm(vm) for vm in chosen}

    def _from_vm(self, vm: Vm) -> Peer:
        known = self._peers.get(vm.vm_id)
        if known is None or known.address != vm.address:
            return Peer(vm_id=vm.vm_id, address=vm.address, zone=vm.zone)
        return attrs.evolve(known, zone=vm.zone)

    def take_revision(self, vm_id: str, revision: int, now_s: float) -> None:
        """Note what the entry on ``vm_id`` has told."""
        known = self._peers.get(vm_id)
        if known is not None:
            self._peers[vm_id] = attrs.evolve(
                known, revision=max(known.revision, revision), heard_at_s=now_s
            )
