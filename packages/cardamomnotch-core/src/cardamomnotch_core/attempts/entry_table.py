"""State of the requests that are in flight at an entry."""

from enum import StrEnum

import attrs

from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode

from ..routing.models import Route, RoutingRequest


class RequestState(StrEnum):
    """State of a request at its entry."""

    CLAIMING = "claiming"
    ATTEMPTING = "attempting"
    STREAMING = "streaming"
    ENDED = "ended"


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request, without its body."""

    request_id: str
    key_digest: str
    model: str = ""
    request_class: str = ""
    session_version: str = ""
    service: str = ""
    method: str = "POST"
    path: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    idempotency_key: str = ""
    stream: bool = False
    expected_tokens: int = 0
    fingerprint: str = ""
    # Digests of the prompt's parts but the last, which is the request's own.
    parts: frozenset[str] = frozenset()
    # Timeout set by the caller; 0 if the service or request class sets it.
    timeout_s: float = 0.0


@attrs.frozen(kw_only=True)
class RequestRecord:
    """A request in flight at an entry."""

    request: CallerRequest
    routing_request: RoutingRequest
    workspace: str
    request_key: str
    deadline_s: float
    state: RequestState = RequestState.ATTEMPTING
    attempt_id: str = ""
    route: Route | None = None
    attempts: int = 0
    # VMs whose upstream has refused or failed this request.
    tried: frozenset[str] = frozenset()
    # Whether any attempt of this request may have run.
    maybe_ran: bool = False
    # Result code of the last lost connection, and how often an attempt of this
    # request was fenced after a lost connection.
    lost_code: ResultCode = ResultCode.OK
    fence_count: int = 0
    # Id of an attempt that never started, whose claim may be replaced.
    replaces: str = ""
    # The current attempt's message to the sidecar.
    message: AttemptRequest | None = None


class RequestTable:
    """Records of the requests in flight at an entry, by request id."""

    def __init__(self) -> None:
        self._records: dict[str, RequestRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of ``request_id``; None if it is not in flight."""
        return self._records.get(request_id)

    def put(self, record: RequestRecord) -> None:
        """Add ``record``, or replace the record of the same request."""
        self._records[record.request.request_id] = record

    def end(self, request_id: str) -> RequestRecord | None:
        """Remove the request and return its last record, if there is one."""
        return self._records.pop(request_id, None)
