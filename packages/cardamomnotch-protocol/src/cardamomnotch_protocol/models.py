"""Typed messages between entry and sidecar."""

from collections.abc import Callable, Mapping
from typing import Any, ClassVar, TypeVar

import attrs

from .result_codes import ResultCode

_MessageClass = TypeVar("_MessageClass", bound=type)
MESSAGE_CLASSES: dict[str, type["Message"]] = {}


@attrs.frozen(kw_only=True)
class Message:
    """Base of all messages.

    ``unknown_fields`` keeps what a newer sender added, so that a message that
    is passed on loses nothing.
    """

    message_type: ClassVar[str] = ""

    unknown_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False, repr=False)


def _message(name: str) -> Callable[[_MessageClass], _MessageClass]:
    def register(cls: _MessageClass) -> _MessageClass:
        cls.message_type = name
        MESSAGE_CLASSES[name] = cls
        return cls

    return register


@attrs.frozen(kw_only=True)
class Load:
    """What an upstream is doing, counted by its sidecar."""

    # Attempts in flight, and how many the sidecar admits now.
    in_flight: int = 0
    limit: int = 0
    tokens_in_flight: int = 0
    # Requests that wait inside the engine, by its own lagging report.
    waiting: int = 0
    first_token_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Usage:
    """What an attempt consumed, as the upstream counts it."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


@attrs.frozen(kw_only=True)
class RatingTotals:
    """Sums of ratings of a version's answers for one request class."""

    version: str
    request_class: str = ""
    ratings: int = 0
    score_sum: float = 0.0
    # Ratings under the class's bound.
    bad: int = 0


@attrs.frozen(kw_only=True)
class EnginePlacement:
    """The versions that one engine is to load.

    ``serial`` rises with each placement, ``fencing`` with each planner.
    """

    serial: int
    fencing: int
    versions: tuple[str, ...] = ()


@_message("attempt_request")
@attrs.frozen(kw_only=True)
class AttemptRequest(Message):
    """Ask a sidecar to run one attempt; the payload is the request's body.

    ``timeout_ms`` is the time left until the caller's deadline.
    """

    attempt_id: str
    request_id: str
    request_key: str
    workspace: str
    incarnation: str
    revision: int
    timeout_ms: int
    entry_address: str = ""
    # Model calls name a model and version, service calls a service and route.
    model: str = ""
    version: str = ""
    service: str = ""
    method: str = "POST"
    path: str = ""
    headers: Mapping[str, str] = attrs.field(factory=dict)
    request_class: str = ""
    priority: int = 0
    idempotent: bool = True
    stream: bool = False
    expected_tokens: int = 0
    fingerprint: str = ""
    # Crashes in which this request was already a suspect.
    suspected_crashes: int = 0
    # Fingerprints that were in flight with it at those crashes.
    co_suspects: tuple[str, ...] = ()


@_message("attempt_accepted")
@attrs.frozen(kw_only=True)
class AttemptAccepted(Message):
    """The attempt is admitted; frames of its answer follow."""

    attempt_id: str
    incarnation: str
    revision: int
    load: Load = Load()


@_message("attempt_refused")
@attrs.frozen(kw_only=True)
class AttemptRefused(Message):
    """The attempt has not run and will not run."""

    attempt_id: str
    incarnation: str
    revision: int
    code: ResultCode
    detail: str = ""
    retry_after_s: float = 0.0
    load: Load = Load()


@_message("answer_head")
@attrs.frozen(kw_only=True)
class AnswerHead(Message):
    """Status and headers of the upstream's answer."""

    attempt_id: str
    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)


@_message("answer_chunk")
@attrs.frozen(kw_only=True)
class AnswerChunk(Message):
    """A piece of the answer's body, which is the frame's payload."""

    attempt_id: str
    # Bytes of the answer before this piece.
    offset: int


@_message("keep_alive")
@attrs.frozen(kw_only=True)
class KeepAlive(Message):
    """Nothing to say, but the connection is alive."""

    attempt_id: str


@_message("attempt_finished")
@attrs.frozen(kw_only=True)
class AttemptFinished(Message):
    """The last frame: how the attempt ended.

    ``total_bytes`` lets the reader see that it holds the whole answer.
    """

    attempt_id: str
    code: ResultCode
    detail: str = ""
    total_bytes: int = 0
    usage: Usage = Usage()
    load: Load = Load()
    # Whether the upstream may have run the request.
    started: bool = True
    # Fingerprints in flight when the upstream crashed under this attempt.
    co_suspects: tuple[str, ...] = ()


@_message("fence_request")
@attrs.frozen(kw_only=True)
class FenceRequest(Message):
    """Ask that an attempt never starts, and whether it did."""

    attempt_id: str
    incarnation: str
    # Also cancel the attempt if it is running.
    cancel: bool = False


@_message("fence_reply")
@attrs.frozen(kw_only=True)
class FenceReply(Message):
    """State of an attempt: never_started, running, finished or unknown."""

    attempt_id: str
    incarnation: str
    state: str
    code: ResultCode = ResultCode.OK
    usage: Usage = Usage()


@_message("heartbeat_request")
@attrs.frozen(kw_only=True)
class HeartbeatRequest(Message):
    """An entry tells a sidecar that it is there, and its revision."""

    entry_id: str
    entry_address: str
    revision: int
    # New with each start of the entry; names whose sums the ratings are.
    entry_epoch: str = ""
    ratings: tuple[RatingTotals, ...] = ()
    # What this sidecar's engine is to load, if a planner has said so.
    placement: EnginePlacement | None = None


@_message("heartbeat_reply")
@attrs.frozen(kw_only=True)
class HeartbeatReply(Message):
    """A sidecar tells who it is and what it can take."""

    vm_id: str
    zone: str
    incarnation: str
    revision: int
    accepting: bool
    # Loaded versions as "model/version", or names of plain services.
    versions: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    load: Load = Load()
    # Time that the sidecar asks each entry to leave between heartbeats.
    heartbeat_after_s: float = 1.0
    # Outcomes that wait for an entry to bring them to the journal.
    outcomes_due: int = 0
    # Sums of the other entries' ratings of this upstream's answers.
    ratings: tuple[RatingTotals, ...] = ()
    # Fingerprints in flight at recent crashes of the upstream.
    suspects: tuple[str, ...] = ()


@_message("configuration")
@attrs.frozen(kw_only=True)
class ConfigurationMessage(Message):
    """The operators' lists at one revision."""

    revision: int
    change_id: str
    digest: str
    document: Mapping[str, Any]
    # The changes accepted before this one, latest first, for a writer whose
    # answer was lost while others went on.
    former_change_ids: tuple[str, ...] = ()


@_message("configuration_reply")
@attrs.frozen(kw_only=True)
class ConfigurationReply(Message):
    """The revision that is in force at the receiver."""

    revision: int


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


@_message("journal_request")
@attrs.frozen(kw_only=True)
class JournalRequest(Message):
    """Proposals for one partition, sent to its owner."""

    partition: str
    proposals: tuple[JournalProposal, ...]
    # Answer after the store holds them, not on receipt.
    wait_for_commit: bool = False


@_message("journal_reply")
@attrs.frozen(kw_only=True)
class JournalReply(Message):
    """One result for each proposal; none if the receiver is not the owner."""

    results: tuple[JournalResult, ...] = ()
    is_owner: bool = True


@_message("outcomes")
@attrs.frozen(kw_only=True)
class Outcomes(Message):
    """Outcomes that a sidecar holds until the journal has them."""

    proposals: tuple[JournalProposal, ...] = ()


@_message("outcomes_committed")
@attrs.frozen(kw_only=True)
class OutcomesCommitted(Message):
    """Attempts whose outcomes the journal has; their holder may forget them."""

    attempt_ids: tuple[str, ...]


@_message("outcomes_forgotten")
@attrs.frozen(kw_only=True)
class OutcomesForgotten(Message):
    """How many outcomes a sidecar still holds."""

    held: int = 0


@_message("peer_revision")
@attrs.frozen(kw_only=True)
class PeerRevision(Message):
    """An entry tells another one its revision; the answer is of this class."""

    entry_id: str
    entry_address: str
    revision: int


@attrs.frozen(kw_only=True)
class ChangedPart:
    """An entry of a list, by name, or a whole table, which has no name.

    No value means that the entry was removed.
    """

    section: str
    name: str = ""
    value: Any = None

    @property
    def path(self) -> str:
        """Return where it stands in the document."""
        return f"{self.section}[{self.name}]" if self.name else self.section


@_message("configuration_changes")
@attrs.frozen(kw_only=True)
class ConfigurationChanges(Message):
    """What leads from one revision of the operators' lists to another.

    ``digest`` is that of the whole document that results.
    """

    based_on: int
    revision: int
    change_id: str
    digest: str
    parts: tuple[ChangedPart, ...] = ()
