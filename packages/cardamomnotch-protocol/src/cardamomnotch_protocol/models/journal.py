"""Messages about the request journal."""

import attrs

from ..result_codes import ResultCode
from .base import Message, Usage, message


@attrs.frozen(kw_only=True)
class JournalRecord:
    """What the journal holds of one request key.

    ``state`` is claimed, done or not_run; ``key`` a digest of the request key.
    """

    key: str
    workspace: str
    state: str
    # Claims name the attempt and where it was sent.
    attempt_id: str = ""
    fingerprint: str = ""
    vm_id: str = ""
    address: str = ""
    incarnation: str = ""
    # How the attempt ended, and what it used.
    code: ResultCode = ResultCode.OK
    usage: Usage = Usage()
    # The answer in base64 where it is short; else ``answer_bytes`` alone.
    status: int = 0
    content_type: str = ""
    answer: str = ""
    answer_bytes: int = 0
    # Wall-clock seconds at which the partition's owner took the record.
    recorded_at_s: float = 0.0


@attrs.frozen(kw_only=True)
class JournalProposal:
    """A record that someone wants in the journal.

    ``replaces`` names the attempt whose claim it takes over; that attempt is
    known never to have started.
    """

    record: JournalRecord
    replaces: str = ""
    # Seconds since the outcome was known, by its holder's clock.
    age_s: float = 0.0


@attrs.frozen(kw_only=True)
class JournalResult:
    """What became of a proposal: granted, found, expired or unavailable.

    ``record`` is the one that holds; ``committed`` tells that it is stored.
    """

    outcome: str
    record: JournalRecord | None = None
    committed: bool = False


@message("journal_request")
@attrs.frozen(kw_only=True)
class JournalRequest(Message):
    """Proposals for one partition, sent to its owner."""

    partition: str
    proposals: tuple[JournalProposal, ...]
    # Answer after the store holds them, not on receipt.
    wait_for_commit: bool = False


@message("journal_reply")
@attrs.frozen(kw_only=True)
class JournalReply(Message):
    """One result for each proposal; none if the receiver is not the owner."""

    results: tuple[JournalResult, ...] = ()
    is_owner: bool = True


@message("outcomes")
@attrs.frozen(kw_only=True)
class Outcomes(Message):
    """Outcomes that a sidecar holds until the journal has them."""

    proposals: tuple[JournalProposal, ...] = ()


@message("outcomes_committed")
@attrs.frozen(kw_only=True)
class OutcomesCommitted(Message):
    """Attempts whose outcomes the journal has; their holder may forget them."""

    attempt_ids: tuple[str, ...]


@message("outcomes_forgotten")
@attrs.frozen(kw_only=True)
class OutcomesForgotten(Message):
    """How many outcomes a sidecar still holds."""

    held: int = 0
