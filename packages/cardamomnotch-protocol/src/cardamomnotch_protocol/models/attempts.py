"""Messages about attempts: runs of a request on one upstream."""

from collections.abc import Mapping

import attrs

from ..result_codes import ResultCode
from .base import Load, Message, Usage, message


@message("attempt_request")
@attrs.frozen(kw_only=True)
class AttemptRequest(Message):
    """Asks a sidecar to run one attempt.

    The payload is the request's body. ``timeout_ms`` is the time left until
    the caller's deadline.
    """

    attempt_id: str
    request_id: str
    request_key: str
    workspace: str
    # Process run of the sidecar for which the attempt is meant; a sidecar that
    # was restarted since refuses it.
    incarnation: str
    # Configuration revision of the entry.
    revision: int
    timeout_ms: int
    entry_address: str = ""
    # A model call sets model and version; a service call sets service, method
    # and path.
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
    # SHA-256 digest of the request's body.
    fingerprint: str = ""
    # Number of upstream crashes of which this request is a suspected cause.
    suspected_crashes: int = 0
    # Fingerprints of the requests in flight with it at those crashes.
    co_suspects: tuple[str, ...] = ()


@message("attempt_accepted")
@attrs.frozen(kw_only=True)
class AttemptAccepted(Message):
    """Tells that the attempt is admitted; frames of its response follow."""

    attempt_id: str
    incarnation: str
    revision: int
    load: Load = Load()


@message("attempt_refused")
@attrs.frozen(kw_only=True)
class AttemptRefused(Message):
    """Tells that the attempt has not run and will not run."""

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
    """Carries status and headers of the upstream's response."""

    attempt_id: str
    status: int
    headers: Mapping[str, str] = attrs.field(factory=dict)


@message("answer_chunk")
@attrs.frozen(kw_only=True)
class AnswerChunk(Message):
    """Carries a part of the response body as the frame's payload."""

    attempt_id: str
    # Number of bytes of the response body before this part.
    offset: int


@message("keep_alive")
@attrs.frozen(kw_only=True)
class KeepAlive(Message):
    """Shows that the connection is alive while there is no response data."""

    attempt_id: str


@message("attempt_finished")
@attrs.frozen(kw_only=True)
class AttemptFinished(Message):
    """Ends the frames of an attempt and tells its result.

    ``total_bytes`` is the size of the response body, by which the receiver
    checks that the body is complete.
    """

    attempt_id: str
    code: ResultCode
    detail: str = ""
    total_bytes: int = 0
    usage: Usage = Usage()
    load: Load = Load()
    # Whether the upstream may have run the request.
    started: bool = True
    # Fingerprints of the requests in flight when the upstream crashed during
    # this attempt.
    co_suspects: tuple[str, ...] = ()


@message("fence_request")
@attrs.frozen(kw_only=True)
class FenceRequest(Message):
    """Asks a sidecar to keep an attempt from starting.

    The reply tells whether the attempt had started already.
    """

    attempt_id: str
    incarnation: str
    # Also cancel the attempt if it is running.
    cancel: bool = False


@message("fence_reply")
@attrs.frozen(kw_only=True)
class FenceReply(Message):
    """Tells the state of the attempt of a fence request.

    ``state`` is never_started, running, finished or unknown.
    """

    attempt_id: str
    incarnation: str
    state: str
    code: ResultCode = ResultCode.OK
    usage: Usage = Usage()
