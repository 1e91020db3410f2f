"""Data types of the key-value store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

import attrs

from cardamomnotch_protocol.store_position import StorePosition

# Revisions by key that a write requires beside that of its own key.
NO_CONDITIONS: Final[Mapping[str, int]] = MappingProxyType({})


@attrs.frozen(kw_only=True)
class StoreEntry:
    """A key with its value and the revision of its last write.

    A ``mod_revision`` of 0 means that the key is absent. ``is_deleted`` is
    set in a change that deletes the key. ``era`` is that of the reply.
    """

    key: str
    value: bytes = b""
    mod_revision: int = 0
    lease_id: int = 0
    is_deleted: bool = False
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Return the position of the last write."""
        return StorePosition(self.era, self.mod_revision)


@attrs.frozen(kw_only=True)
class StoreView:
    """Entries or changes, complete up to the store's ``position``."""

    entries: tuple[StoreEntry, ...]
    position: StorePosition


@attrs.frozen(kw_only=True)
class StorePage:
    """Entries of a listing in the order of their keys, as of ``position``."""

    entries: tuple[StoreEntry, ...]
    position: StorePosition
    # Whether the listing goes on after the last entry's key.
    has_more: bool = False


@attrs.frozen(kw_only=True)
class WriteResult:
    """Result of a compare-and-swap.

    ``revision`` is the store's revision, which a successful write gives to
    its key. If the write was rejected, ``current`` is the entry in the store.
    """

    succeeded: bool
    revision: int
    current: StoreEntry | None = None


@attrs.frozen(kw_only=True)
class Lease:
    """A lease; ``ttl_s`` is the lifetime that the store granted.

    It exists in its ``era`` only: a later one may give its id to another lease.
    """

    lease_id: int
    ttl_s: float
    era: int = 0
