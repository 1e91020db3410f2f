"""Index of upstreams by the versions and services that they serve."""

from collections import defaultdict
from collections.abc import Mapping

from ..configuration.models import ConfigurationRecord
from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from .models import UpstreamPool

_EMPTY_POOL = UpstreamPool()


class UpstreamIndex:
    """Pools of upstreams by version or service.

    The index is rebuilt only when the upstream table or the configuration
    revision changes. Loads change with every answer, so they are not part of
    the index and are read from the table.
    """

    def __init__(self, zone: str, table: UpstreamTable) -> None:
        self._zone = zone
        self._table = table
        self._built_from: tuple[int, int] | None = None
        self._pools: Mapping[str, UpstreamPool] = {}

    def pool(self, record: ConfigurationRecord, name: str) -> UpstreamPool:
        """Return the pool for ``name``: a "model/version" or a service."""
        current_state = (self._table.generation, record.revision)
        if current_state != self._built_from:
            self._pools = self._build(record)
            self._built_from = current_state
        return self._pools.get(name, _EMPTY_POOL)

    def _build(self, record: ConfigurationRecord) -> dict[str, UpstreamPool]:
        marks = record.configuration.marks
        zones_out, vms_out = frozenset(marks.zones_out), frozenset(marks.vms_out)
        same_zone: defaultdict[str, list[str]] = defaultdict(list)
        other_zones: defaultdict[str, list[str]] = defaultdict(list)
        for upstream in self._table.upstreams:
            if not _is_available(upstream, zones_out, vms_out):
                continue
            vm_ids_by_name = same_zone if upstream.zone == self._zone else other_zones
            for name in (*upstream.versions, *upstream.services):
                vm_ids_by_name[name].append(upstream.vm_id)
        return {
            name: UpstreamPool(
                tuple(same_zone.get(name, ())), tuple(other_zones.get(name, ()))
            )
            for name in same_zone.keys() | other_zones.keys()
        }


def _is_available(
    upstream: Upstream, zones_out: frozenset[str], vms_out: frozenset[str]
) -> bool:
    return (
        upstream.accepting
        and not upstream.leaving
        and upstream.zone not in zones_out
        and upstream.vm_id not in vms_out
    )
