"""Planning of the versions to load on each engine."""

from collections import Counter
from collections.abc import Collection, Mapping

import attrs

from ..configuration.models import Configuration
from .models import Engine


@attrs.define
class _PlacementDraft:
    """A placement being planned; ``engines`` and ``assigned`` are by VM id."""

    engines: Mapping[str, Engine]
    assigned: dict[str, set[str]]
    slots_per_engine: int
    # Wanted replicas by version.
    wanted_replicas: Mapping[str, int]
    versions_out_of_service: Collection[str]
    # Number of engines that are assigned a version and have loaded it.
    loaded_counts: Counter[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.loaded_counts = Counter(
            version
            for vm_id, versions in self.assigned.items()
            for version in versions & self.engines[vm_id].loaded
        )

    def assigned_engines(self, version: str) -> list[str]:
        """Return the VM ids of the engines that are assigned ``version``."""
        return [
            vm_id for vm_id, versions in self.assigned.items() if version in versions
        ]

    def assign(self, vm_id: str, dropped: str | None, version: str) -> None:
        """Assign ``version`` to the engine, replacing ``dropped`` if given."""
        loaded = self.engines[vm_id].loaded
        self.assigned[vm_id] -= {dropped}
        self.assigned[vm_id].add(version)
        self.loaded_counts[version] += version in loaded
        if dropped is not None:
            self.loaded_counts[dropped] -= dropped in loaded

    def loads_pending(self) -> int:
        """Return how many assigned versions are not yet reported as loaded."""
        return sum(
            len(versions - self.engines[vm_id].loaded)
            for vm_id, versions in self.assigned.items()
        )


def wanted_replicas(configuration: Configuration) -> dict[str, int]:
    """Return the number of replicas wanted of each version in service."""
    versions_out = configuration.marks.versions_out
    return {
        f"{model.name}/{version.name}": version.replicas
        for model in configuration.models
        for version in model.versions
        if version.replicas and f"{model.name}/{version.name}" not in versions_out
    }


def plan_versions(
    configuration: Configuration,
    engines: Collection[Engine],
    current: Mapping[str, Collection[str]],
) -> dict[str, tuple[str, ...]]:
    """Return the versions to load on each of the usable ``engines``, by VM id.

    ``current`` is the present placement; an engine without one starts with the
    versions that it has loaded. Only missing replicas are added. A version is
    dropped from an engine only to free a slot, and never while that would
    leave it with fewer loaded replicas than wanted, or a version in service
    without any. At most ``concurrent_loads`` loads are pending at once, which
    bounds the load on the weight store.
    """
    draft = _PlacementDraft(
        engines={engine.vm_id: engine for engine in engines},
        assigned={
            engine.vm_id: set(current.get(engine.vm_id, engine.loaded))
            for engine in engines
        },
        slots_per_engine=configuration.placement.versions_per_engine,
        wanted_replicas=wanted_replicas(configuration),
        versions_out_of_service=configuration.marks.versions_out,
    )
    loads_left = configuration.placement.concurrent_loads - draft.loads_pending()
    # Versions with the fewest replicas come first.
    for version in sorted(
        draft.wanted_replicas,
        key=lambda name: (len(draft.assigned_engines(name)), name),
    ):
        missing = draft.wanted_replicas[version] - len(draft.assigned_engines(version))
        for _ in range(min(missing, loads_left)):
            if not _place(draft, version):
                break
            loads_left -= 1
    return {
        vm_id: tuple(sorted(versions)) for vm_id, versions in draft.assigned.items()
    }


def _place(draft: _PlacementDraft, version: str) -> bool:
    """Assign one more replica, and return whether an engine could take it.

    Prefers the zone with the fewest replicas, then a free slot, then the
    engine with the fewest versions.
    """
    replicas_in_zone = Counter(
        draft.engines[vm_id].zone for vm_id in draft.assigned_engines(version)
    )
    options = [
        (
            replicas_in_zone[engine.zone],
            dropped is not None,
            len(draft.assigned[vm_id]),
            vm_id,
            dropped,
        )
        for vm_id, engine in draft.engines.items()
        if version not in draft.assigned[vm_id]
        for dropped in _drop_candidates(draft, vm_id)
    ]
    if not options:
        return False
    *_, vm_id, dropped = min(options, key=lambda option: option[:4])
    draft.assign(vm_id, dropped, version)
    return True


def _drop_candidates(draft: _PlacementDraft, vm_id: str) -> list[str | None]:
    """Return the ways to get a free slot on the engine.

    The result is ``[None]`` if a slot is free, else a list of the one version
    to drop, which is empty if no version can be dropped.
    """
    assigned = draft.assigned[vm_id]
    if len(assigned) < draft.slots_per_engine:
        return [None]
    droppable = [
        version
        for version in sorted(assigned)
        if _can_be_dropped(draft, version, vm_id)
    ]
    return list(droppable[:1])


def _can_be_dropped(draft: _PlacementDraft, version: str, vm_id: str) -> bool:
    if version in draft.versions_out_of_service:
        return True
    is_loaded_here = version in draft.engines[vm_id].loaded
    loaded_elsewhere = draft.loaded_counts[version] - is_loaded_here
    return loaded_elsewhere >= max(1, draft.wanted_replicas.get(version, 0))
