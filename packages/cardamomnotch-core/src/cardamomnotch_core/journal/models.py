"""Data classes of the journal."""

from enum import StrEnum

import attrs

from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalRecord,
    JournalResult,
)


class RecordState(StrEnum):
    """State of a request key in the journal."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class ProposalOutcome(StrEnum):
    """Result of proposing a record to the journal.

    FOUND means that the key already has a record, which is kept. EXPIRED means
    that the key's earlier record may have been dropped.
    """

    GRANTED = "granted"
    FOUND = "found"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


class PartitionKind(StrEnum):
    """Kind of the records in a partition.

    BILLS are outcomes of idempotent requests, committed about once a second.
    CLAIMS are records of requests that must not be repeated: claims are
    committed at once.
    """

    BILLS = "bills"
    CLAIMS = "claims"


@attrs.frozen(order=True)
class PartitionId:
    """One partition of the journal."""

    kind: PartitionKind
    number: int

    @property
    def name(self) -> str:
        """Return the name used in store keys and messages."""
        return f"{self.kind.value}/{self.number:03d}"

    @classmethod
    def from_name(cls, name: str) -> "PartitionId":
        """Return the partition with this name."""
        kind, _, number = name.partition("/")
        return cls(PartitionKind(kind), int(number))


@attrs.frozen(kw_only=True)
class WorkspaceTotal:
    """Requests and tokens that a workspace is billed for."""

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def plus(self, other: "WorkspaceTotal") -> "WorkspaceTotal":
        """Return the sum of both totals."""
        return WorkspaceTotal(
            requests=self.requests + other.requests,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            completion_tokens=self.completion_tokens + other.completion_tokens,
        )


@attrs.frozen(kw_only=True)
class LogAppend:
    """One entry of a partition's log: a batch of records and its writer.

    A new owner writes an append without records to end the previous owner's
    term.
    """

    owner_id: str
    records: tuple[JournalRecord, ...] = ()


@attrs.frozen(kw_only=True)
class Checkpoint:
    """State of a partition after the appends up to ``sequence``.

    ``forgotten_before_s`` is the latest recording time of the records
    that were dropped after their retention period.
    """

    sequence: int = 0
    records: tuple[JournalRecord, ...] = ()
    totals: dict[str, WorkspaceTotal] = attrs.field(factory=dict)
    forgotten_before_s: float = 0.0


@attrs.frozen(kw_only=True)
class ResolvedProposal:
    """A proposal that was waiting for its commit, and its final result."""

    proposal_id: int
    result: JournalResult


@attrs.frozen(kw_only=True)
class PendingProposal:
    """A proposal waiting for its commit, and its provisional result."""

    proposal_id: int
    proposal: JournalProposal
    result: JournalResult
