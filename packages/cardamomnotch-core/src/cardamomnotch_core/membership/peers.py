"""The entries with which an entry exchanges configuration revisions."""

from collections.abc import Iterable

import attrs

from .const import PEERS_PER_ENTRY, ROLE_ENTRY
from .models import Vm
from .rendezvous import choose_across_zones


@attrs.frozen(kw_only=True)
class Peer:
    """What this entry knows about another one."""

    vm_id: str
    address: str
    zone: str
    revision: int = 0
    # When the peer last reported its revision.
    heard_at_s: float = float("-inf")


class PeerTable:
    """A few entries of every zone, and the revisions that they reported."""

    def __init__(self, vm_id: str) -> None:
        self._vm_id = vm_id
        self._peers: dict[str, Peer] = {}
        self._listed_peer_count = 0

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return the entries to which this one reports its revision."""
        return tuple(self._peers[vm_id] for vm_id in sorted(self._peers))

    @property
    def listed_peer_count(self) -> int:
        """Return how many other entries are in the VM list."""
        return self._listed_peer_count

    def update_from_vm_list(self, vms: Iterable[Vm]) -> None:
        """Choose the peers among the entries in ``vms``."""
        others = [
            vm
            for vm in vms
            if vm.role == ROLE_ENTRY and vm.vm_id != self._vm_id and not vm.leaving
        ]
        self._listed_peer_count = len(others)
        chosen = choose_across_zones(self._vm_id, others, PEERS_PER_ENTRY)
        self._peers = {vm.vm_id: self._from_vm(vm) for vm in chosen}

    def _from_vm(self, vm: Vm) -> Peer:
        peer = self._peers.get(vm.vm_id)
        if peer is None or peer.address != vm.address:
            return Peer(vm_id=vm.vm_id, address=vm.address, zone=vm.zone)
        return attrs.evolve(peer, zone=vm.zone)

    def record_revision(self, vm_id: str, revision: int, now_s: float) -> None:
        """Record the revision that the entry on ``vm_id`` reported."""
        peer = self._peers.get(vm_id)
        if peer is not None:
            self._peers[vm_id] = attrs.evolve(
                peer, revision=max(peer.revision, revision), heard_at_s=now_s
            )
