"""Upstreams by what they serve."""

from collections import defaultdict
from collections.abc import Mapping

from ..configuration.models import ConfigurationRecord
from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from .models import Pool

_EMPTY = Pool()


class UpstreamIndex:
    """Pools by version or service, rebuilt only when membership changes.

    Loads change with every answer and are left to the table.
    """

    def __init__(self, zone: str, table: UpstreamTable) -> None:
        self._zone = zone
        self._table = table
        self._built_for: tuple[int, int] | None = None
        self._pools: Mapping[str, Pool] = {}

    def pool(self, record: ConfigurationRecord, name: str) -> Pool:
        """Return the pool of a "model/version" or of a plain service."""
        wanted = (self._table.generation, record.revision)
        if wanted != self._built_for:
            self._pools = self._build(record)
            self._built_for = wanted
        return self._pools.get(name, _EMPTY)

    def _build(self, record: ConfigurationRecord) -> dict[str, Pool]:
        marks = record.configuration.marks
        zones_out, vms_out = frozenset(marks.zones_out), frozenset(marks.vms_out)
        near: defaultdict[str, list[str]] = defaultdict(list)
        far: defaultdict[str, list[str]] = defaultdict(list)
        for upstream in self._table.upstreams:
            if not _may_take_work(upstream, zones_out, vms_out):
                continue
            side = near if upstream.zone == self._zone else far
            for name in (*upstream.versions, *upstream.services):
                side[name].append(upstream.vm_id)
        return {
            name: Pool(tuple(near.get(name, ())), tuple(far.get(name, ())))
            for name in near.keys() | far.keys()
        }


def _may_take_work(
    upstream: Upstream, zones_out: frozenset[str], vms_out: frozenset[str]
) -> bool:
    return (
        upstream.accepting
        and not upstream.leaving
        and upstream.zone not in zones_out
        and upstream.vm_id not in vms_out
    )
