"""Builders of the journal's tests."""

from cardamomnotch_core.journal.codec import decode_append
from cardamomnotch_core.journal.models import (
    Checkpoint,
    PartitionId,
    PartitionKind,
    RecordState,
)
from cardamomnotch_core.journal.partition import PartitionLog
from cardamomnotch_protocol.models import JournalProposal, JournalRecord, Usage

CLAIMS = PartitionId(PartitionKind.CLAIMS, 0)
# Far from zero, as a wall clock is.
NOW_S = 1_000_000.0
BILLS = PartitionId(PartitionKind.BILLS, 0)


def record(key: str, state: RecordState, attempt_id: str, **changes) -> JournalRecord:
    """Return a record of one workspace."""
    return JournalRecord(
        key=key,
        workspace="crates",
        state=state.value,
        attempt_id=attempt_id,
        **changes,
    )


def claim(key: str, attempt_id: str, replaces: str = "") -> JournalProposal:
    """Return a claim."""
    made = record(key, RecordState.CLAIMED, attempt_id)
    return JournalProposal(record=made, replaces=replaces)


def done(key: str, attempt_id: str, age_s: float = 0.0) -> JournalProposal:
    """Return an outcome that used three tokens."""
    usage = Usage(prompt_tokens=1, completion_tokens=2)
    made = record(key, RecordState.DONE, attempt_id, usage=usage, answer=key)
    return JournalProposal(record=made, age_s=age_s)


class LogStore:
    """The log of one partition, as the store keeps it."""

    def __init__(self) -> None:
        self.values: dict[int, bytes] = {}
        self._now_s = NOW_S

    def tick(self) -> float:
        """Return a time at which every append is due."""
        self._now_s += 1.0
        return self._now_s

    def put(self, sequence: int, value: bytes) -> bool:
        """Put where nothing stands; return whether ``value`` stands there."""
        return self.values.setdefault(sequence, value) == value

    def open(self, partition: PartitionId, owner_id: str) -> PartitionLog:
        """Return a log for a new owner, before its first append."""
        appends = [decode_append(self.values[at]) for at in sorted(self.values)]
        return PartitionLog(partition, owner_id, Checkpoint(), tuple(appends))

    def append(self, log: PartitionLog, now_s: float) -> list:
        """Append what is due, and return what settled."""
        pending = log.next_append(now_s)
        if pending is None:
            return []
        holds = self.put(pending.sequence, pending.value)
        return log.record_commit() if holds else log.record_ownership_loss()
