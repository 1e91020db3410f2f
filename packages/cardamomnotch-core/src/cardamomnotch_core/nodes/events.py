"""Events that the shells hand to the nodes."""

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
    """Base of all events."""


@attrs.frozen(kw_only=True)
class ConfigurationOffered(Event):
    """A record came from the store, a peer or an entry.

    ``asked_at_s`` is when it was asked for, if it was.
    """

    record: ConfigurationRecord
    source: str
    asked_at_s: float = float("-inf")


@attrs.frozen(kw_only=True)
class DrainStarted(Event):
    """The process was asked to stop."""


@attrs.frozen(kw_only=True)
class TimerDue(Event):
    """About a second has passed."""


@attrs.frozen(kw_only=True)
class VmListReceived(Event):
    """The platform's list was read."""

    vms: tuple[Vm, ...]


@attrs.frozen(kw_only=True)
class HeartbeatAnswered(Event):
    """A sidecar answered a heartbeat."""

    vm_id: str
    reply: HeartbeatReply
    # When it was asked for, and the revision that it was told.
    asked_at_s: float | None = None
    told_revision: int = 0


@attrs.frozen(kw_only=True)
class HeartbeatFailed(Event):
    """A sidecar did not answer a heartbeat."""

    vm_id: str


@attrs.frozen(kw_only=True)
class ConfigurationAcknowledged(Event):
    """A sidecar confirmed the revision that is in force there."""

    vm_id: str
    revision: int


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A caller sent a request."""

    request: CallerRequest


@attrs.frozen(kw_only=True)
class CallerDisconnected(Event):
    """The caller closed its connection before the answer's end."""

    request_id: str


@attrs.frozen(kw_only=True)
class AttemptAnswered(Event):
    """The first part of an attempt's answer has arrived."""

    request_id: str
    attempt_id: str


@attrs.frozen(kw_only=True)
class AttemptRejected(Event):
    """A sidecar refused an attempt, which has not run."""

    request_id: str
    attempt_id: str
    code: ResultCode
    detail: str = ""
    retry_after_s: float = 0.0
    load: Load = Load()


@attrs.frozen(kw_only=True)
class AttemptEnded(Event):
    """An attempt's last frame has arrived."""

    request_id: str
    attempt_id: str
    code: ResultCode
    detail: str = ""
    usage: Usage = Usage()
    load: Load = Load()
    started: bool = True
    # Fingerprints in flight when the upstream crashed under the attempt.
    co_suspects: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class AttemptConnectionLost(Event):
    """The connection of an attempt broke or went silent.

    ``sent`` tells whether any byte may have reached the sidecar.
    """

    request_id: str
    attempt_id: str
    code: ResultCode
    sent: bool = True


@attrs.frozen(kw_only=True)
class HeartbeatArrived(Event):
    """An entry sent a heartbeat."""

    request: HeartbeatRequest


@attrs.frozen(kw_only=True)
class AttemptArrived(Event):
    """An entry asked for an attempt.

    ``fetch_attempted`` is set when the newer configuration was asked for already.
    """

    request: AttemptRequest
    fetch_attempted: bool = False


@attrs.frozen(kw_only=True)
class FenceArrived(Event):
    """An entry asked that an attempt never starts."""

    request: FenceRequest


@attrs.frozen(kw_only=True)
class UpstreamCallEnded(Event):
    """The call to the upstream has ended."""

    attempt_id: str
    code: ResultCode
    detail: str = ""
    usage: Usage = Usage()
    first_token_ms: float = 0.0
    # The connection broke or was refused, so the upstream may have restarted.
    connection_lost: bool = False
    # How long the upstream asks to be left alone.
    retry_after_s: float = 0.0


@attrs.frozen(kw_only=True)
class UpstreamReported(Event):
    """The upstream told its start id, load and loaded versions."""

    start_id: str
    waiting: int = 0
    versions: tuple[str, ...] = ()
    # Highest fencing number that the engine has taken an order with.
    fencing: int = 0


@attrs.frozen(kw_only=True)
class UpstreamUnreachable(Event):
    """The upstream did not tell its load."""


@attrs.frozen(kw_only=True)
class AnswerRated(Event):
    """The rating service scored a whole answer, from 0 to 1.

    ``version`` is "model/version"; ``vm_id`` the upstream that answered.
    """

    request_id: str
    vm_id: str
    version: str
    request_class: str
    score: float


@attrs.frozen(kw_only=True)
class AttemptFenced(Event):
    """A sidecar told whether an attempt has started; it cannot any more."""

    request_id: str
    attempt_id: str
    state: AttemptState


@attrs.frozen(kw_only=True)
class ClaimAnswered(Event):
    """The journal told what became of a claim."""

    request_id: str
    attempt_id: str
    result: JournalResult


@attrs.frozen(kw_only=True)
class UpstreamConnectionBroke(Event):
    """A call's connection broke; the upstream will be asked why."""

    attempt_id: str


@attrs.frozen(kw_only=True)
class StoreAnswered(Event):
    """The store told the revision of the lists; 0 means that it has none.

    ``revision_when_asked`` is what this process acted on when it asked.
    """

    revision: int
    revision_when_asked: int
    asked_at_s: float


@attrs.frozen(kw_only=True)
class StoreUnreachable(Event):
    """The store did not answer."""


@attrs.frozen(kw_only=True)
class PeerRevisionReceived(Event):
    """Another entry told its revision, asked or of its own accord."""

    vm_id: str
    address: str
    revision: int
    asked_at_s: float


@attrs.frozen(kw_only=True)
class OrderCallEnded(Event):
    """The engine has answered an order, or has not."""


@attrs.frozen(kw_only=True)
class PlacementRead(Event):
    """The store's placement was read; ``serial`` is its revision there."""

    placement: Placement
    serial: int


@attrs.frozen(kw_only=True)
class ConfigurationConfirmed(Event):
    """A process that was asked holds nothing newer."""

    revision: int
    source: str
    asked_at_s: float
