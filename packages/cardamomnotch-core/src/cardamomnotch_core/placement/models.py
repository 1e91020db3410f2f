"""Classes of placement."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class Engine:
    """An engine as the planner sees it; ``loaded`` is what it reports."""

    vm_id: str
    zone: str
    loaded: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class Placement:
    """The versions that each engine is to load, by VM id.

    ``fencing`` numbers the planner's lease; a lower number is obsolete.
    """

    fencing: int = 0
    versions: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
