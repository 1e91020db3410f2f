"""The table of the upstreams that an entry uses."""

from collections.abc import Collection

import attrs

from cardamomnotch_protocol.models import HeartbeatReply, Load

from .const import HEARTBEATS_PER_ENTRY_PER_S, MAX_HEARTBEAT_GAP_S
from .models import Upstream, Vm
from .rendezvous import rendezvous_hash
from .states import MemberSignal, MemberState, next_state
from .subsets import SubsetChooser

# Heartbeats are sent up to this share of the interval early, by an amount that
# depends on entry and upstream, so that entries which start together do not
# stay synchronized.
_MAX_JITTER_SHARE = 0.2
_HASH_RANGE = 2**64


class UpstreamTable:
    """Merges the VM list, heartbeat replies and the results of attempts."""

    def __init__(self, vm_id: str = "", zone: str = "") -> None:
        self._vm_id = vm_id
        self._subset_chooser = SubsetChooser(vm_id, zone)
        self._upstreams: dict[str, Upstream] = {}
        self._listed_vm_count = 0
        self._generation = 0

    @property
    def generation(self) -> int:
        """Return a number that increases with each change relevant to routing.

        Changes of the load alone do not count.
        """
        return self._generation

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return every upstream in use, by VM id."""
        return tuple(self._upstreams[key] for key in sorted(self._upstreams))

    @property
    def listed_vm_count(self) -> int:
        """Return how many VMs are in the VM list, in use or not."""
        return self._listed_vm_count

    @property
    def _min_interval_s(self) -> float:
        """Return the least time between two heartbeats to one upstream.

        It keeps this entry within HEARTBEATS_PER_ENTRY_PER_S.
        """
        return len(self._upstreams) / HEARTBEATS_PER_ENTRY_PER_S

    def get(self, vm_id: str) -> Upstream | None:
        """Return the upstream on ``vm_id``, or None if it is not in use."""
        return self._upstreams.get(vm_id)

    def update_from_vm_list(
        self, vms: Collection[Vm], names: Collection[str] = ()
    ) -> tuple[str, ...]:
        """Add, update and remove upstreams according to the VM list.

        ``names`` are the configured versions and services. Returns the ids of
        the upstreams that have not answered a heartbeat yet.
        """
        self._listed_vm_count = len(vms)
        chosen = self._subset_chooser.choose(vms, names)
        self._upstreams = {vm.vm_id: self._from_vm(vm) for vm in chosen}
        self._generation += 1
        return tuple(
            upstream.vm_id for upstream in self.upstreams if not upstream.has_responded
        )

    def _from_vm(self, vm: Vm) -> Upstream:
        signal = MemberSignal.LISTED_LEAVING if vm.leaving else MemberSignal.LISTED
        upstream = self._upstreams.get(vm.vm_id)
        if upstream is None or upstream.address != vm.address:
            return Upstream(
                vm_id=vm.vm_id,
                address=vm.address,
                zone=vm.zone,
                leaving=vm.leaving,
                state=next_state(MemberState.GONE, signal),
            )
        state = next_state(upstream.state, signal)
        return attrs.evolve(
            upstream,
            zone=vm.zone,
            leaving=vm.leaving,
            state=state,
            accepting=upstream.accepting and state is not MemberState.JOINING,
        )

    def _replace(self, upstream: Upstream) -> None:
        previous = self._upstreams[upstream.vm_id]
        self._upstreams[upstream.vm_id] = upstream
        if _routing_fields(previous) != _routing_fields(upstream):
            self._generation += 1

    def record_heartbeat_reply(
        self,
        vm_id: str,
        reply: HeartbeatReply,
        now_s: float,
        *,
        asked_at_s: float | None = None,
        told_revision: int = 0,
    ) -> None:
        """Record a heartbeat reply from the sidecar on ``vm_id``.

        A reply from another VM that has taken over the address is ignored, and
        so is a reply to an older heartbeat than the last one answered. The
        reply counts as of ``asked_at_s``, the time at which the heartbeat was
        sent, so that a reply which waited while this process was paused does
        not make the upstream look responsive.
        """
        upstream = self._upstreams.get(vm_id)
        sent_at_s = now_s if asked_at_s is None else asked_at_s
        if (
            upstream is None
            or reply.vm_id != vm_id
            or sent_at_s < upstream.heartbeat_at_s
        ):
            return
        self._replace(
            attrs.evolve(
                upstream,
                state=next_state(upstream.state, MemberSignal.ANSWERED),
                incarnation=reply.incarnation,
                revision=reply.revision,
                told_revision=told_revision,
                accepting=reply.accepting,
                versions=frozenset(reply.versions),
                services=frozenset(reply.services),
                load=reply.load,
                heard_at_s=max(upstream.heard_at_s, sent_at_s),
                heartbeat_at_s=sent_at_s,
                heartbeat_after_s=max(reply.heartbeat_after_s, self._min_interval_s),
            )
        )

    def record_revision(self, vm_id: str, revision: int) -> None:
        """Record the active revision of the sidecar on ``vm_id``."""
        upstream = self._upstreams.get(vm_id)
        if upstream is not None and revision > upstream.revision:
            self._replace(attrs.evolve(upstream, revision=revision))

    def record_load(self, vm_id: str, load: Load, now_s: float) -> None:
        """Record the load that came with an attempt's response."""
        upstream = self._upstreams.get(vm_id)
        if upstream is None:
            return
        self._replace(attrs.evolve(upstream, load=load, heard_at_s=now_s))

    def mark_unreachable(self, vm_id: str) -> None:
        """Record that the sidecar on ``vm_id`` did not respond.

        The upstream gets no new work until it answers a heartbeat.
        """
        upstream = self._upstreams.get(vm_id)
        if upstream is None:
            return
        self._replace(
            attrs.evolve(
                upstream,
                accepting=False,
                state=next_state(upstream.state, MemberSignal.UNRESPONSIVE),
            )
        )

    def record_heartbeat_failure(self, vm_id: str, now_s: float) -> None:
        """Record that the sidecar on ``vm_id`` did not answer a heartbeat."""
        self.mark_unreachable(vm_id)
        upstream = self._upstreams.get(vm_id)
        if upstream is not None:
            self._replace(attrs.evolve(upstream, failed_at_s=now_s))

    def expire(self, now_s: float) -> None:
        """Mark live upstreams that have become unresponsive as suspect."""
        for upstream in self.upstreams:
            if upstream.state is MemberState.LIVE and upstream.is_unresponsive(now_s):
                self._replace(
                    attrs.evolve(
                        upstream,
                        state=next_state(upstream.state, MemberSignal.UNRESPONSIVE),
                    )
                )

    def usable(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams that may get new work."""
        return tuple(
            upstream
            for upstream in self.upstreams
            if upstream.state is MemberState.LIVE
            and upstream.accepting
            and not upstream.is_unresponsive(now_s)
        )

    def heartbeats_due(self, revision: int, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams that should be sent a heartbeat now.

        ``revision`` is the active configuration revision of this entry; an
        upstream that has an older one gets a heartbeat even if responses to
        attempts would replace it.
        """
        return tuple(
            upstream
            for upstream in self._upstreams.values()
            if self._is_due(upstream, revision, now_s)
        )

    def _is_due(self, upstream: Upstream, revision: int, now_s: float) -> bool:
        jitter_share = (
            _MAX_JITTER_SHARE
            * rendezvous_hash(self._vm_id, upstream.vm_id)
            / _HASH_RANGE
        )
        interval_s = upstream.heartbeat_after_s * (1 - jitter_share)
        if now_s - max(upstream.heartbeat_at_s, upstream.failed_at_s) < interval_s:
            return False
        return (
            now_s - upstream.heard_at_s >= interval_s
            or upstream.revision < revision
            or now_s - upstream.heartbeat_at_s >= max(MAX_HEARTBEAT_GAP_S, interval_s)
        )


def _routing_fields(upstream: Upstream) -> tuple[object, ...]:
    """Return the fields that decide which requests the upstream can serve."""
    return (
        upstream.state,
        upstream.accepting,
        upstream.versions,
        upstream.services,
    )
