"""Messages about attempts."""

from collections.abc import Mapping

import attrs

from ..result_codes import ResultCode
from .base import Load, Message, Usage, message


@message("attempt_request")
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


@message("attempt_accepted")
@attrs.frozen(kw_only=True)
class AttemptAccepted(Message):
    """The attempt is admitted; frames of its answer follow."""

    attempt_id: str
    incarnation: str
    revision: int
    load: Load = Load()


@message("attempt_refused")
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


@message("answer_head")
@attrs.frozen(kw_only=True)
class AnswerHead(Message):
    """Status and headers of the upstream's answer."""

    attempt_id: str
    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)


@message("answer_chunk")
@attrs.frozen(kw_only=True)
class AnswerChunk(Message):
    """A piece of the answer's body, which is the frame's payload."""

    attempt_id: str
    # Bytes of the answer before this piece.
    offset: int


@message("keep_alive")
@attrs.frozen(kw_only=True)
class KeepAlive(Message):
    """Nothing to say, but the connection is alive."""

    attempt_id: str


@message("attempt_finished")
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


@message("fence_request")
@attrs.frozen(kw_only=True)
class FenceRequest(Message):
    """Ask that an attempt never starts, and whether it did."""

    attempt_id: str
    incarnation: str
    # Also cancel the attempt if it is running.
    cancel: bool = False


@message("fence_reply")
@attrs.frozen(kw_only=True)
class FenceReply(Message):
    """State of an attempt: never_started, running, finished or unknown."""

    attempt_id: str
    incarnation: str
    state: str
    code: ResultCode = ResultCode.OK
    usage: Usage = Usage()
