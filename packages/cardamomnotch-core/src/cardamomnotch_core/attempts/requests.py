"""Creation of request records and of the messages for their attempts."""

from cardamomnotch_protocol.models import AttemptRequest

from ..configuration.models import Configuration
from ..nodes.identity import EntryIdentity
from ..quarantine.models import CrashHistory, fingerprint_key
from ..routing.models import Route, RoutingRequest
from .const import DEFAULT_DEADLINE_S
from .entry_table import CallerRequest, RequestRecord


def create_request_record(
    configuration: Configuration, workspace: str, request: CallerRequest, now_s: float
) -> RequestRecord:
    """Return a new record for ``request`` of ``workspace``."""
    key = request.idempotency_key or request.request_id
    return RequestRecord(
        request=request,
        routing_request=RoutingRequest(
            workspace=workspace,
            model=request.model,
            request_class=request.request_class,
            session_version=request.session_version,
            service=request.service,
            method=request.method,
            path=request.path,
            request_id=request.request_id,
            routing_key=key,
        ),
        workspace=workspace,
        request_key=f"{workspace}:{key}",
        deadline_s=now_s + _timeout_s(configuration, request),
    )


def create_attempt_request(
    record: RequestRecord,
    route: Route,
    identity: EntryIdentity,
    crash_history: CrashHistory,
    *,
    revision: int,
    now_s: float,
) -> AttemptRequest:
    """Return the message that asks a sidecar for the record's attempt."""
    request = record.request
    return AttemptRequest(
        attempt_id=record.attempt_id,
        request_id=request.request_id,
        request_key=record.request_key,
        workspace=record.workspace,
        incarnation=route.upstream.incarnation,
        revision=revision,
        timeout_ms=int((record.deadline_s - now_s) * 1000),
        entry_address=identity.inner_address,
        model=route.model,
        version=route.version,
        service=route.service,
        method=request.method,
        path=request.path,
        headers=dict(request.headers),
        request_class=request.request_class,
        priority=route.priority,
        idempotent=route.idempotent,
        stream=request.stream,
        expected_tokens=request.expected_tokens,
        fingerprint=request.fingerprint,
        suspected_crashes=crash_history.crashes,
        co_suspects=crash_history.co_suspects,
    )


def fingerprint_of_request(workspace: str, request: CallerRequest) -> str:
    """Return the request's fingerprint key; empty for calls to services."""
    return "" if request.service else fingerprint_key(workspace, request.fingerprint)


def fingerprint_of_record(record: RequestRecord) -> str:
    """Return the fingerprint key of the record's request."""
    return fingerprint_of_request(record.workspace, record.request)


def _timeout_s(configuration: Configuration, request: CallerRequest) -> float:
    if request.timeout_s:
        return request.timeout_s
    service = configuration.services_by_name.get(request.service)
    if service is not None:
        return service.deadline_s
    request_class = configuration.classes_by_name.get(request.request_class)
    return request_class.deadline_s if request_class else DEFAULT_DEADLINE_S
