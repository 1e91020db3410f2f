"""Size limits on batches of journal records."""

from collections.abc import Iterable

from cardamomnotch_protocol.models import JournalProposal, JournalRecord

from .const import MAX_APPEND_BYTES, RECORD_OVERHEAD_BYTES


def record_size_bytes(record: JournalRecord) -> int:
    """Return the estimated size of ``record`` in a message, in bytes."""
    return RECORD_OVERHEAD_BYTES + len(record.answer)


def first_batch(proposals: Iterable[JournalProposal]) -> tuple[JournalProposal, ...]:
    """Return the first proposals that fit into one message.

    The first proposal is included whatever its size.
    """
    batch: list[JournalProposal] = []
    batch_bytes = 0
    for proposal in proposals:
        batch_bytes += record_size_bytes(proposal.record)
        if batch and batch_bytes > MAX_APPEND_BYTES:
            break
        batch.append(proposal)
    return tuple(batch)
