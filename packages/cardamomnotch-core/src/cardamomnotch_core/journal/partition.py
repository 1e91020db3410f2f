"""The owner's side of one partition: proposals in, appends out.

The log is a chain of puts that need their key absent, as in a shared log
whose writers are fenced by sequence numbers (Balakrishnan et al., "CORFU: A
Shared Log Design for Flash Clusters", 2012). Whoever finds the next sequence
taken has lost the partition, whatever its clock or lease says.
"""

import attrs

from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalRecord,
    JournalResult,
)

from .batches import size_bytes
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
    ProposalOutcome,
    RecordState,
    ResolvedProposal,
    Waiting,
)
from .state import PartitionState, recorded

_UNAVAILABLE = JournalResult(outcome=ProposalOutcome.UNAVAILABLE)


@attrs.frozen(kw_only=True)
class PendingAppend:
    """An append that is to be put at ``sequence``."""

    sequence: int
    value: bytes
    append: LogAppend


class PartitionLog:
    """Decides proposals, batches them, and knows what is committed."""

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
        self._pending: list[JournalRecord] = []
        # Records that the store may not hold yet, by key.
        self._uncommitted: dict[str, JournalRecord] = {}
        self._waiting: list[Waiting] = []
        self._in_flight: PendingAppend | None = None
        self._appended_at_s = float("-inf")
        # Whether a caller waits for what is pending.
        self._urgent = False
        self._began = False
        self._failing = False
        self._lost = False
        for append in appends:
            self._take(append)

    @property
    def sequence(self) -> int:
        """Return the last sequence that is committed."""
        return self._sequence

    @property
    def state(self) -> PartitionState:
        """Return what is committed."""
        return self._state

    @property
    def is_lost(self) -> bool:
        """Return whether another owner has taken the partition."""
        return self._lost

    @property
    def is_failing(self) -> bool:
        """Return whether the store did not answer the last append."""
        return self._failing

    @property
    def has_work(self) -> bool:
        """Return whether an append is in flight or due at some time."""
        return bool(self._pending or self._in_flight or not self._began)

    @property
    def due_at_s(self) -> float:
        """Return when what is pending is to be appended."""
        interval_s = URGENT_APPEND_INTERVAL_S if self._urgent else APPEND_INTERVAL_S
        return self._appended_at_s + interval_s

    @property
    def checkpoint_is_due(self) -> bool:
        """Return whether the log has outgrown the last checkpoint."""
        return self._log_bytes > max(MIN_CHECKPOINT_LOG_BYTES, self._checkpoint_bytes)

    def propose(
        self, proposal: JournalProposal, proposal_id: int, now_s: float
    ) -> JournalResult:
        """Decide ``proposal``; if it waits for its commit, remember ``proposal_id``.

        A result that is not committed is followed by a ``ResolvedProposal`` one.
        """
        record = proposal.record
        if self._lost or (self._failing and record.state == RecordState.CLAIMED):
            return _UNAVAILABLE
        known = self._uncommitted.get(record.key) or self._state.get(record.key)
        if known is None and proposal.replaces:
            return JournalResult(outcome=ProposalOutcome.EXPIRED)
        if not _may_write(known, proposal):
            return self._wait(proposal_id, proposal, ProposalOutcome.FOUND, known)
        late = record.state == RecordState.DONE and known is None
        if late and self._state.may_be_forgotten(now_s - proposal.age_s):
            return JournalResult(outcome=ProposalOutcome.EXPIRED)
        record = recorded(record, now_s)
        self._uncommitted[record.key] = record
        self._pending.append(record)
        return self._wait(proposal_id, proposal, ProposalOutcome.GRANTED, record)

    def _wait(
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
            waiting = Waiting(proposal_id=proposal_id, proposal=proposal, result=result)
            self._waiting.append(waiting)
            self._urgent = self._urgent or _is_claim(waiting)
        return result

    def next_append(self, now_s: float) -> PendingAppend | None:
        """Return what to put now: the append in flight again, or a new one."""
        if self._lost:
            return None
        if self._in_flight is not None:
            return self._in_flight
        if self._began and not self._is_due(now_s):
            return None
        self._began = True
        append = LogAppend(owner_id=self._owner_id, records=self._take_batch())
        self._in_flight = PendingAppend(
            sequence=self._sequence + 1, value=encode_append(append), append=append
        )
        self._appended_at_s = now_s
        self._urgent = self._urgent and bool(self._pending)
        return self._in_flight

    def _is_due(self, now_s: float) -> bool:
        return bool(self._pending) and now_s >= self.due_at_s

    def _take_batch(self) -> tuple[JournalRecord, ...]:
        size = count = 0
        for record in self._pending:
            size += size_bytes(record)
            if count and size > MAX_APPEND_BYTES:
                break
            count += 1
        batch, self._pending = self._pending[:count], self._pending[count:]
        return tuple(batch)

    def record_commit(self) -> list[ResolvedProposal]:
        """Note that the append in flight is in the store."""
        pending = self._in_flight
        self._in_flight = None
        self._failing = False
        self._log_bytes += len(pending.value)
        self._take(pending.append)
        for record in pending.append.records:
            if self._uncommitted.get(record.key) is record:
                del self._uncommitted[record.key]
        # Whoever found a record of the batch while it was in flight as well.
        batch = {id(record) for record in pending.append.records}
        waiting, self._waiting = self._waiting, []
        self._waiting = [w for w in waiting if id(w.result.record) not in batch]
        return [
            ResolvedProposal(
                proposal_id=item.proposal_id,
                result=attrs.evolve(item.result, committed=True),
            )
            for item in waiting
            if id(item.result.record) in batch
        ]

    def _take(self, append: LogAppend) -> None:
        self._sequence += 1
        for record in append.records:
            self._state.apply(record)

    def record_append_failure(self) -> list[ResolvedProposal]:
        """Note that the append in flight was not answered; it may be stored.

        It is put again as it is. Claims that wait are refused; those not yet
        in flight are dropped.
        """
        self._failing = True
        dropped = [r for r in self._pending if r.state == RecordState.CLAIMED]
        for record in dropped:
            if self._uncommitted.get(record.key) is record:
                del self._uncommitted[record.key]
        self._pending = [r for r in self._pending if r.state != RecordState.CLAIMED]
        for record in self._in_flight.append.records if self._in_flight else ():
            self._uncommitted.setdefault(record.key, record)
        refused = [w for w in self._waiting if _is_claim(w)]
        self._waiting = [w for w in self._waiting if not _is_claim(w)]
        return [
            ResolvedProposal(proposal_id=w.proposal_id, result=_UNAVAILABLE)
            for w in refused
        ]

    def record_ownership_loss(self) -> list[ResolvedProposal]:
        """Note that another owner has written; nothing more is promised."""
        self._lost = True
        waiting, self._waiting = self._waiting, []
        return [
            ResolvedProposal(proposal_id=w.proposal_id, result=_UNAVAILABLE)
            for w in waiting
        ]

    def make_checkpoint(self, now_s: float) -> Checkpoint:
        """Return a checkpoint of what is committed."""
        self._state.expire(now_s)
        return self._state.checkpoint(self._sequence)

    def record_checkpoint(self, size_bytes: int) -> None:
        """Note that a checkpoint of that size is in the store."""
        self._log_bytes = 0
        self._checkpoint_bytes = size_bytes


def _is_claim(waiting: Waiting) -> bool:
    return waiting.proposal.record.state == RecordState.CLAIMED


def _may_write(known: JournalRecord | None, proposal: JournalProposal) -> bool:
    """Return whether the proposal's record may follow ``known``."""
    if known is None:
        return True
    if known.state == RecordState.DONE:
        return False
    if proposal.record.state == RecordState.CLAIMED:
        return proposal.replaces == known.attempt_id
    if proposal.record.state == RecordState.DONE:
        return True
    return known.attempt_id == proposal.record.attempt_id and (
        known.state == RecordState.CLAIMED
    )
