"""Classes of the journal."""

from enum import StrEnum

import attrs

from cardamomnotch_protocol.models import (
    JournalProposal,
    JournalRecord,
    JournalResult,
)


class RecordState(StrEnum):
    """State of a request key."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class ProposalOutcome(StrEnum):
    """What became of a proposal."""

    GRANTED = "granted"
    FOUND = "found"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


class PartitionKind(StrEnum):
    """Claims are committed at once, bills about each second."""

    BILLS = "bills"
    CLAIMS = "claims"


@attrs.frozen(order=True)
class PartitionId:
    """One partition of the journal."""

    kind: PartitionKind
    number: int

    @property
    def name(self) -> str:
        """Return the name that stands in store keys and messages."""
        return f"{self.kind.value}/{self.number:03d}"

    @classmethod
    def from_name(cls, name: str) -> "PartitionId":
        """Return the partition called ``name``."""
        kind, _, number = name.partition("/")
        return cls(PartitionKind(kind), int(number))


@attrs.frozen(kw_only=True)
class WorkspaceTotal:
    """What a workspace owes."""

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def plus(self, other: "WorkspaceTotal") -> "WorkspaceTotal":
        """Return the sum."""
        return WorkspaceTotal(
            requests=self.requests + other.requests,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            completion_tokens=self.completion_tokens + other.completion_tokens,
        )


@attrs.frozen(kw_only=True)
class LogAppend:
    """One append: the records of a batch, by the owner that wrote it.

    An append without records is how a new owner ends the former one's term.
    """

    owner_id: str
    records: tuple[JournalRecord, ...] = ()


@attrs.frozen(kw_only=True)
class Checkpoint:
    """All that the log up to ``sequence`` says."""

    sequence: int = 0
    records: tuple[JournalRecord, ...] = ()
    totals: dict[str, WorkspaceTotal] = attrs.field(factory=dict)
    forgotten_before_s: float = 0.0


@attrs.frozen(kw_only=True)
class ResolvedProposal:
    """The final result of a proposal that waited."""

    proposal_id: int
    result: JournalResult


@attrs.frozen(kw_only=True)
class Waiting:
    """A proposal that waits for its commit."""

    proposal_id: int
    proposal: JournalProposal
    result: JournalResult
