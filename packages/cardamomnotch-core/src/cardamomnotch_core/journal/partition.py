"""The log of one partition, as its owner writes it.

Each append is a put that succeeds only if its key, the next sequence number,
is absent, as in a shared log whose writers are fenced by sequence numbers
(Balakrishnan et al., "CORFU: A Shared Log Design for Flash Clusters", 2012).
An owner that finds the next sequence number taken has lost the partition,
regardless of its clock or lease.
"""

import attrs

from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalRecord,
    JournalResult,
)

from .batches import record_size_bytes
from .codec import encode_append
from .const import (
    APPEND_INTERVAL_S,
    MAX_APPEND_BYTES,
    MIN_CHECKPOINT_LOG_BYTES,
    URGENT_APPEND_INTERVAL_S,
)
from .models import (
    Checkpoint,
    LogAppend,
    PartitionId,
    PendingProposal,
    ProposalOutcome,
    RecordState,
    ResolvedProposal,
)
from .state import PartitionState, with_recorded_time

_UNAVAILABLE = JournalResult(outcome=ProposalOutcome.UNAVAILABLE)


@attrs.frozen(kw_only=True)
class PendingAppend:
    """An append to write to the store at ``sequence``."""

    sequence: int
    value: bytes
    append: LogAppend


class PartitionLog:
    """Decides on proposals, batches their records and tracks commits."""

    def __init__(
        self,
        partition: PartitionId,
        owner_id: str,
        checkpoint: Checkpoint,
        appends: tuple[LogAppend, ...],
    ) -> None:
        self._partition = partition
        self._owner_id = owner_id
        self._state = PartitionState(partition.kind, checkpoint)
        self._sequence = checkpoint.sequence
        self._log_bytes = 0
        self._checkpoint_bytes = 0
        self._pending_records: list[JournalRecord] = []
        # Records that may not be in the store yet, by key.
        self._uncommitted: dict[str, JournalRecord] = {}
        self._waiting_proposals: list[PendingProposal] = []
        self._append_in_flight: PendingAppend | None = None
        self._appended_at_s = float("-inf")
        # Whether a claim waits for pending records to be appended.
        self._urgent = False
        self._has_appended = False
        self._store_failing = False
        self._ownership_lost = False
        for append in appends:
            self._apply(append)

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last committed append."""
        return self._sequence

    @property
    def state(self) -> PartitionState:
        """Return the state after all committed appends."""
        return self._state

    @property
    def is_lost(self) -> bool:
        """Return whether another owner has taken over the partition."""
        return self._ownership_lost

    @property
    def is_failing(self) -> bool:
        """Return whether the store failed to answer the last append."""
        return self._store_failing

    @property
    def has_work(self) -> bool:
        """Return whether an append is in flight or remains to be made."""
        return bool(
            self._pending_records or self._append_in_flight or not self._has_appended
        )

    @property
    def due_at_s(self) -> float:
        """Return the time at which pending records are to be appended."""
        interval_s = URGENT_APPEND_INTERVAL_S if self._urgent else APPEND_INTERVAL_S
        return self._appended_at_s + interval_s

    @property
    def checkpoint_is_due(self) -> bool:
        """Return whether the log has grown larger than the last checkpoint."""
        return self._log_bytes > max(MIN_CHECKPOINT_LOG_BYTES, self._checkpoint_bytes)

    def propose(
        self, proposal: JournalProposal, proposal_id: int, now_s: float
    ) -> JournalResult:
        """Decide on ``proposal`` and return its result.

        A result with a record that is not committed is provisional: a
        ``ResolvedProposal`` with ``proposal_id`` follows.
        """
        record = proposal.record
        if self._ownership_lost or (
            self._store_failing and record.state == RecordState.CLAIMED
        ):
            return _UNAVAILABLE
        existing = self._uncommitted.get(record.key) or self._state.get(record.key)
        if existing is None and proposal.replaces:
            return JournalResult(outcome=ProposalOutcome.EXPIRED)
        if not _may_replace(existing, proposal):
            return self._make_result(
                proposal_id, proposal, ProposalOutcome.FOUND, existing
            )
        first_outcome = record.state == RecordState.DONE and existing is None
        if first_outcome and self._state.may_have_been_dropped(now_s - proposal.age_s):
            return JournalResult(outcome=ProposalOutcome.EXPIRED)
        record = with_recorded_time(record, now_s)
        self._uncommitted[record.key] = record
        self._pending_records.append(record)
        return self._make_result(proposal_id, proposal, ProposalOutcome.GRANTED, record)

    def _make_result(
        self,
        proposal_id: int,
        proposal: JournalProposal,
        outcome: ProposalOutcome,
        record: JournalRecord,
    ) -> JournalResult:
        committed = record.key not in self._uncommitted
        result = JournalResult(
            outcome=outcome.value, record=record, committed=committed
        )
        if not committed:
            waiting = PendingProposal(
                proposal_id=proposal_id, proposal=proposal, result=result
            )
            self._waiting_proposals.append(waiting)
            self._urgent = self._urgent or _is_claim(waiting)
        return result

    def next_append(self, now_s: float) -> PendingAppend | None:
        """Return the append to write now, if any.

        An append in flight is returned again until it is committed.
        """
        if self._ownership_lost:
            return None
        if self._append_in_flight is not None:
            return self._append_in_flight
        if self._has_appended and not self._is_due(now_s):
            return None
        self._has_appended = True
        append = LogAppend(owner_id=self._owner_id, records=self._take_batch())
        self._append_in_flight = PendingAppend(
            sequence=self._sequence + 1, value=encode_append(append), append=append
        )
        self._appended_at_s = now_s
        self._urgent = self._urgent and bool(self._pending_records)
        return self._append_in_flight

    def _is_due(self, now_s: float) -> bool:
        return bool(self._pending_records) and now_s >= self.due_at_s

    def _take_batch(self) -> tuple[JournalRecord, ...]:
        batch_bytes = count = 0
        for record in self._pending_records:
            batch_bytes += record_size_bytes(record)
            if count and batch_bytes > MAX_APPEND_BYTES:
                break
            count += 1
        batch, self._pending_records = (
            self._pending_records[:count],
            self._pending_records[count:],
        )
        return tuple(batch)

    def record_commit(self) -> list[ResolvedProposal]:
        """Record that the append in flight is committed.

        Returns the proposals that were waiting for it.
        """
        pending_append = self._append_in_flight
        self._append_in_flight = None
        self._store_failing = False
        self._log_bytes += len(pending_append.value)
        self._apply(pending_append.append)
        for record in pending_append.append.records:
            if self._uncommitted.get(record.key) is record:
                del self._uncommitted[record.key]
        # Includes proposals that found a record of the batch while it was in
        # flight.
        batch = {id(record) for record in pending_append.append.records}
        waiting, self._waiting_proposals = self._waiting_proposals, []
        self._waiting_proposals = [
            item for item in waiting if id(item.result.record) not in batch
        ]
        return [
            ResolvedProposal(
                proposal_id=item.proposal_id,
                result=attrs.evolve(item.result, committed=True),
            )
            for item in waiting
            if id(item.result.record) in batch
        ]

    def _apply(self, append: LogAppend) -> None:
        self._sequence += 1
        for record in append.records:
            self._state.apply(record)

    def record_append_failure(self) -> list[ResolvedProposal]:
        """Record that the append in flight was not answered; it may be stored.

        The same append is written again. Waiting claims are refused; those not
        yet in flight are dropped. Returns the refused claims.
        """
        self._store_failing = True
        dropped = [
            record
            for record in self._pending_records
            if record.state == RecordState.CLAIMED
        ]
        for record in dropped:
            if self._uncommitted.get(record.key) is record:
                del self._uncommitted[record.key]
        self._pending_records = [
            record
            for record in self._pending_records
            if record.state != RecordState.CLAIMED
        ]
        for record in (
            self._append_in_flight.append.records if self._append_in_flight else ()
        ):
            self._uncommitted.setdefault(record.key, record)
        refused = [item for item in self._waiting_proposals if _is_claim(item)]
        self._waiting_proposals = [
            item for item in self._waiting_proposals if not _is_claim(item)
        ]
        return [
            ResolvedProposal(proposal_id=item.proposal_id, result=_UNAVAILABLE)
            for item in refused
        ]

    def record_ownership_loss(self) -> list[ResolvedProposal]:
        """Record that another owner has taken over the partition.

        Returns all waiting proposals, as unavailable.
        """
        self._ownership_lost = True
        waiting, self._waiting_proposals = self._waiting_proposals, []
        return [
            ResolvedProposal(proposal_id=item.proposal_id, result=_UNAVAILABLE)
            for item in waiting
        ]

    def make_checkpoint(self, now_s: float) -> Checkpoint:
        """Drop expired records; return a checkpoint of the committed state."""
        self._state.expire(now_s)
        return self._state.checkpoint(self._sequence)

    def record_checkpoint(self, size_bytes: int) -> None:
        """Record that a checkpoint of ``size_bytes`` is in the store."""
        self._log_bytes = 0
        self._checkpoint_bytes = size_bytes


def _is_claim(waiting: PendingProposal) -> bool:
    return waiting.proposal.record.state == RecordState.CLAIMED


def _may_replace(existing: JournalRecord | None, proposal: JournalProposal) -> bool:
    """Return whether the proposal's record may replace ``existing``."""
    if existing is None:
        return True
    if existing.state == RecordState.DONE:
        return False
    if proposal.record.state == RecordState.CLAIMED:
        return proposal.replaces == existing.attempt_id
    if proposal.record.state == RecordState.DONE:
        return True
    return existing.attempt_id == proposal.record.attempt_id and (
        existing.state == RecordState.CLAIMED
    )
