"""State of a partition, built from the records of its log."""

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
    """Holds records by key, totals by workspace and the expiry of records."""

    def __init__(
        self, kind: PartitionKind, checkpoint: Checkpoint | None = None
    ) -> None:
        checkpoint = checkpoint or Checkpoint()
        self._retention_s = _RETENTION_S[kind]
        # In the order in which they were recorded, oldest first.
        self._records = {record.key: record for record in checkpoint.records}
        self._totals = dict(checkpoint.totals)
        self._forgotten_before_s = checkpoint.forgotten_before_s

    def __len__(self) -> int:
        return len(self._records)

    @property
    def totals(self) -> dict[str, WorkspaceTotal]:
        """Return the billing totals by workspace."""
        return dict(self._totals)

    @property
    def forgotten_before_s(self) -> float:
        """Return the latest recording time of the records dropped so far."""
        return self._forgotten_before_s

    def get(self, key: str) -> JournalRecord | None:
        """Return the record of ``key``, or None if there is none."""
        return self._records.get(key)

    def apply(self, record: JournalRecord) -> None:
        """Apply a record of the log; it never replaces an outcome."""
        existing = self._records.get(record.key)
        if existing is not None and existing.state == RecordState.DONE:
            return
        self._records.pop(record.key, None)
        self._records[record.key] = record
        if record.state == RecordState.DONE and record.code is ResultCode.OK:
            total = self._totals.get(record.workspace, WorkspaceTotal())
            self._totals[record.workspace] = total.plus(record_total(record))

    def expire(self, now_s: float) -> None:
        """Drop the records whose retention period has passed."""
        expired_until_s = now_s - self._retention_s
        for key, record in tuple(self._records.items()):
            if record.recorded_at_s > expired_until_s:
                return
            del self._records[key]
            self._forgotten_before_s = max(
                self._forgotten_before_s, record.recorded_at_s
            )

    def may_have_been_dropped(self, known_since_s: float) -> bool:
        """Return whether the record of an outcome may have been dropped.

        ``known_since_s`` is the time at which the proposer got the outcome.
        """
        return known_since_s <= self._forgotten_before_s + CLOCK_MARGIN_S

    def checkpoint(self, sequence: int) -> Checkpoint:
        """Return a checkpoint of the state as of ``sequence``."""
        return Checkpoint(
            sequence=sequence,
            records=tuple(self._records.values()),
            totals=dict(self._totals),
            forgotten_before_s=self._forgotten_before_s,
        )


def record_total(record: JournalRecord) -> WorkspaceTotal:
    """Return what one outcome adds to the total of its workspace."""
    return WorkspaceTotal(
        requests=1,
        prompt_tokens=record.usage.prompt_tokens,
        completion_tokens=record.usage.completion_tokens,
    )


def with_recorded_time(record: JournalRecord, now_s: float) -> JournalRecord:
    """Return ``record`` with its recording time."""
    return attrs.evolve(record, recorded_at_s=now_s)
