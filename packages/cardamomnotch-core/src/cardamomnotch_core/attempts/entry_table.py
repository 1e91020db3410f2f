"""Requests that an entry is serving."""

from enum import StrEnum

import attrs

from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode

from ..routing.models import Route, RoutingRequest


class RequestState(StrEnum):
    """State of one request at its entry."""

    CLAIMING = "claiming"
    ATTEMPTING = "attempting"
    STREAMING = "streaming"
    ENDED = "ended"


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A request as it came from a caller, without its body."""

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
    # Seconds that the caller gives; 0 leaves it to the class.
    timeout_s: float = 0.0


@attrs.frozen(kw_only=True)
class RequestRecord:
    """A request in flight at an entry."""

    request: CallerRequest
    demand: RoutingRequest
    workspace: str
    request_key: str
    deadline_s: float
    state: RequestState = RequestState.ATTEMPTING
    attempt_id: str = ""
    route: Route | None = None
    attempts: int = 0
    # VMs that have refused or failed this request.
    tried: frozenset[str] = frozenset()
    # Whether some attempt may have run.
    maybe_ran: bool = False
    # Why the present attempt's answer was lost, and how often.
    lost_code: ResultCode = ResultCode.OK
    fences: int = 0
    # The attempt whose claim this request may replace, as it never started.
    replaces: str = ""
    # The attempt as it was or will be sent.
    message: AttemptRequest | None = None


class RequestTable:
    """Requests in flight, by request id."""

    def __init__(self) -> None:
        self._records: dict[str, RequestRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def get(self, request_id: str) -> RequestRecord | None:
        """Return the record of ``request_id``."""
        return self._records.get(request_id)

    def put(self, record: RequestRecord) -> None:
        """Keep ``record`` in place of the former one."""
        self._records[record.request.request_id] = record

    def end(self, request_id: str) -> RequestRecord | None:
        """Forget the request and return its last record."""
        return self._records.pop(request_id, None)
