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
    """The placement and the store's modification revision of its key."""

    placement: Placement
    mod_revision: int


def _stored_placement(entry: StoreEntry) -> StoredPlacement:
    placement = Placement()
    if entry.value:
        placement = structure(_CONVERTER, orjson.loads(entry.value), Placement)
    return StoredPlacement(placement=placement, mod_revision=entry.mod_revision)


async def async_read_placement(store: KeyValueStore) -> StoredPlacement:
    """Return the placement in the store; an empty one if there is none."""
    return _stored_placement(await store.async_get(PLACEMENT_KEY))


async def async_write_placement(
    store: KeyValueStore, placement: Placement, mod_revision: int
) -> StoredPlacement:
    """Write ``placement`` if the key is still at ``mod_revision``.

    Returns the placement that is then in the store, which is another planner's
    if the key was at a different revision.
    """
    value = orjson.dumps(_CONVERTER.unstructure(placement))
    result = await store.async_put_if(PLACEMENT_KEY, value, mod_revision)
    if result.succeeded:
        return StoredPlacement(placement=placement, mod_revision=result.revision)
    return _stored_placement(result.current)
