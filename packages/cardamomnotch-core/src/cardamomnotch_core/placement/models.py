"""Data classes of placement."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class Engine:
    """An engine, with the versions that it reports as loaded."""

    vm_id: str
    zone: str
    loaded: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Placement:
    """The versions that each engine is to load, by VM id.

    ``fencing`` is the fencing token of the planner's lease: placements with a
    lower token are obsolete.
    """

    fencing: int = 0
    versions: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
