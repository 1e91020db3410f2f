"""Bounds on how many records travel together."""

from collections.abc import Iterable

from cardamomnotch_protocol.models import JournalProposal, JournalRecord

from .const import MAX_APPEND_BYTES, RECORD_OVERHEAD_BYTES


def size_bytes(record: JournalRecord) -> int:
    """Return about how many bytes ``record`` takes in a message."""
    return RECORD_OVERHEAD_BYTES + len(record.answer)


def first_batch(proposals: Iterable[JournalProposal]) -> tuple[JournalProposal, ...]:
    """Return the first proposals that fit into one message, at least one."""
    taken: list[JournalProposal] = []
    size = 0
    for proposal in proposals:
        size += size_bytes(proposal.record)
        if taken and size > MAX_APPEND_BYTES:
            break
        taken.append(proposal)
    return tuple(taken)
