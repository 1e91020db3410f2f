"""The upstreams that an entry knows."""

from collections.abc import Iterable

import attrs

from cardamomnotch_protocol.models import HeartbeatReply, Load

from .const import ROLE_UPSTREAM, SILENT_AFTER_S
from .models import Upstream, Vm


class UpstreamTable:
    """Merges the VM list, heartbeats and what attempts find out."""

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that rises whenever more than a load changes."""
        return self._generation

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return every upstream, by VM id."""
        return tuple(self._upstreams[key] for key in sorted(self._upstreams))

    def get(self, vm_id: str) -> Upstream | None:
        """Return the upstream on ``vm_id``."""
        return self._upstreams.get(vm_id)

    def take_vm_list(self, vms: Iterable[Vm]) -> tuple[str, ...]:
        """Add, move and drop upstreams as the list says.

        Returns the ids of VMs that have not answered a heartbeat yet.
        """
        listed = {vm.vm_id: vm for vm in vms if vm.role == ROLE_UPSTREAM}
        self._upstreams = {vm_id: self._from_vm(vm) for vm_id, vm in listed.items()}
        self._generation += 1
        return tuple(item.vm_id for item in self.upstreams if not item.is_known)

    def _from_vm(self, vm: Vm) -> Upstream:
        known = self._upstreams.get(vm.vm_id)
        if known is None or known.address != vm.address:
            return Upstream(
                vm_id=vm.vm_id, address=vm.address, zone=vm.zone, leaving=vm.leaving
            )
        return attrs.evolve(known, zone=vm.zone, leaving=vm.leaving)

    def take_heartbeat(self, vm_id: str, reply: HeartbeatReply, now_s: float) -> None:
        """Note what the sidecar on ``vm_id`` has answered.

        An answer by another VM that took over the address is left out.
        """
        known = self._upstreams.get(vm_id)
        if known is None or reply.vm_id != vm_id:
            return
        told = attrs.evolve(
            known,
            incarnation=reply.incarnation,
            revision=reply.revision,
            accepting=reply.accepting,
            versions=frozenset(reply.versions),
            services=frozenset(reply.services),
            load=reply.load,
            heard_at_s=now_s,
        )
        self._upstreams[vm_id] = told
        if _routing_facts(told) != _routing_facts(known):
            self._generation += 1

    def take_revision(self, vm_id: str, revision: int) -> None:
        """Note the revision that is in force at the sidecar on ``vm_id``."""
        known = self._upstreams.get(vm_id)
        if known is not None and revision > known.revision:
            self._upstreams[vm_id] = attrs.evolve(known, revision=revision)

    def take_load(self, vm_id: str, load: Load, now_s: float) -> None:
        """Note the load that came back on an answer."""
        known = self._upstreams.get(vm_id)
        if known is None:
            return
        self._upstreams[vm_id] = attrs.evolve(known, load=load, heard_at_s=now_s)

    def mark_unreachable(self, vm_id: str) -> None:
        """Note that the sidecar did not answer."""
        known = self._upstreams.get(vm_id)
        if known is None or not known.accepting:
            return
        self._upstreams[vm_id] = attrs.evolve(known, accepting=False)
        self._generation += 1

    def usable(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams that may be given new work."""
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.accepting
            and not upstream.leaving
            and now_s - upstream.heard_at_s <= SILENT_AFTER_S
        )


def _routing_facts(upstream: Upstream) -> tuple[object, ...]:
    return (upstream.accepting, upstream.versions, upstream.services)
