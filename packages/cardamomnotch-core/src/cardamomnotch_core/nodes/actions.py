"""Actions that the nodes return for the runtime to carry out."""

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

from ..configuration.changes import IncrementalChange


class Action:
    """Base class of all actions."""


@attrs.frozen(kw_only=True)
class StartAttempt(Action):
    """Send an attempt, with the request's body, to a sidecar."""

    vm_id: str
    address: str
    message: AttemptRequest
    # Whether the chosen version misses the request class's quality target;
    # the answer to the caller says so.
    below_target: bool = False


@attrs.frozen(kw_only=True)
class RefuseRequest(Action):
    """Send the caller a final refusal or error."""

    request_id: str
    code: ResultCode
    detail: str = ""
    retry_after_s: float | None = None
    # Whether the request certainly has not run and will not run.
    not_run: bool = False


@attrs.frozen(kw_only=True)
class CompleteRequest(Action):
    """End the answer to the caller, which is complete."""

    request_id: str
    usage: Usage


@attrs.frozen(kw_only=True)
class CancelAttempt(Action):
    """Tell a sidecar to cancel an attempt whose caller has disconnected."""

    address: str
    attempt_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class SendHeartbeat(Action):
    """Send a heartbeat immediately instead of at the next interval.

    Used for upstreams that are new and for those that are to learn of a new
    configuration revision.
    """

    vm_id: str


@attrs.frozen(kw_only=True)
class SendConfiguration(Action):
    """Send the active configuration to a sidecar with an older revision."""

    vm_id: str
    address: str


@attrs.frozen(kw_only=True)
class FetchConfiguration(Action):
    """Fetch the configuration from a node that may have a newer revision.

    ``retry`` is the attempt to handle again after the fetch, if any.
    """

    address: str
    retry: AttemptRequest | None = None


@attrs.frozen(kw_only=True)
class AcceptAttempt(Action):
    """Call the upstream for the attempt and stream its answer."""

    message: AttemptRequest


@attrs.frozen(kw_only=True)
class FollowAttempt(Action):
    """Stream the answer of an attempt that has already started here."""

    attempt_id: str


@attrs.frozen(kw_only=True)
class RefuseAttempt(Action):
    """Tell the entry that the attempt has not run and will not run."""

    message: AttemptRefused


@attrs.frozen(kw_only=True)
class CancelUpstreamCall(Action):
    """Close the attempt's call to the upstream."""

    attempt_id: str


@attrs.frozen(kw_only=True)
class ReplyToFence(Action):
    """Reply to an entry's fence request."""

    message: FenceReply


@attrs.frozen(kw_only=True)
class ReplyToHeartbeat(Action):
    """Reply to an entry's heartbeat."""

    message: HeartbeatReply


@attrs.frozen(kw_only=True)
class LogStateChange(Action):
    """Log a change of the node's state."""

    text: str


@attrs.frozen(kw_only=True)
class ChangeConfiguration(Action):
    """Write a configuration change to the store, which distributes it."""

    change: IncrementalChange
    reason: str


@attrs.frozen(kw_only=True)
class FenceAttempt(Action):
    """Ask a sidecar whether an attempt started, and forbid a later start.

    ``cancel`` also ends the attempt if it is running.
    """

    request_id: str
    attempt_id: str
    address: str
    incarnation: str
    cancel: bool = False


@attrs.frozen(kw_only=True)
class ReattachToAttempt(Action):
    """Stream the answer of an attempt that has started already."""

    address: str
    message: AttemptRequest


@attrs.frozen(kw_only=True)
class ClaimRequest(Action):
    """Have the journal commit a request's claim before its attempt is sent."""

    request_id: str
    proposal: JournalProposal


@attrs.frozen(kw_only=True)
class RecordOutcome(Action):
    """Send an outcome to the journal, and keep it until it is committed.

    ``address`` is the address of the sidecar that also buffers the outcome.
    """

    request_id: str
    record: JournalRecord
    idempotent: bool
    address: str = ""


@attrs.frozen(kw_only=True)
class AnswerFromJournal(Action):
    """Send the caller the outcome that the journal has for its request key."""

    request_id: str
    record: JournalRecord


@attrs.frozen(kw_only=True)
class FetchOutcomes(Action):
    """Fetch the outcomes that a sidecar buffers, for the journal."""

    address: str


@attrs.frozen(kw_only=True)
class ReportCrashToEntry(Action):
    """Tell the attempt's entry that the upstream crashed while running it.

    ``co_suspects`` are the fingerprints of all requests in flight then.
    """

    attempt_id: str
    co_suspects: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ExchangeRevision(Action):
    """Exchange configuration revisions with another entry."""

    vm_id: str
    address: str


@attrs.frozen(kw_only=True)
class RefreshConfiguration(Action):
    """Read the configuration from the store now, before the next poll."""


@attrs.frozen(kw_only=True)
class SendPlacementOrder(Action):
    """Order the engine to load exactly the versions of ``placement``."""

    placement: EnginePlacement
