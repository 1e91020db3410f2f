"""The upstreams that an entry knows."""

from collections.abc import Collection

import attrs

from cardamomnotch_protocol.models import HeartbeatReply, Load

from .const import HEARTBEAT_AT_LEAST_EVERY_S, HEARTBEATS_PER_ENTRY_PER_S
from .models import Upstream, Vm
from .rendezvous import rank
from .states import MemberSignal, MemberState, next_state
from .subsets import SubsetChooser

# Heartbeats go out this share of the interval early, by upstream, so that
# entries that start together do not stay in step.
_MAX_EARLY_SHARE = 0.2
_MAX_RANK = 2**64


class UpstreamTable:
    """Merges the VM list, heartbeats and what attempts find out."""

    def __init__(self, vm_id: str = "", zone: str = "") -> None:
        self._vm_id = vm_id
        self._subset = SubsetChooser(vm_id, zone)
        self._upstreams: dict[str, Upstream] = {}
        self._listed = 0
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that rises whenever more than a load changes."""
        return self._generation

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return every upstream in use, by VM id."""
        return tuple(self._upstreams[key] for key in sorted(self._upstreams))

    @property
    def listed(self) -> int:
        """Return how many VMs the list names, in use or not."""
        return self._listed

    @property
    def _interval_s(self) -> float:
        """Return the time between heartbeats to one upstream that this entry needs."""
        return len(self._upstreams) / HEARTBEATS_PER_ENTRY_PER_S

    def get(self, vm_id: str) -> Upstream | None:
        """Return the upstream on ``vm_id``."""
        return self._upstreams.get(vm_id)

    def take_vm_list(
        self, vms: Collection[Vm], names: Collection[str] = ()
    ) -> tuple[str, ...]:
        """Add, move and drop upstreams as the list says.

        ``names`` are the versions and services of the operators' lists.
        Returns the ids of VMs that have not answered a heartbeat yet.
        """
        self._listed = len(vms)
        chosen = self._subset.choose(vms, names)
        self._upstreams = {vm.vm_id: self._from_vm(vm) for vm in chosen}
        self._generation += 1
        return tuple(item.vm_id for item in self.upstreams if not item.is_known)

    def _from_vm(self, vm: Vm) -> Upstream:
        signal = MemberSignal.LISTED_LEAVING if vm.leaving else MemberSignal.LISTED
        known = self._upstreams.get(vm.vm_id)
        if known is None or known.address != vm.address:
            return Upstream(
                vm_id=vm.vm_id,
                address=vm.address,
                zone=vm.zone,
                leaving=vm.leaving,
                state=next_state(MemberState.GONE, signal),
            )
        state = next_state(known.state, signal)
        return attrs.evolve(
            known,
            zone=vm.zone,
            leaving=vm.leaving,
            state=state,
            accepting=known.accepting and state is not MemberState.JOINING,
        )

    def _put(self, upstream: Upstream) -> None:
        known = self._upstreams[upstream.vm_id]
        self._upstreams[upstream.vm_id] = upstream
        if _routing_facts(known) != _routing_facts(upstream):
            self._generation += 1

    def take_heartbeat(
        self,
        vm_id: str,
        reply: HeartbeatReply,
        now_s: float,
        *,
        asked_at_s: float | None = None,
        told_revision: int = 0,
    ) -> None:
        """Note what the sidecar on ``vm_id`` has answered.

        An answer by another VM that took over the address is left out, and
        so is one that a later answer has overtaken. It counts as heard when
        it was asked for, so that an answer which waited while this process
        was paused proves nothing.
        """
        known = self._upstreams.get(vm_id)
        sent_at_s = now_s if asked_at_s is None else asked_at_s
        if known is None or reply.vm_id != vm_id or sent_at_s < known.heartbeat_at_s:
            return
        self._put(
            attrs.evolve(
                known,
                state=next_state(known.state, MemberSignal.ANSWERED),
                incarnation=reply.incarnation,
                revision=reply.revision,
                told_revision=told_revision,
                accepting=reply.accepting,
                versions=frozenset(reply.versions),
                services=frozenset(reply.services),
                load=reply.load,
                heard_at_s=max(known.heard_at_s, sent_at_s),
                heartbeat_at_s=sent_at_s,
                heartbeat_after_s=max(reply.heartbeat_after_s, self._interval_s),
            )
        )

    def take_revision(self, vm_id: str, revision: int) -> None:
        """Note the revision that is in force at the sidecar on ``vm_id``."""
        known = self._upstreams.get(vm_id)
        if known is not None and revision > known.revision:
            self._put(attrs.evolve(known, revision=revision))

    def take_load(self, vm_id: str, load: Load, now_s: float) -> None:
        """Note the load that came back on an answer."""
        known = self._upstreams.get(vm_id)
        if known is None:
            return
        self._put(attrs.evolve(known, load=load, heard_at_s=now_s))

    def mark_unreachable(self, vm_id: str) -> None:
        """Note that the sidecar did not answer an attempt."""
        known = self._upstreams.get(vm_id)
        if known is None:
            return
        self._put(
            attrs.evolve(
                known,
                accepting=False,
                state=next_state(known.state, MemberSignal.SILENT),
            )
        )

    def take_failure(self, vm_id: str, now_s: float) -> None:
        """Note that the sidecar did not answer a heartbeat."""
        self.mark_unreachable(vm_id)
        known = self._upstreams.get(vm_id)
        if known is not None:
            self._put(attrs.evolve(known, failed_at_s=now_s))

    def expire(self, now_s: float) -> None:
        """Suspect the upstreams that have been silent for too long."""
        for upstream in self.upstreams:
            if upstream.state is MemberState.LIVE and upstream.is_silent(now_s):
                self._put(
                    attrs.evolve(
                        upstream, state=next_state(upstream.state, MemberSignal.SILENT)
                    )
                )

    def usable(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams that may be given new work."""
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.state is MemberState.LIVE
            and upstream.accepting
            and not upstream.is_silent(now_s)
        )

    def heartbeats_due(self, revision: int, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams of which too little was heard of late."""
        return tuple(
            upstream
            for upstream in self._upstreams.values()
            if self._is_due(upstream, revision, now_s)
        )

    def _is_due(self, upstream: Upstream, revision: int, now_s: float) -> bool:
        early = _MAX_EARLY_SHARE * rank(self._vm_id, upstream.vm_id) / _MAX_RANK
        interval_s = upstream.heartbeat_after_s * (1 - early)
        if now_s - max(upstream.heartbeat_at_s, upstream.failed_at_s) < interval_s:
            return False
        return (
            now_s - upstream.heard_at_s >= interval_s
            or upstream.revision < revision
            or now_s - upstream.heartbeat_at_s
            >= max(HEARTBEAT_AT_LEAST_EVERY_S, interval_s)
        )


def _routing_facts(upstream: Upstream) -> tuple[object, ...]:
    return (
        upstream.state,
        upstream.accepting,
        upstream.versions,
        upstream.services,
    )
