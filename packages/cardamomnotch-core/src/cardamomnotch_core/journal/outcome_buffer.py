"""Buffer of outcomes that the journal has not committed yet."""

from collections.abc import Iterable

import attrs

from cardamomnotch_protocol.models import JournalProposal, JournalRecord

from .batches import first_batch

MAX_BUFFERED_OUTCOMES = 20_000
# Age from which an outcome is offered to entries, for one to forward it to the
# journal.
FORWARD_AFTER_S = 5.0
# Time that an entry has for forwarding an outcome before it is offered again.
FORWARD_TIMEOUT_S = 5.0


@attrs.define
class _BufferedOutcome:
    record: JournalRecord
    added_at_s: float
    due_at_s: float


class OutcomeBuffer:
    """Keeps outcomes by attempt id until they are committed.

    A full buffer still accepts outcomes of attempts that have run; its owner
    admits no new attempts until some outcomes are committed.
    """

    def __init__(self, limit: int = MAX_BUFFERED_OUTCOMES) -> None:
        self._limit = limit
        self._outcomes: dict[str, _BufferedOutcome] = {}

    def __len__(self) -> int:
        return len(self._outcomes)

    @property
    def is_full(self) -> bool:
        """Return whether no further attempt should start."""
        return len(self._outcomes) >= self._limit

    def add(self, record: JournalRecord, now_s: float) -> None:
        """Add the outcome of an attempt."""
        self._outcomes[record.attempt_id] = _BufferedOutcome(
            record, now_s, now_s + FORWARD_AFTER_S
        )

    def forget(self, attempt_ids: Iterable[str]) -> None:
        """Remove outcomes that the journal has committed."""
        for attempt_id in attempt_ids:
            self._outcomes.pop(attempt_id, None)

    def count_due(self, now_s: float) -> int:
        """Return the number of outcomes that are due to be forwarded."""
        return sum(item.due_at_s <= now_s for item in self._outcomes.values())

    def take_due(self, now_s: float) -> tuple[JournalProposal, ...]:
        """Return a batch of due outcomes for the caller to forward.

        They are not due again until the forwarding time limit has passed.
        """
        due = [item for item in self._outcomes.values() if item.due_at_s <= now_s]
        batch = first_batch(
            JournalProposal(record=item.record, age_s=now_s - item.added_at_s)
            for item in due
        )
        for item in due[: len(batch)]:
            item.due_at_s = now_s + FORWARD_TIMEOUT_S
        return batch
