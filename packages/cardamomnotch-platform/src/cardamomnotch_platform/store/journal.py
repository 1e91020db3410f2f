"""Reads and writes the request journal in the store."""

from collections.abc import AsyncIterator

import attrs

from .client import StoreClient
from .models import StoreEntry

JOURNAL_PREFIX = "cardamomnotch/journal"
OWNER_PREFIX = "cardamomnotch/journal-owner"
_PAGE_SIZE_ENTRIES = 32


@attrs.frozen(kw_only=True)
class StoredOwner:
    """The stored owner of a partition; ``mod_revision`` 0 means no owner."""

    address: str = ""
    owner_id: str = ""
    mod_revision: int = 0


class JournalStore:
    """Reads and writes logs, checkpoints and owners of journal partitions.

    Every method raises StoreError if the call fails.
    """

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def async_read_owner(self, partition: str) -> StoredOwner:
        """Return the owner of the partition."""
        return _decode_owner(await self._store.async_get(_owner_key(partition)))

    async def async_take_ownership(
        self, partition: str, owner: StoredOwner, lease_id: int
    ) -> StoredOwner:
        """Write ``owner`` if its revision is current; return the owner."""
        result = await self._store.async_put_if(
            _owner_key(partition),
            f"{owner.address} {owner.owner_id}".encode(),
            owner.mod_revision,
            lease_id=lease_id,
        )
        if result.succeeded:
            return attrs.evolve(owner, mod_revision=result.revision)
        return _decode_owner(result.current)

    async def async_append(self, partition: str, sequence: int, value: bytes) -> bool:
        """Append ``value``; return whether it is the value at ``sequence``.

        An append whose reply was lost can be repeated: it also returns True.
        """
        key = _log_key(partition, sequence)
        result = await self._store.async_put_if(key, value, 0)
        return result.succeeded or result.current.value == value

    async def async_read_log(
        self, partition: str, after_sequence: int
    ) -> AsyncIterator[tuple[int, bytes]]:
        """Yield sequence and value of each record after ``after_sequence``."""
        prefix = f"{JOURNAL_PREFIX}/{partition}/log/"
        start = _log_key(partition, after_sequence + 1)
        while True:
            page = await self._store.async_list(
                prefix, start=start, limit=_PAGE_SIZE_ENTRIES
            )
            for entry in page:
                yield int(entry.key.removeprefix(prefix)), entry.value
            if len(page) < _PAGE_SIZE_ENTRIES:
                return
            start = page[-1].key + "\0"

    async def async_read_head(self, partition: str) -> StoreEntry:
        """Return the store entry with the head of the last checkpoint."""
        return await self._store.async_get(_head_key(partition))

    async def async_read_chunks(
        self, partition: str, sequence: int, count: int
    ) -> list[bytes]:
        """Return the existing chunks of the checkpoint at ``sequence``."""
        prefix = _chunk_prefix(partition, sequence)
        entries = [
            await self._store.async_get(f"{prefix}{number:04d}")
            for number in range(count)
        ]
        return [entry.value for entry in entries if entry.mod_revision]

    async def async_write_checkpoint(
        self,
        partition: str,
        sequence: int,
        head: bytes,
        chunks: list[bytes],
        mod_revision: int,
    ) -> int:
        """Write a checkpoint if its head is still at ``mod_revision``.

        Returns the revision of the new head; 0 if another process has written
        a head first.
        """
        prefix = _chunk_prefix(partition, sequence)
        for number, chunk in enumerate(chunks):
            await self._store.async_put_if(f"{prefix}{number:04d}", chunk, 0)
        result = await self._store.async_put_if(
            _head_key(partition), head, mod_revision
        )
        if result.succeeded:
            return result.revision
        return result.current.mod_revision if result.current.value == head else 0

    async def async_delete_before(self, partition: str, sequence: int) -> None:
        """Delete the log up to ``sequence`` and the checkpoints before it."""
        partition_prefix = f"{JOURNAL_PREFIX}/{partition}"
        end = _log_key(partition, sequence + 1)
        await self._store.async_delete_prefix(f"{partition_prefix}/log/", end)
        await self._store.async_delete_prefix(
            f"{partition_prefix}/chunks/", _chunk_prefix(partition, sequence)
        )


def _owner_key(partition: str) -> str:
    return f"{OWNER_PREFIX}/{partition}"


def _log_key(partition: str, sequence: int) -> str:
    return f"{JOURNAL_PREFIX}/{partition}/log/{sequence:012d}"


def _head_key(partition: str) -> str:
    return f"{JOURNAL_PREFIX}/{partition}/head"


def _chunk_prefix(partition: str, sequence: int) -> str:
    return f"{JOURNAL_PREFIX}/{partition}/chunks/{sequence:012d}/"


def _decode_owner(entry: StoreEntry) -> StoredOwner:
    address, _, owner_id = entry.value.decode().partition(" ")
    return StoredOwner(
        address=address, owner_id=owner_id, mod_revision=entry.mod_revision
    )
