"""The placement document in the store."""

import attrs
import orjson

from cardamomnotch_core.placement.models import Placement
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_platform.store.models import StoreEntry
from cardamomnotch_protocol.schema import strict_converter, structure

PLACEMENT_KEY = "cardamomnotch/placement"
_CONVERTER = strict_converter(forbid_extra_keys=False)


@attrs.frozen(kw_only=True)
class StoredPlacement:
    """The placement, with the store's revision of its key."""

    placement: Placement
    mod_revision: int


def _from_entry(entry: StoreEntry) -> StoredPlacement:
    placement = Placement()
    if entry.value:
        placement = structure(_CONVERTER, orjson.loads(entry.value), Placement)
    return StoredPlacement(placement=placement, mod_revision=entry.mod_revision)


async def async_read_placement(store: KeyValueStore) -> StoredPlacement:
    """Return the placement in the store; empty if there is none."""
    return _from_entry(await store.async_get(PLACEMENT_KEY))


async def async_write_placement(
    store: KeyValueStore, placement: Placement, mod_revision: int
) -> StoredPlacement:
    """Write ``placement`` if the key is still at ``mod_revision``.

    Returns what the store holds after that, by this planner or another.
    """
    value = orjson.dumps(_CONVERTER.unstructure(placement))
    result = await store.async_put_if(PLACEMENT_KEY, value, mod_revision)
    if result.succeeded:
        return StoredPlacement(placement=placement, mod_revision=result.revision)
    return _from_entry(result.current)
