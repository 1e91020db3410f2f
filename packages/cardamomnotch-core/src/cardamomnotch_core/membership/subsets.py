"""Choice of the upstreams that an entry uses."""

import math
from collections.abc import Collection, Iterable, Mapping

from .const import (
    ENTRIES_PER_UPSTREAM,
    ROLE_ENTRY,
    ROLE_UPSTREAM,
    UPSTREAMS_PER_VERSION,
)
from .models import Vm
from .rendezvous import choose_across_zones, rendezvous_hash

# Label of the upstreams for which the VM list does not say what they serve.
UNLABELLED = ""


class SubsetChooser:
    """Chooses the upstreams of one entry out of the VM list.

    For each label in the VM list the entry chooses a number of upstreams, so
    that it can serve every version. In addition each upstream chooses
    ENTRIES_PER_UPSTREAM entries by rendezvous hashing, which use it as well,
    so that no upstream is left unused.
    """

    def __init__(self, vm_id: str, zone: str = "") -> None:
        self._vm_id = vm_id
        self._zone = zone
        # The availability zones of all entries.
        self._zones: tuple[str, ...] = ()
        # The VM ids of the entries in the zone of this entry.
        self._same_zone_entries: tuple[str, ...] = ()
        # Whether an upstream chooses this entry, by VM id of the upstream.
        # Cleared when _zones or _same_zone_entries change.
        self._chosen_by: dict[str, bool] = {}

    def choose(
        self, vms: Collection[Vm], names: Collection[str] = ()
    ) -> tuple[Vm, ...]:
        """Return the upstreams to use, by VM id.

        ``names`` are the configured versions and services. A label gets
        UPSTREAMS_PER_VERSION upstreams for each name that it may stand for.
        """
        self._update_entries(vm for vm in vms if vm.role == ROLE_ENTRY)
        upstreams = [vm for vm in vms if vm.role == ROLE_UPSTREAM]
        chosen: dict[str, Vm] = {}
        for label, members in _group_by_label(upstreams).items():
            count = UPSTREAMS_PER_VERSION * _count_names(label, names)
            for vm in choose_across_zones(f"{self._vm_id}/{label}", members, count):
                chosen[vm.vm_id] = vm
        for vm in upstreams:
            if vm.vm_id not in chosen and self._is_chosen_by(vm):
                chosen[vm.vm_id] = vm
        self._drop_unlisted(upstreams)
        return tuple(chosen[vm_id] for vm_id in sorted(chosen))

    def _update_entries(self, entries: Iterable[Vm]) -> None:
        listed = tuple(entries)
        zones = tuple(sorted({vm.zone for vm in listed} | {self._zone}))
        same_zone = tuple(sorted(vm.vm_id for vm in listed if vm.zone == self._zone))
        if (zones, same_zone) != (self._zones, self._same_zone_entries):
            self._zones, self._same_zone_entries = zones, same_zone
            self._chosen_by.clear()

    def _is_chosen_by(self, upstream: Vm) -> bool:
        is_chosen = self._chosen_by.get(upstream.vm_id)
        if is_chosen is None:
            is_chosen = self._compute_is_chosen_by(upstream)
            self._chosen_by[upstream.vm_id] = is_chosen
        return is_chosen

    def _compute_is_chosen_by(self, upstream: Vm) -> bool:
        """Return whether ``upstream`` chooses this entry.

        The upstream chooses zones first, so that only the entries in the zone
        of this entry have to be compared.
        """
        zones_by_weight = sorted(
            self._zones, key=lambda zone: rendezvous_hash(upstream.vm_id, zone)
        )
        if self._zone not in zones_by_weight[:ENTRIES_PER_UPSTREAM]:
            return False
        per_zone = math.ceil(ENTRIES_PER_UPSTREAM / len(self._zones))
        own_weight = rendezvous_hash(upstream.vm_id, self._vm_id)
        preferred_count = 0
        for vm_id in self._same_zone_entries:
            preferred_count += (
                vm_id != self._vm_id
                and rendezvous_hash(upstream.vm_id, vm_id) > own_weight
            )
            if preferred_count >= per_zone:
                return False
        return True

    def _drop_unlisted(self, upstreams: Iterable[Vm]) -> None:
        listed_ids = {vm.vm_id for vm in upstreams}
        for vm_id in tuple(self._chosen_by):
            if vm_id not in listed_ids:
                del self._chosen_by[vm_id]


def _group_by_label(upstreams: Iterable[Vm]) -> Mapping[str, list[Vm]]:
    groups: dict[str, list[Vm]] = {}
    for vm in upstreams:
        for label in vm.serves or (UNLABELLED,):
            groups.setdefault(label, []).append(vm)
    return groups


def _count_names(label: str, names: Collection[str]) -> int:
    """Return how many of ``names`` the label may stand for, at least 1.

    A label is a name itself or the model of a version; upstreams without a
    label may serve any name.
    """
    prefix = f"{label}/"
    count = sum(
        label in (UNLABELLED, name) or name.startswith(prefix) for name in names
    )
    return max(1, count)
