"""What a partition's log says, record by record."""

import attrs

from cardamomnotch_protocol.models import JournalRecord
from cardamomnotch_protocol.result_codes import ResultCode

from .const import BILL_RETENTION_S, CLAIM_RETENTION_S, CLOCK_MARGIN_S
from .models import Checkpoint, PartitionKind, RecordState, WorkspaceTotal

_RETENTION_S = {
    PartitionKind.BILLS: BILL_RETENTION_S,
    PartitionKind.CLAIMS: CLAIM_RETENTION_S,
}


class PartitionState:
    """Records by key, totals by workspace, and what was forgotten."""

    def __init__(
        self, kind: PartitionKind, checkpoint: Checkpoint | None = None
    ) -> None:
        checkpoint = checkpoint or Checkpoint()
        self._retention_s = _RETENTION_S[kind]
        # In order of recording, so that the oldest are first.
        self._records = {record.key: record for record in checkpoint.records}
        self._totals = dict(checkpoint.totals)
        self._forgotten_before_s = checkpoint.forgotten_before_s

    def __len__(self) -> int:
        return len(self._records)

    @property
    def totals(self) -> dict[str, WorkspaceTotal]:
        """Return what each workspace owes."""
        return dict(self._totals)

    @property
    def forgotten_before_s(self) -> float:
        """Return the latest time of recording that was forgotten."""
        return self._forgotten_before_s

    def get(self, key: str) -> JournalRecord | None:
        """Return the record of ``key``."""
        return self._records.get(key)

    def apply(self, record: JournalRecord) -> None:
        """Take a record of the log; an outcome is never replaced."""
        known = self._records.get(record.key)
        if known is not None and known.state == RecordState.DONE:
            return
        self._records.pop(record.key, None)
        self._records[record.key] = record
        if record.state == RecordState.DONE and record.code is ResultCode.OK:
            total = self._totals.get(record.workspace, WorkspaceTotal())
            self._totals[record.workspace] = total.plus(total_of(record))

    def expire(self, now_s: float) -> None:
        """Forget the records whose retention is over."""
        limit_s = now_s - self._retention_s
        for key, record in tuple(self._records.items()):
            if record.recorded_at_s > limit_s:
                return
            del self._records[key]
            self._forgotten_before_s = max(
                self._forgotten_before_s, record.recorded_at_s
            )

    def may_be_forgotten(self, known_since_s: float) -> bool:
        """Return whether an outcome known since then may have been forgotten."""
        return known_since_s <= self._forgotten_before_s + CLOCK_MARGIN_S

    def checkpoint(self, sequence: int) -> Checkpoint:
        """Return all of it, as the log up to ``sequence`` says."""
        return Checkpoint(
            sequence=sequence,
            records=tuple(self._records.values()),
            totals=dict(self._totals),
            forgotten_before_s=self._forgotten_before_s,
        )


def total_of(record: JournalRecord) -> WorkspaceTotal:
    """Return what one outcome adds to its workspace's bill."""
    return WorkspaceTotal(
        requests=1,
        prompt_tokens=record.usage.prompt_tokens,
        completion_tokens=record.usage.completion_tokens,
    )


def recorded(record: JournalRecord, now_s: float) -> JournalRecord:
    """Return ``record`` with its time of recording."""
    return attrs.evolve(record, recorded_at_s=now_s)
