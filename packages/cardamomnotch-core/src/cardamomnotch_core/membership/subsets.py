"""Which of the listed upstreams an entry uses."""

import math
from collections.abc import Collection, Iterable, Mapping

from .const import (
    ENTRIES_PER_UPSTREAM,
    ROLE_ENTRY,
    ROLE_UPSTREAM,
    UPSTREAMS_PER_VERSION,
)
from .models import Vm
from .rendezvous import choose_spread, rank

# The group of upstreams for which the VM list does not say what they serve.
UNLABELLED = ""


class SubsetChooser:
    """Chooses upstreams so that every version and every upstream is covered.

    The entry takes a number of upstreams for each label of the VM list, and
    besides every upstream that has this entry among its own few.
    """

    def __init__(self, vm_id: str, zone: str = "") -> None:
        self._vm_id = vm_id
        self._zone = zone
        self._zones: tuple[str, ...] = ()
        # The entries of the own zone.
        self._neighbours: tuple[str, ...] = ()
        # Results by upstream id, valid for the two above.
        self._covering: dict[str, bool] = {}

    def choose(
        self, vms: Collection[Vm], names: Collection[str] = ()
    ) -> tuple[Vm, ...]:
        """Return the upstreams to use; ``names`` are versions and services."""
        self._take_entries(vm for vm in vms if vm.role == ROLE_ENTRY)
        upstreams = [vm for vm in vms if vm.role == ROLE_UPSTREAM]
        chosen: dict[str, Vm] = {}
        for label, members in _by_label(upstreams).items():
            count = UPSTREAMS_PER_VERSION * _names_served(label, names)
            for vm in choose_spread(f"{self._vm_id}/{label}", members, count):
                chosen[vm.vm_id] = vm
        for vm in upstreams:
            if vm.vm_id not in chosen and self._covers(vm):
                chosen[vm.vm_id] = vm
        self._forget_gone(upstreams)
        return tuple(chosen[vm_id] for vm_id in sorted(chosen))

    def _take_entries(self, entries: Iterable[Vm]) -> None:
        found = tuple(entries)
        zones = tuple(sorted({vm.zone for vm in found} | {self._zone}))
        neighbours = tuple(sorted(vm.vm_id for vm in found if vm.zone == self._zone))
        if (zones, neighbours) != (self._zones, self._neighbours):
            self._zones, self._neighbours = zones, neighbours
            self._covering.clear()

    def _covers(self, upstream: Vm) -> bool:
        known = self._covering.get(upstream.vm_id)
        if known is None:
            known = self._find_covers(upstream)
            self._covering[upstream.vm_id] = known
        return known

    def _find_covers(self, upstream: Vm) -> bool:
        """Return whether this entry is among the few of ``upstream``.

        Zones are ranked first, so that only the own zone's entries have to
        be ranked.
        """
        nearest = sorted(self._zones, key=lambda zone: rank(upstream.vm_id, zone))
        if self._zone not in nearest[:ENTRIES_PER_UPSTREAM]:
            return False
        per_zone = math.ceil(ENTRIES_PER_UPSTREAM / len(self._zones))
        own = rank(upstream.vm_id, self._vm_id)
        ahead = 0
        for vm_id in self._neighbours:
            ahead += vm_id != self._vm_id and rank(upstream.vm_id, vm_id) > own
            if ahead >= per_zone:
                return False
        return True

    def _forget_gone(self, upstreams: Iterable[Vm]) -> None:
        listed = {vm.vm_id for vm in upstreams}
        for vm_id in tuple(self._covering):
            if vm_id not in listed:
                del self._covering[vm_id]


def _by_label(upstreams: Iterable[Vm]) -> Mapping[str, list[Vm]]:
    groups: dict[str, list[Vm]] = {}
    for vm in upstreams:
        for label in vm.serves or (UNLABELLED,):
            groups.setdefault(label, []).append(vm)
    return groups


def _names_served(label: str, names: Collection[str]) -> int:
    """Return how many names a group may have to be shared among."""
    prefix = f"{label}/"
    found = sum(
        label in (UNLABELLED, name) or name.startswith(prefix) for name in names
    )
    return max(1, found)
