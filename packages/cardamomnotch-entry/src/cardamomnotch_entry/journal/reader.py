"""Reads the journal from the store."""

import attrs

from cardamomnotch_core.journal.codec import (
    decode_append,
    decode_head,
    decode_records,
)
from cardamomnotch_core.journal.keys import all_partitions, partition_of, record_key
from cardamomnotch_core.journal.models import (
    Checkpoint,
    LogAppend,
    PartitionId,
    PartitionKind,
    WorkspaceTotal,
)
from cardamomnotch_core.journal.state import PartitionState
from cardamomnotch_platform.store.journal import JournalStore
from cardamomnotch_protocol.models import JournalRecord

from .exceptions import JournalUnavailableError

# A checkpoint written during the read deletes log entries that are being read.
_MAX_TRIES = 5


@attrs.frozen(kw_only=True)
class StoredPartition:
    """A partition's checkpoint and log, as stored."""

    checkpoint: Checkpoint
    appends: tuple[LogAppend, ...]
    head_revision: int


async def async_read_partition(
    store: JournalStore, partition: PartitionId
) -> StoredPartition:
    """Return the checkpoint and log of ``partition``.

    Raises JournalUnavailableError if no consistent copy could be read, or
    StoreError.
    """
    for _ in range(_MAX_TRIES):
        stored = await _async_read_once(store, partition)
        if stored is not None:
            return stored
    raise JournalUnavailableError(
        f"partition {partition.name} kept changing while it was read"
    )


async def _async_read_once(
    store: JournalStore, partition: PartitionId
) -> StoredPartition | None:
    head = await store.async_read_head(partition.name)
    checkpoint = Checkpoint()
    if head.value:
        checkpoint, count = decode_head(head.value)
        chunks = await store.async_read_chunks(
            partition.name, checkpoint.sequence, count
        )
        if len(chunks) != count:
            return None
        records = tuple(item for chunk in chunks for item in decode_records(chunk))
        checkpoint = attrs.evolve(checkpoint, records=records)
    appends: list[LogAppend] = []
    log_entries = store.async_read_log(partition.name, checkpoint.sequence)
    async for sequence, value in log_entries:
        if sequence != checkpoint.sequence + len(appends) + 1:
            return None
        appends.append(decode_append(value))
    return StoredPartition(
        checkpoint=checkpoint,
        appends=tuple(appends),
        head_revision=head.mod_revision,
    )


async def _async_read_state(
    store: JournalStore, partition: PartitionId
) -> PartitionState:
    stored = await async_read_partition(store, partition)
    state = PartitionState(partition.kind, stored.checkpoint)
    for append in stored.appends:
        for record in append.records:
            state.apply(record)
    return state


async def async_read_totals(store: JournalStore) -> dict[str, WorkspaceTotal]:
    """Return the committed usage of each workspace."""
    totals: dict[str, WorkspaceTotal] = {}
    for partition in all_partitions():
        state = await _async_read_state(store, partition)
        for workspace, total in state.totals.items():
            previous = totals.get(workspace, WorkspaceTotal())
            totals[workspace] = previous.plus(total)
    return totals


async def async_read_outcome(
    store: JournalStore, workspace: str, idempotency_key: str
) -> JournalRecord | None:
    """Return the record of a non-idempotent request; None if there is none."""
    key = record_key(f"{workspace}:{idempotency_key}")
    state = await _async_read_state(store, partition_of(PartitionKind.CLAIMS, key))
    return state.get(key)
