"""Outcomes that a process holds until the journal has them."""

from collections.abc import Iterable

import attrs

from cardamomnotch_protocol.models import JournalProposal, JournalRecord

from .batches import first_batch

MAX_HELD_OUTCOMES = 20_000
# Age at which a holder asks that somebody else brings an outcome on.
HAND_OUT_AFTER_S = 5.0
# Time that whoever took an outcome has to bring it on.
HAND_OUT_INTERVAL_S = 5.0


@attrs.define
class _Held:
    record: JournalRecord
    since_s: float
    hand_out_at_s: float


class OutcomeBuffer:
    """Keeps outcomes by attempt id, up to a bound.

    A full holder takes what has run all the same; whoever owns it admits no
    new attempt until some are committed.
    """

    def __init__(self, limit: int = MAX_HELD_OUTCOMES) -> None:
        self._limit = limit
        self._held: dict[str, _Held] = {}

    def __len__(self) -> int:
        return len(self._held)

    @property
    def is_full(self) -> bool:
        """Return whether no further attempt should start."""
        return len(self._held) >= self._limit

    def add(self, record: JournalRecord, now_s: float) -> None:
        """Hold an outcome."""
        self._held[record.attempt_id] = _Held(record, now_s, now_s + HAND_OUT_AFTER_S)

    def forget(self, attempt_ids: Iterable[str]) -> None:
        """Drop outcomes that the journal has committed."""
        for attempt_id in attempt_ids:
            self._held.pop(attempt_id, None)

    def count_due(self, now_s: float) -> int:
        """Return how many outcomes wait for somebody to bring them on."""
        return sum(item.hand_out_at_s <= now_s for item in self._held.values())

    def take_due(self, now_s: float) -> tuple[JournalProposal, ...]:
        """Return outcomes to bring on; each goes to one taker at a time."""
        due = [item for item in self._held.values() if item.hand_out_at_s <= now_s]
        taken = first_batch(
            JournalProposal(record=item.record, age_s=now_s - item.since_s)
            for item in due
        )
        for item in due[: len(taken)]:
            item.hand_out_at_s = now_s + HAND_OUT_INTERVAL_S
        return taken
