"""Records, proposals and a log store for tests of the journal."""

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
# Far from zero, like the wall clock.
NOW_S = 1_000_000.0
BILLS = PartitionId(PartitionKind.BILLS, 0)


def record(key: str, state: RecordState, attempt_id: str, **changes) -> JournalRecord:
    """Return a record of the test workspace."""
    return JournalRecord(
        key=key,
        workspace="crates",
        state=state.value,
        attempt_id=attempt_id,
        **changes,
    )


def claim(key: str, attempt_id: str, replaces: str = "") -> JournalProposal:
    """Return a proposal of a claim."""
    new_record = record(key, RecordState.CLAIMED, attempt_id)
    return JournalProposal(record=new_record, replaces=replaces)


def done(key: str, attempt_id: str, age_s: float = 0.0) -> JournalProposal:
    """Return a proposal of an outcome with a usage of three tokens."""
    usage = Usage(prompt_tokens=1, completion_tokens=2)
    new_record = record(key, RecordState.DONE, attempt_id, usage=usage, answer=key)
    return JournalProposal(record=new_record, age_s=age_s)


class LogStore:
    """In-memory store of the log of one partition."""

    def __init__(self) -> None:
        self.values: dict[int, bytes] = {}
        self._now_s = NOW_S

    def advance(self) -> float:
        """Advance the clock to a time at which every append is due."""
        self._now_s += 1.0
        return self._now_s

    def put(self, sequence: int, value: bytes) -> bool:
        """Put ``value`` if ``sequence`` is absent; return if it is stored."""
        return self.values.setdefault(sequence, value) == value

    def open(self, partition: PartitionId, owner_id: str) -> PartitionLog:
        """Return the log as read by a new owner, before its first append."""
        appends = [
            decode_append(self.values[sequence]) for sequence in sorted(self.values)
        ]
        return PartitionLog(partition, owner_id, Checkpoint(), tuple(appends))

    def append(self, log: PartitionLog, now_s: float) -> list:
        """Append the records that are due; return the resolved proposals."""
        pending = log.next_append(now_s)
        if pending is None:
            return []
        stored = self.put(pending.sequence, pending.value)
        return log.record_commit() if stored else log.record_ownership_loss()
