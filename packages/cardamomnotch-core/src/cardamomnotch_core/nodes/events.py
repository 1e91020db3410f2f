"""Events that the runtime passes to the nodes."""

import attrs

from cardamomnotch_protocol.models import (
    AttemptRequest,
    FenceRequest,
    HeartbeatReply,
    HeartbeatRequest,
    JournalResult,
    Load,
    Usage,
)
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.entry_table import CallerRequest
from ..attempts.sidecar_table import AttemptState
from ..configuration.models import ConfigurationRecord
from ..membership.models import Vm
from ..placement.models import Placement


class Event:
    """Base class of all events."""


@attrs.frozen(kw_only=True)
class ConfigurationOffered(Event):
    """A configuration record was received from the store or another node.

    ``asked_at_s`` is the time at which it was requested, if it was.
    """

    record: ConfigurationRecord
    source: str
    asked_at_s: float = float("-inf")


@attrs.frozen(kw_only=True)
class DrainStarted(Event):
    """The process was asked to stop."""


@attrs.frozen(kw_only=True)
class TimerDue(Event):
    """The node's timer fired; it does so about once a second."""


@attrs.frozen(kw_only=True)
class VmListReceived(Event):
    """The platform's VM list was read."""

    vms: tuple[Vm, ...]


@attrs.frozen(kw_only=True)
class HeartbeatAnswered(Event):
    """A sidecar answered a heartbeat."""

    vm_id: str
    reply: HeartbeatReply
    # When the heartbeat was sent, and the configuration revision in it.
    asked_at_s: float | None = None
    told_revision: int = 0


@attrs.frozen(kw_only=True)
class HeartbeatFailed(Event):
    """A sidecar did not answer a heartbeat."""

    vm_id: str


@attrs.frozen(kw_only=True)
class ConfigurationAcknowledged(Event):
    """A sidecar confirmed its active configuration revision."""

    vm_id: str
    revision: int


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A caller sent a request."""

    request: CallerRequest


@attrs.frozen(kw_only=True)
class CallerDisconnected(Event):
    """The caller closed its connection before the answer was complete."""

    request_id: str


@attrs.frozen(kw_only=True)
class AttemptAnswered(Event):
    """The first part of an attempt's answer has arrived at the entry."""

    request_id: str
    attempt_id: str


@attrs.frozen(kw_only=True)
class AttemptRejected(Event):
    """A sidecar refused an attempt; the attempt has not run."""

    request_id: str
    attempt_id: str
    code: ResultCode
    detail: str = ""
    retry_after_s: float = 0.0
    load: Load = Load()


@attrs.frozen(kw_only=True)
class AttemptEnded(Event):
    """The last frame of an attempt's answer has arrived at the entry."""

    request_id: str
    attempt_id: str
    code: ResultCode
    detail: str = ""
    usage: Usage = Usage()
    load: Load = Load()
    # False if the call to the upstream certainly did not start.
    started: bool = True
    # Fingerprints in flight when the upstream crashed while running this
    # attempt; empty if it did not crash.
    co_suspects: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptConnectionLost(Event):
    """An attempt's connection to its sidecar broke or timed out.

    ``sent`` tells whether any byte may have reached the sidecar.
    """

    request_id: str
    attempt_id: str
    code: ResultCode
    sent: bool = True


@attrs.frozen(kw_only=True)
class HeartbeatArrived(Event):
    """A heartbeat from an entry has arrived at the sidecar."""

    request: HeartbeatRequest


@attrs.frozen(kw_only=True)
class AttemptArrived(Event):
    """An attempt from an entry has arrived at the sidecar.

    ``fetch_attempted`` is set if the sidecar has already tried to fetch a
    newer configuration for this attempt.
    """

    request: AttemptRequest
    fetch_attempted: bool = False


@attrs.frozen(kw_only=True)
class FenceArrived(Event):
    """An entry asked to fence an attempt, so that it can no longer start."""

    request: FenceRequest


@attrs.frozen(kw_only=True)
class UpstreamCallEnded(Event):
    """An attempt's call to the upstream has ended."""

    attempt_id: str
    code: ResultCode
    detail: str = ""
    usage: Usage = Usage()
    first_token_ms: float = 0.0
    # The connection broke or was refused, so the upstream may have restarted.
    connection_lost: bool = False
    # How long the upstream asks to be sent no calls; 0 if it does not ask.
    retry_after_s: float = 0.0


@attrs.frozen(kw_only=True)
class UpstreamReported(Event):
    """The upstream reported its start id, load and loaded versions."""

    start_id: str
    waiting: int = 0
    versions: tuple[str, ...] = ()
    # Highest fencing token of the orders that the engine has accepted.
    fencing: int = 0


@attrs.frozen(kw_only=True)
class UpstreamUnreachable(Event):
    """The upstream did not answer a request for its load report."""


@attrs.frozen(kw_only=True)
class AnswerRated(Event):
    """The rating service scored a complete answer, from 0 to 1.

    ``version`` is "model/version"; ``vm_id`` is the VM whose upstream
    answered.
    """

    request_id: str
    vm_id: str
    version: str
    request_class: str
    score: float


@attrs.frozen(kw_only=True)
class AttemptFenced(Event):
    """A sidecar fenced an attempt and reported whether it had started."""

    request_id: str
    attempt_id: str
    state: AttemptState


@attrs.frozen(kw_only=True)
class ClaimAnswered(Event):
    """The journal answered a request's claim."""

    request_id: str
    attempt_id: str
    result: JournalResult


@attrs.frozen(kw_only=True)
class UpstreamConnectionBroke(Event):
    """An attempt's connection to the upstream broke.

    The upstream's start id is read next, to find out whether it crashed.
    """

    attempt_id: str


@attrs.frozen(kw_only=True)
class StoreAnswered(Event):
    """The store returned its configuration revision; 0 if it has none.

    ``revision_when_asked`` is this process's active revision when it asked.
    """

    revision: int
    revision_when_asked: int
    asked_at_s: float


@attrs.frozen(kw_only=True)
class StoreUnreachable(Event):
    """The store did not answer a request for its configuration revision."""


@attrs.frozen(kw_only=True)
class PeerRevisionReceived(Event):
    """Another entry sent its configuration revision, asked or unasked.

    ``asked_at_s`` is the time of the question, negative infinity if unasked.
    """

    vm_id: str
    address: str
    revision: int
    asked_at_s: float


@attrs.frozen(kw_only=True)
class OrderCallEnded(Event):
    """The call that sent an order to the engine ended, answered or not."""


@attrs.frozen(kw_only=True)
class PlacementRead(Event):
    """The placement was read from the store; ``serial`` is its revision."""

    placement: Placement
    serial: int


@attrs.frozen(kw_only=True)
class ConfigurationConfirmed(Event):
    """A queried process has no newer configuration than this one."""

    revision: int
    source: str
    asked_at_s: float
