"""Messages about the request journal, which stores outcomes by request key."""

import attrs

from ..result_codes import ResultCode
from .base import Message, Usage, message


@attrs.frozen(kw_only=True)
class JournalRecord:
    """The journal's record of one request key.

    ``key`` is a digest of the request key; ``state`` is claimed, done or
    not_run.
    """

    key: str
    workspace: str
    state: str
    # Attempt that claims the request key.
    attempt_id: str = ""
    # Digest of the call's method, path and body.
    fingerprint: str = ""
    # Sidecar to which the attempt was sent.
    vm_id: str = ""
    address: str = ""
    incarnation: str = ""
    # Result of the attempt, and the tokens that it used.
    code: ResultCode = ResultCode.OK
    usage: Usage = Usage()
    # The response body in base64 if it is short; otherwise ``answer`` is empty
    # and only ``answer_bytes``, its size, is set.
    status: int = 0
    content_type: str = ""
    answer: str = ""
    answer_bytes: int = 0
    # Wall-clock time, in seconds, at which the partition's owner accepted the
    # record.
    recorded_at_s: float = 0.0


@attrs.frozen(kw_only=True)
class JournalProposal:
    """A record proposed for the journal.

    ``replaces`` names the attempt whose claim the record replaces; that
    attempt is known never to have started.
    """

    record: JournalRecord
    replaces: str = ""
    # Seconds since the outcome became known, by the clock of its sender.
    age_s: float = 0.0


@attrs.frozen(kw_only=True)
class JournalResult:
    """The result of a proposal.

    ``outcome`` is granted, found, expired or unavailable. ``record`` is the
    record now valid for the key; ``committed`` tells whether it is stored.
    """

    outcome: str
    record: JournalRecord | None = None
    committed: bool = False


@message("journal_request")
@attrs.frozen(kw_only=True)
class JournalRequest(Message):
    """Carries proposals for one partition to the partition's owner."""

    partition: str
    proposals: tuple[JournalProposal, ...]
    # Whether to reply only when the store holds the records, not on receipt.
    wait_for_commit: bool = False


@message("journal_reply")
@attrs.frozen(kw_only=True)
class JournalReply(Message):
    """Carries one result per proposal.

    There are none if the process that replies does not own the partition.
    """

    results: tuple[JournalResult, ...] = ()
    is_owner: bool = True


@message("outcomes")
@attrs.frozen(kw_only=True)
class Outcomes(Message):
    """Carries outcomes that a sidecar buffers until the journal has them."""

    proposals: tuple[JournalProposal, ...] = ()


@message("outcomes_committed")
@attrs.frozen(kw_only=True)
class OutcomesCommitted(Message):
    """Names attempts whose outcomes the journal has committed.

    The sidecar that buffers these outcomes may discard them.
    """

    attempt_ids: tuple[str, ...]


@message("outcomes_forgotten")
@attrs.frozen(kw_only=True)
class OutcomesForgotten(Message):
    """Tells how many outcomes a sidecar buffers after discarding some."""

    held: int = 0
