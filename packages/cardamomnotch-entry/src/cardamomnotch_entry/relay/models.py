"""Requests, answers and what is logged of them."""

from enum import StrEnum

import attrs
from multidict import CIMultiDict

from cardamomnotch_core.relay.models import RequestFacts


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request, decoded; its body and target pass unchanged."""

    method: str
    # Path and query as the caller sent them.
    target: str
    host: str
    path: str
    # What concerns the request and not the connection, in the caller's order.
    headers: CIMultiDict[str]
    api_key: str | None
    # Time that the caller waits, in seconds; None if it does not say.
    deadline_s: float | None
    model: str
    last_event_id: str
    facts: RequestFacts


@attrs.frozen(kw_only=True)
class AttemptParameters:
    """What the router adds to a request for one attempt."""

    upstream_id: str
    workspace: str | None
    remaining_s: float
    # Model that the router has chosen; empty if the caller did.
    model: str = ""
    # The last event that the caller has, for a resumed stream.
    last_event_id: str = ""
    # 0 is the most urgent, 9 the least.
    priority: int | None = None


@attrs.frozen(kw_only=True)
class ResponseHead:
    """An upstream's answer before its body, decoded."""

    status: int
    # Headers that are passed on.
    headers: CIMultiDict[str]
    # The request that is answered, as the upstream says.
    request_id: str
    # Whether the upstream says that the request did not run.
    not_run: bool
    # Whether the upstream has signed the answer.
    is_signed: bool
    # The model's opinion of its answer, 0 to 100.
    confidence: int | None = None
    # False for a body that is not the upstream's own bytes.
    is_plain: bool = True


class AttemptOutcome(StrEnum):
    """How one attempt ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    BROKEN = "broken"
    UNSURE = "unsure"
    CANCELLED = "cancelled"


@attrs.define
class AttemptLog:
    """One attempt, for the request's log line."""

    upstream: str
    version: str
    model: str
    started_ms: int
    expected_ms: int
    cached_tokens: int
    unread_tokens: int
    waiting_ms: int
    outcome: str = ""
    status: int = 0
    first_byte_ms: int = -1
    confidence: int = -1

    def as_dict(self) -> dict[str, object]:
        """Return the fields for the log line."""
        return attrs.asdict(self)
