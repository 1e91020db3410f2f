"""Actions that the nodes ask of the shells."""

import attrs

from cardamomnotch_protocol.models import (
    AttemptRefused,
    AttemptRequest,
    EnginePlacement,
    FenceReply,
    HeartbeatReply,
    JournalProposal,
    JournalRecord,
    Usage,
)
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.changes import ListsChange


class Action:
    """Base of all actions."""


@attrs.frozen(kw_only=True)
class StartAttempt(Action):
    """Send the request's body to a sidecar."""

    vm_id: str
    address: str
    message: AttemptRequest
    # Whether the version misses the class's target, which the answer says.
    below_target: bool = False


@attrs.frozen(kw_only=True)
class RefuseRequest(Action):
    """Give the caller a final refusal or error, at once."""

    request_id: str
    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None
    # Whether it is certain that the request has not run and will not.
    not_run: bool = False


@attrs.frozen(kw_only=True)
class CompleteRequest(Action):
    """The answer is whole; end it."""

    request_id: str
    usage: Usage


@attrs.frozen(kw_only=True)
class CancelAttempt(Action):
    """Tell a sidecar that nobody waits for the attempt any more."""

    address: str
    attempt_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class SendHeartbeat(Action):
    """Send a heartbeat out of turn, to an upstream that has just appeared."""

    vm_id: str


@attrs.frozen(kw_only=True)
class SendConfiguration(Action):
    """Send the configuration in force to a sidecar that is behind."""

    vm_id: str
    address: str


@attrs.frozen(kw_only=True)
class FetchConfiguration(Action):
    """Fetch the configuration of an entry that is ahead, then try again."""

    address: str
    retry: AttemptRequest | None = None


@attrs.frozen(kw_only=True)
class AcceptAttempt(Action):
    """Call the upstream and stream its answer."""

    message: AttemptRequest


@attrs.frozen(kw_only=True)
class FollowAttempt(Action):
    """The attempt is known already; stream what it answers."""

    attempt_id: str


@attrs.frozen(kw_only=True)
class RefuseAttempt(Action):
    """Answer that the attempt has not run and will not."""

    message: AttemptRefused


@attrs.frozen(kw_only=True)
class CancelUpstreamCall(Action):
    """Close the call to the upstream."""

    attempt_id: str


@attrs.frozen(kw_only=True)
class ReplyToFence(Action):
    """Answer a fence request."""

    message: FenceReply


@attrs.frozen(kw_only=True)
class ReplyToHeartbeat(Action):
    """Answer a heartbeat."""

    message: HeartbeatReply


@attrs.frozen(kw_only=True)
class LogStateChange(Action):
    """Write one log line about a change of state."""

    text: str


@attrs.frozen(kw_only=True)
class ChangeConfiguration(Action):
    """Put a change of the lists into the store, from where it reaches all."""

    change: ListsChange
    reason: str


@attrs.frozen(kw_only=True)
class FenceAttempt(Action):
    """Ask a sidecar whether the attempt started, and that it never will."""

    request_id: str
    attempt_id: str
    address: str
    incarnation: str
    cancel: bool = False


@attrs.frozen(kw_only=True)
class ReattachToAttempt(Action):
    """Follow the answer of an attempt that has started already."""

    address: str
    message: AttemptRequest


@attrs.frozen(kw_only=True)
class ClaimRequest(Action):
    """Have the journal commit a claim before the attempt leaves."""

    request_id: str
    proposal: JournalProposal


@attrs.frozen(kw_only=True)
class RecordOutcome(Action):
    """Bring an outcome to the journal, and hold it until it is committed.

    ``address`` is the sidecar that holds a copy.
    """

    request_id: str
    record: JournalRecord
    idempotent: bool
    address: str = ""


@attrs.frozen(kw_only=True)
class AnswerFromJournal(Action):
    """Give the caller the answer that its request got the first time."""

    request_id: str
    record: JournalRecord


@attrs.frozen(kw_only=True)
class FetchOutcomes(Action):
    """Fetch outcomes that a sidecar holds, and bring them to the journal."""

    address: str


@attrs.frozen(kw_only=True)
class ReportCrashToEntry(Action):
    """Tell the attempt's entry that the upstream crashed under it."""

    attempt_id: str
    co_suspects: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ExchangeRevision(Action):
    """Exchange revisions with another entry."""

    vm_id: str
    address: str


@attrs.frozen(kw_only=True)
class RefreshConfiguration(Action):
    """Read the lists from the store now, not when the watch is due."""


@attrs.frozen(kw_only=True)
class SendPlacementOrder(Action):
    """Order the engine to load these versions and no others."""

    placement: EnginePlacement
