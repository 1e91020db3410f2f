"""Turns the operators' wishes into a placement, a few loads at a time."""

from collections import Counter
from collections.abc import Collection, Mapping

import attrs

from ..configuration.models import Configuration
from .models import Engine


@attrs.define
class _Draft:
    """The placement being made, by VM id."""

    engines: Mapping[str, Engine]
    versions: dict[str, set[str]]
    slots: int
    wanted: Mapping[str, int]
    out: Collection[str]
    # Engines that are to hold a version and have loaded it, by version.
    loaded_counts: Counter[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.loaded_counts = Counter(
            version
            for vm_id, held in self.versions.items()
            for version in held & self.engines[vm_id].loaded
        )

    def holders(self, version: str) -> list[str]:
        """Return the engines that are to hold ``version``."""
        return [vm_id for vm_id, held in self.versions.items() if version in held]

    def replace(self, vm_id: str, former: str | None, version: str) -> None:
        """Have the engine hold ``version``, and no longer ``former``."""
        loaded = self.engines[vm_id].loaded
        self.versions[vm_id] -= {former}
        self.versions[vm_id].add(version)
        self.loaded_counts[version] += version in loaded
        if former is not None:
            self.loaded_counts[former] -= former in loaded

    def loads_pending(self) -> int:
        """Return how many loads are asked for and not read back."""
        return sum(
            len(held - self.engines[vm_id].loaded)
            for vm_id, held in self.versions.items()
        )


def wanted_replicas(configuration: Configuration) -> dict[str, int]:
    """Return the wanted replicas of each version in service."""
    out = configuration.marks.versions_out
    return {
        f"{model.name}/{version.name}": version.replicas
        for model in configuration.models
        for version in model.versions
        if version.replicas and f"{model.name}/{version.name}" not in out
    }


def plan_versions(
    configuration: Configuration,
    engines: Collection[Engine],
    current: Mapping[str, Collection[str]],
) -> dict[str, tuple[str, ...]]:
    """Return the versions for each of the usable ``engines``.

    Starts from what is placed or loaded and changes only what is missing. A
    version is dropped from an engine only to make room, and never while that
    would leave it with fewer loaded replicas than wanted, or a version in
    service without any. At most ``concurrent_loads`` loads are open at once,
    which bounds the rate at the weight store.
    """
    draft = _Draft(
        engines={engine.vm_id: engine for engine in engines},
        versions={
            engine.vm_id: set(current.get(engine.vm_id, engine.loaded))
            for engine in engines
        },
        slots=configuration.placement.versions_per_engine,
        wanted=wanted_replicas(configuration),
        out=configuration.marks.versions_out,
    )
    budget = configuration.placement.concurrent_loads - draft.loads_pending()
    # What has least of its replicas comes first.
    for version in sorted(
        draft.wanted, key=lambda name: (len(draft.holders(name)), name)
    ):
        missing = draft.wanted[version] - len(draft.holders(version))
        for _ in range(min(missing, budget)):
            if not _place(draft, version):
                break
            budget -= 1
    return {vm_id: tuple(sorted(held)) for vm_id, held in draft.versions.items()}


def _place(draft: _Draft, version: str) -> bool:
    """Add one replica where it spreads best, and return whether it fits."""
    zones = Counter(draft.engines[vm_id].zone for vm_id in draft.holders(version))
    options = [
        (zones[engine.zone], drop is not None, len(draft.versions[vm_id]), vm_id, drop)
        for vm_id, engine in draft.engines.items()
        if version not in draft.versions[vm_id]
        for drop in _room(draft, vm_id)
    ]
    if not options:
        return False
    *_, vm_id, drop = min(options, key=lambda option: option[:4])
    draft.replace(vm_id, drop, version)
    return True


def _room(draft: _Draft, vm_id: str) -> list[str | None]:
    """Return the version to drop for a free slot: None if one is free."""
    held = draft.versions[vm_id]
    if len(held) < draft.slots:
        return [None]
    spare = [one for one in sorted(held) if _is_spare(draft, one, vm_id)]
    return list(spare[:1])


def _is_spare(draft: _Draft, version: str, vm_id: str) -> bool:
    if version in draft.out:
        return True
    is_loaded_here = version in draft.engines[vm_id].loaded
    loaded_elsewhere = draft.loaded_counts[version] - is_loaded_here
    return loaded_elsewhere >= max(1, draft.wanted.get(version, 0))
