"""Classes of the store."""

import attrs


@attrs.frozen(kw_only=True)
class StoreEntry:
    """A key with its value and revisions; ``mod_revision`` 0 means absent.

    ``is_deleted`` is set in a change that deletes the key.
    """

    key: str
    value: bytes = b""
    mod_revision: int = 0
    lease_id: int = 0
    is_deleted: bool = False


@attrs.frozen(kw_only=True)
class StoreView:
    """Entries or changes, and the revision that they reach up to."""

    entries: tuple[StoreEntry, ...]
    revision: int


@attrs.frozen(kw_only=True)
class WriteResult:
    """What a compare-and-swap did.

    ``revision`` is the store's revision; ``current`` the entry that won, if
    the write was refused.
    """

    succeeded: bool
    revision: int
    current: StoreEntry | None = None


@attrs.frozen(kw_only=True)
class Lease:
    """A lease and the seconds that the store granted."""

    lease_id: int
    ttl_s: float
