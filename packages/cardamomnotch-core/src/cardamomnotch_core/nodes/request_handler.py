"""Attempts, retries and the final answer of requests at an entry."""

from functools import singledispatchmethod

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.const import (
    DEFAULT_RETRY_AFTER_S,
    MAX_ATTEMPTS_PER_REQUEST,
    MAX_REATTACHES,
)
from ..attempts.entry_table import (
    CallerRequest,
    RequestRecord,
    RequestState,
    RequestTable,
)
from ..attempts.requests import (
    create_attempt_request,
    create_request_record,
    fingerprint_of_record,
    fingerprint_of_request,
)
from ..attempts.sidecar_table import AttemptState
from ..configuration.holder import ConfigurationHolder
from ..journal.claim_handler import ClaimEventHandler, not_run_actions, outcome_action
from ..membership.table import UpstreamTable
from ..quarantine.changes import QuarantineChange
from ..quarantine.registry import QuarantineRegistry
from ..quarantine.suspect_tracker import SuspectTracker
from ..routing.models import Route
from ..routing.router import Router
from . import actions, events
from .actions import Action
from .events import Event
from .identity import EntryIdentity

# Refusals after which the request may be tried on another upstream.
_RETRYABLE_ON_OTHER_UPSTREAM = frozenset(
    (
        ResultCode.JOURNAL_UNAVAILABLE,
        ResultCode.ATTEMPT_FENCED,
        ResultCode.INCARNATION_MISMATCH,
        ResultCode.REVISION_BEHIND,
        ResultCode.SIDECAR_DRAINING,
        ResultCode.SIDECAR_UNREACHABLE,
        ResultCode.SUSPECT_BUSY,
        ResultCode.UPSTREAM_FULL,
        ResultCode.UPSTREAM_UNREACHABLE,
        ResultCode.VERSION_NOT_LOADED,
        ResultCode.VERSION_WITHDRAWN,
        ResultCode.VM_OUT,
        ResultCode.ZONE_OUT,
    )
)

# Failures caused by another entry, so the upstream may be tried again.
_NOT_CAUSED_BY_UPSTREAM = frozenset(
    (ResultCode.ATTEMPT_FENCED, ResultCode.ATTEMPT_UNKNOWN)
)


class RequestEventHandler:
    """Decides how each request is attempted, retried and answered."""

    def __init__(
        self,
        identity: EntryIdentity,
        *,
        configuration: ConfigurationHolder,
        upstreams: UpstreamTable,
        router: Router,
        quarantine: QuarantineRegistry,
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._upstreams = upstreams
        self._router = router
        self._requests = RequestTable()
        self._claims = ClaimEventHandler(self._requests)
        self.suspects = SuspectTracker(
            quarantine, lambda request_id: self._requests.get(request_id) is not None
        )

    def __len__(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    def is_serving(self, request_id: str) -> bool:
        """Return whether the request is in flight."""
        return self._requests.get(request_id) is not None

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        raise TypeError(
            f"request handler has no handler for event {type(event).__name__}"
        )

    @handle.register
    def _(self, event: events.RequestArrived, now_s: float) -> list[Action]:
        try:
            record = self._create_record(event.request, now_s)
        except CardamomnotchError as error:
            return [
                actions.RefuseRequest(
                    request_id=event.request.request_id,
                    code=error.code,
                    detail=error.detail,
                    retry_after_s=error.retry_after_s,
                    not_run=True,
                )
            ]
        return self._next_attempt(record, now_s)

    def _create_record(self, request: CallerRequest, now_s: float) -> RequestRecord:
        """Return a new record.

        Raises CardamomnotchError if the request is refused.
        """
        active = self._configuration.record
        if active is None:
            raise CardamomnotchError(
                code=ResultCode.NOT_READY, retry_after_s=DEFAULT_RETRY_AFTER_S
            )
        configuration = active.configuration
        workspace = configuration.workspaces_by_digest.get(request.key_digest)
        if workspace is None:
            raise CardamomnotchError(code=ResultCode.UNKNOWN_KEY)
        fingerprint = fingerprint_of_request(workspace.name, request)
        self.suspects.check(fingerprint, now_s, request.parts)
        return create_request_record(configuration, workspace.name, request, now_s)

    def _next_attempt(self, record: RequestRecord, now_s: float) -> list[Action]:
        """Start another attempt, or end the request if none is possible.

        A non-idempotent attempt is sent only after its claim is committed.
        """
        try:
            if now_s >= record.deadline_s:
                raise CardamomnotchError(code=ResultCode.DEADLINE_PASSED)
            route = self._router.choose(
                self._configuration.record,
                record.routing_request,
                record.tried | self._crashed_vms(record, now_s),
                now_s,
            )
        except CardamomnotchError as error:
            return self._end_with_error(record, error)
        record = attrs.evolve(
            record,
            attempt_id=f"{record.request.request_id}-{record.attempts + 1}",
            attempts=record.attempts + 1,
            route=route,
            state=RequestState.ATTEMPTING,
        )
        start_action = self._start_action(record, route, now_s)
        record = attrs.evolve(record, message=start_action.message)
        self._requests.put(record)
        return [start_action] if route.idempotent else [self._claims.claim(record)]

    def _crashed_vms(self, record: RequestRecord, now_s: float) -> frozenset[str]:
        return self.suspects.crashed_vms(
            fingerprint_of_record(record), record.request.request_id, now_s
        )

    def _start_action(
        self, record: RequestRecord, route: Route, now_s: float
    ) -> Action:
        crash_history = self.suspects.start_rerun(
            fingerprint_of_record(record), record.request.request_id, now_s
        )
        message = create_attempt_request(
            record,
            route,
            self._identity,
            crash_history,
            revision=self._configuration.revision,
            now_s=now_s,
        )
        return actions.StartAttempt(
            vm_id=route.upstream.vm_id,
            address=route.upstream.address,
            message=message,
            below_target=route.below_target,
        )

    @handle.register
    def _(self, event: events.AttemptAnswered, now_s: float) -> list[Action]:
        record = self._record_of_attempt(event.request_id, event.attempt_id)
        if record is not None:
            self._requests.put(
                attrs.evolve(record, state=RequestState.STREAMING, maybe_ran=True)
            )
        return []

    @handle.register
    def _(self, event: events.AttemptRejected, now_s: float) -> list[Action]:
        record = self._record_of_attempt(event.request_id, event.attempt_id)
        if record is None:
            return []
        vm_id = record.route.upstream.vm_id
        self._upstreams.record_load(vm_id, event.load, now_s)
        error = CardamomnotchError(
            event.detail, code=event.code, retry_after_s=event.retry_after_s or None
        )
        has_attempts_left = record.attempts < MAX_ATTEMPTS_PER_REQUEST
        record = attrs.evolve(record, replaces=event.attempt_id)
        record = _with_tried_upstream(record, event.code)
        if event.code not in _RETRYABLE_ON_OTHER_UPSTREAM or not has_attempts_left:
            return self._end_with_error(record, error)
        return self._next_attempt(record, now_s)

    @handle.register
    def _(self, event: events.AttemptEnded, now_s: float) -> list[Action]:
        record = self._record_of_attempt(event.request_id, event.attempt_id)
        if record is None:
            return []
        self._upstreams.record_load(record.route.upstream.vm_id, event.load, now_s)
        if event.code is ResultCode.OK:
            self.suspects.clear(fingerprint_of_record(record))
            self.suspects.record_answered(record.request.parts, now_s)
            self._requests.end(event.request_id)
            return [
                outcome_action(record, event.code, event.usage),
                actions.CompleteRequest(request_id=event.request_id, usage=event.usage),
            ]
        if event.co_suspects:
            return self._handle_crash(record, event, now_s)
        error = CardamomnotchError(event.detail, code=event.code)
        return self._handle_failure(record, error, now_s, started=event.started)

    def _handle_crash(
        self, record: RequestRecord, event: events.AttemptEnded, now_s: float
    ) -> list[Action]:
        """Attribute the crash, and end the request if it caused the crash.

        A request that did not cause the crash is retried if possible.
        """
        vm_id = record.route.upstream.vm_id
        change = self.suspects.attribute_crash(
            fingerprint_of_record(record),
            event.request_id,
            vm_id,
            event.co_suspects,
            now_s,
            record.request.parts,
        )
        change_actions = []
        if change is not None:
            reason = f"upstream on {vm_id} crashed"
            change_actions = [actions.ChangeConfiguration(change=change, reason=reason)]
        error = CardamomnotchError(event.detail, code=event.code)
        if not isinstance(change, QuarantineChange):
            failure_actions = self._handle_failure(
                record, error, now_s, started=event.started
            )
            return [*change_actions, *failure_actions]
        self._requests.end(event.request_id)
        error = CardamomnotchError(
            code=ResultCode.REQUEST_QUARANTINED,
            retry_after_s=change.until_s - change.made_at_s,
        )
        return [
            _refusal_action(attrs.evolve(record, maybe_ran=True), error),
            *change_actions,
        ]

    @handle.register
    def _(self, event: events.AttemptConnectionLost, now_s: float) -> list[Action]:
        record = self._record_of_attempt(event.request_id, event.attempt_id)
        if record is None:
            return []
        upstream = record.route.upstream
        if event.code is not ResultCode.ATTEMPT_UNKNOWN:
            self._upstreams.mark_unreachable(upstream.vm_id)
        error = CardamomnotchError(code=event.code)
        if not event.sent:
            return self._handle_failure(record, error, now_s, started=False)
        self._requests.put(
            attrs.evolve(
                record, lost_code=event.code, fence_count=record.fence_count + 1
            )
        )
        return [
            actions.FenceAttempt(
                request_id=event.request_id,
                attempt_id=event.attempt_id,
                address=upstream.address,
                incarnation=upstream.incarnation,
                cancel=record.route.idempotent,
            )
        ]

    @handle.register
    def _(self, event: events.AttemptFenced, now_s: float) -> list[Action]:
        record = self._record_of_attempt(event.request_id, event.attempt_id)
        if record is None:
            return []
        has_started = event.state in (AttemptState.RUNNING, AttemptState.FINISHED)
        if (
            has_started
            and not record.route.idempotent
            and record.fence_count <= MAX_REATTACHES
        ):
            return [
                actions.ReattachToAttempt(
                    address=record.route.upstream.address, message=record.message
                )
            ]
        started = event.state is not AttemptState.NEVER_STARTED
        error = CardamomnotchError(code=record.lost_code)
        return self._handle_failure(record, error, now_s, started=started)

    def _handle_failure(
        self,
        record: RequestRecord,
        error: CardamomnotchError,
        now_s: float,
        *,
        started: bool,
    ) -> list[Action]:
        """Retry the request if that is safe, else end it with ``error``.

        Only idempotent requests and those that have not run are retried, and
        only before any part of an answer was sent to the caller.
        """
        record = attrs.evolve(record, maybe_ran=record.maybe_ran or started)
        record = _with_tried_upstream(record, error.code)
        may_retry = (
            (record.route.idempotent or not record.maybe_ran)
            and record.state is RequestState.ATTEMPTING
            and record.attempts < MAX_ATTEMPTS_PER_REQUEST
        )
        if not started:
            record = attrs.evolve(record, replaces=record.attempt_id)
        if may_retry:
            return self._next_attempt(record, now_s)
        return self._end_with_error(record, error)

    def _end_with_error(
        self, record: RequestRecord, error: CardamomnotchError
    ) -> list[Action]:
        """End the request with ``error``.

        If it never ran, the refusal is recorded in the journal.
        """
        self._requests.end(record.request.request_id)
        return [*not_run_actions(record), _refusal_action(record, error)]

    @handle.register
    def _(self, event: events.ClaimAnswered, now_s: float) -> list[Action]:
        record = self._record_of_attempt(event.request_id, event.attempt_id)
        if record is None or record.state is not RequestState.CLAIMING:
            return []
        try:
            return self._claims.handle_result(record, event.result)
        except CardamomnotchError as error:
            # No refusal is recorded: the existing claim is another request's.
            self._requests.end(event.request_id)
            return [_refusal_action(record, error)]

    @handle.register
    def _(self, event: events.CallerDisconnected, now_s: float) -> list[Action]:
        record = self._requests.get(event.request_id)
        if record is None or record.route is None or not record.route.idempotent:
            # A non-idempotent attempt runs to its end so that its outcome is
            # recorded in the journal.
            return []
        self._requests.end(event.request_id)
        upstream = record.route.upstream
        return [
            actions.CancelAttempt(
                address=upstream.address,
                attempt_id=record.attempt_id,
                incarnation=upstream.incarnation,
            )
        ]

    def _record_of_attempt(
        self, request_id: str, attempt_id: str
    ) -> RequestRecord | None:
        """Return the request's record.

        Returns None unless ``attempt_id`` is its current attempt.
        """
        record = self._requests.get(request_id)
        if record is None or record.attempt_id != attempt_id:
            return None
        return record


def _refusal_action(record: RequestRecord, error: CardamomnotchError) -> Action:
    """Return the final refusal or error for a request.

    A non-idempotent request that may have run gets OUTCOME_UNKNOWN.
    """
    code, detail = error.code, error.detail
    if record.maybe_ran and record.route is not None and not record.route.idempotent:
        code, detail = ResultCode.OUTCOME_UNKNOWN, f"{error.code.name.lower()}"
    return actions.RefuseRequest(
        request_id=record.request.request_id,
        code=code,
        detail=detail,
        retry_after_s=error.retry_after_s,
        not_run=not record.maybe_ran,
    )


def _with_tried_upstream(record: RequestRecord, code: ResultCode) -> RequestRecord:
    """Return ``record`` with its upstream excluded from further attempts."""
    if code in _NOT_CAUSED_BY_UPSTREAM:
        return record
    return attrs.evolve(record, tried=record.tried | {record.route.upstream.vm_id})
