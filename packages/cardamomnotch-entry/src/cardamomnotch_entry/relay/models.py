"""Requests, responses, and the log data of attempts."""

from enum import StrEnum

import attrs
from multidict import CIMultiDict

from cardamomnotch_core.relay.models import RequestFacts, UpstreamHints
from cardamomnotch_runtime.header_fields import InvalidHeader


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A decoded caller request; body and target are forwarded unchanged."""

    method: str
    # Path and query as the caller sent them.
    target: str
    host: str
    path: str
    # End-to-end headers, without hop-by-hop ones, in the caller's order.
    headers: CIMultiDict[str]
    api_key: str | None
    # Time that the caller waits, in seconds; None if not stated.
    deadline_s: float | None
    model: str
    last_event_id: str
    facts: RequestFacts


@attrs.frozen(kw_only=True)
class AttemptParameters:
    """Values that the router adds to a request for one attempt."""

    upstream_id: str
    workspace: str | None
    remaining_s: float
    # Model that the router chose; empty if the caller chose it.
    model: str = ""
    # Id of the last event that the caller received, for a resumed stream.
    last_event_id: str = ""
    # Priority from 0, the most urgent, to 9, the least.
    priority: int | None = None


@attrs.frozen(kw_only=True)
class ResponseHead:
    """The decoded status and headers of an upstream's response."""

    status: int
    # Headers that are forwarded to the caller.
    headers: CIMultiDict[str]
    # Id of the answered request, as stated by the upstream.
    request_id: str
    # Whether the upstream states that the request did not run.
    not_run: bool
    # Whether the response carries the upstream's signature.
    is_signed: bool
    # The model's confidence in its response, 0 to 100.
    confidence: int | None = None
    # Whether the body has no coding that the caller does not learn of.
    is_plain: bool = True
    # What the upstream states about itself; None if that is not known, since
    # it is malformed or the response is another upstream's.
    hints: UpstreamHints | None = None
    # Whether the upstream states that it is about to end.
    is_leaving: bool = False
    # One of the headers that cannot be forwarded; None if all can. The other fields
    # then say nothing either.
    invalid_header: InvalidHeader | None = None


class ResponseFraming(StrEnum):
    """How the end of a response's body is recognized."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


class AttemptOutcome(StrEnum):
    """How one attempt ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    BROKEN = "broken"
    INVALID = "invalid"
    UNSURE = "unsure"
    CANCELLED = "cancelled"


@attrs.define
class AttemptLog:
    """Log data of one attempt; the field names appear in the log line."""

    upstream: str
    version: str
    model: str
    started_ms: int
    expected_ms: int
    cached_tokens: int
    unread_tokens: int
    waiting_ms: int
    # Factor on the expected time that four of five observed times stay under.
    spread: float = 1.0
    # Expected time from the first token to the end; 0 if the length is not stated.
    expected_end_ms: int = 0
    # Prefill time that the cached tokens are expected to save, and the other parts of
    # the placement's cost that are not 0.
    saved_ms: int = 0
    placement: dict[str, int] = attrs.field(factory=dict)
    # Crashes that the request, or a part of its prompt, may have caused when
    # the attempt was sent.
    suspected_crashes: int = 0
    ended_ms: int = -1
    outcome: str = ""
    status: int = 0
    first_byte_ms: int = -1
    confidence: int = -1
    # ResponseFraming of the response; empty if there was none.
    framing: str = ""
    # Rate limit that the upstream named, in requests per second; None if none.
    rate_limit: float | None = None
    # Whether the upstream stated that it is about to end.
    leaving: bool = False
    # Bytes of an incomplete event at the end of a stream.
    unfinished_bytes: int = 0
    # Whether the upstream accepted a connection after the answer was lost;
    # None if that was not tested.
    upstream_up: bool | None = None

    def as_dict(self) -> dict[str, object]:
        """Return the fields for the log line."""
        return attrs.asdict(self)
