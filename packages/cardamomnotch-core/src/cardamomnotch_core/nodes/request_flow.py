"""The life of a request at its entry: attempts, retries and its end."""

from functools import singledispatchmethod

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.const import (
    DEFAULT_RETRY_AFTER_S,
    MAX_ATTEMPTS_PER_REQUEST,
    MAX_REJOINS,
)
from ..attempts.entry_table import (
    CallerRequest,
    RequestRecord,
    RequestState,
    RequestTable,
)
from ..attempts.requests import (
    attempt_request,
    open_request,
    suspect_key,
    suspect_key_of,
)
from ..attempts.sidecar_table import AttemptState
from ..configuration.holder import ConfigurationHolder
from ..journal.claim_handler import ClaimEventHandler, not_run_actions, outcome_action
from ..membership.table import UpstreamTable
from ..quarantine.book import QuarantineBook
from ..quarantine.changes import QuarantineChange
from ..quarantine.tracker import SuspectTracker
from ..routing.models import Route
from ..routing.router import Router
from . import actions, events
from .actions import Action
from .events import Event
from .identity import EntryIdentity

# Refusals after which another upstream may still take the request.
_ELSEWHERE = frozenset(
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

# Ends of attempts that another entry caused; their upstream may be used.
_UPSTREAM_NOT_AT_FAULT = frozenset(
    (ResultCode.ATTEMPT_FENCED, ResultCode.ATTEMPT_UNKNOWN)
)


class RequestFlow:
    """Decides which attempt a request is given, and how it ends."""

    def __init__(
        self,
        identity: EntryIdentity,
        *,
        configuration: ConfigurationHolder,
        upstreams: UpstreamTable,
        router: Router,
        quarantine: QuarantineBook,
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
        """Return how many requests are being served."""
        return len(self._requests)

    def is_serving(self, request_id: str) -> bool:
        """Return whether the request is not ended yet."""
        return self._requests.get(request_id) is not None

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register
    def _(self, event: events.RequestArrived, now_s: float) -> list[Action]:
        try:
            record = self._admit(event.request, now_s)
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

    def _admit(self, request: CallerRequest, now_s: float) -> RequestRecord:
        """Return a new record; raise CardamomnotchError if it is refused."""
        current = self._configuration.record
        if current is None:
            raise CardamomnotchError(
                code=ResultCode.NOT_READY, retry_after_s=DEFAULT_RETRY_AFTER_S
            )
        configuration = current.configuration
        workspace = configuration.workspaces_by_digest.get(request.key_digest)
        if workspace is None:
            raise CardamomnotchError(code=ResultCode.UNKNOWN_KEY)
        self.suspects.check(suspect_key(workspace.name, request), now_s)
        return open_request(configuration, workspace.name, request, now_s)

    def _next_attempt(self, record: RequestRecord, now_s: float) -> list[Action]:
        try:
            if now_s >= record.deadline_s:
                raise CardamomnotchError(code=ResultCode.DEADLINE_PASSED)
            route = self._router.choose(
                self._configuration.record,
                record.demand,
                record.tried | self._crashed_vms(record, now_s),
                now_s,
            )
        except CardamomnotchError as error:
            return self._end_refused(record, error)
        record = attrs.evolve(
            record,
            attempt_id=f"{record.request.request_id}-{record.attempts + 1}",
            attempts=record.attempts + 1,
            route=route,
            state=RequestState.ATTEMPTING,
        )
        start = self._start(record, route, now_s)
        record = attrs.evolve(record, message=start.message)
        self._requests.put(record)
        return [start] if route.idempotent else [self._claims.claim(record)]

    def _crashed_vms(self, record: RequestRecord, now_s: float) -> frozenset[str]:
        return self.suspects.crashed_vms(
            suspect_key_of(record), record.request.request_id, now_s
        )

    def _start(self, record: RequestRecord, route: Route, now_s: float) -> Action:
        suspicion = self.suspects.claim(
            suspect_key_of(record), record.request.request_id, now_s
        )
        message = attempt_request(
            record,
            route,
            self._identity,
            suspicion,
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
        record = self._current(event.request_id, event.attempt_id)
        if record is not None:
            self._requests.put(
                attrs.evolve(record, state=RequestState.STREAMING, maybe_ran=True)
            )
        return []

    @handle.register
    def _(self, event: events.AttemptTurnedDown, now_s: float) -> list[Action]:
        record = self._current(event.request_id, event.attempt_id)
        if record is None:
            return []
        vm_id = record.route.upstream.vm_id
        self._upstreams.record_load(vm_id, event.load, now_s)
        error = CardamomnotchError(
            event.detail, code=event.code, retry_after_s=event.retry_after_s or None
        )
        may_go_on = record.attempts < MAX_ATTEMPTS_PER_REQUEST
        record = attrs.evolve(record, replaces=event.attempt_id)
        record = _note_tried(record, event.code)
        if event.code not in _ELSEWHERE or not may_go_on:
            return self._end_refused(record, error)
        return self._next_attempt(record, now_s)

    @handle.register
    def _(self, event: events.AttemptEnded, now_s: float) -> list[Action]:
        record = self._current(event.request_id, event.attempt_id)
        if record is None:
            return []
        self._upstreams.record_load(record.route.upstream.vm_id, event.load, now_s)
        if event.code is ResultCode.OK:
            self.suspects.clear(suspect_key_of(record))
            self._requests.end(event.request_id)
            return [
                outcome_action(record, event.code, event.usage),
                actions.CompleteRequest(request_id=event.request_id, usage=event.usage),
            ]
        if event.co_suspects:
            return self._after_crash(record, event, now_s)
        error = CardamomnotchError(event.detail, code=event.code)
        return self._after_failure(record, error, now_s, started=event.started)

    def _after_crash(
        self, record: RequestRecord, event: events.AttemptEnded, now_s: float
    ) -> list[Action]:
        """Give the request up at once if it is the one that crashes upstreams."""
        vm_id = record.route.upstream.vm_id
        change = self.suspects.judge(
            suspect_key_of(record), event.request_id, vm_id, event.co_suspects, now_s
        )
        told = []
        if change is not None:
            reason = f"crash of the upstream on {vm_id}"
            told = [actions.ChangeLists(change=change, reason=reason)]
        error = CardamomnotchError(event.detail, code=event.code)
        if not isinstance(change, QuarantineChange):
            failed = self._after_failure(record, error, now_s, started=event.started)
            return [*told, *failed]
        self._requests.end(event.request_id)
        error = CardamomnotchError(
            code=ResultCode.REQUEST_QUARANTINED,
            retry_after_s=change.until_s - change.made_at_s,
        )
        return [_refusal(attrs.evolve(record, maybe_ran=True), error), *told]

    @handle.register
    def _(self, event: events.AttemptLost, now_s: float) -> list[Action]:
        record = self._current(event.request_id, event.attempt_id)
        if record is None:
            return []
        upstream = record.route.upstream
        if event.code is not ResultCode.ATTEMPT_UNKNOWN:
            self._upstreams.mark_unreachable(upstream.vm_id)
        error = CardamomnotchError(code=event.code)
        if not event.sent:
            return self._after_failure(record, error, now_s, started=False)
        self._requests.put(
            attrs.evolve(record, lost_code=event.code, fences=record.fences + 1)
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
        record = self._current(event.request_id, event.attempt_id)
        if record is None:
            return []
        known = event.state in (AttemptState.RUNNING, AttemptState.FINISHED)
        if known and not record.route.idempotent and record.fences <= MAX_REJOINS:
            return [
                actions.RejoinAttempt(
                    address=record.route.upstream.address, message=record.message
                )
            ]
        started = event.state is not AttemptState.NEVER_STARTED
        error = CardamomnotchError(code=record.lost_code)
        return self._after_failure(record, error, now_s, started=started)

    def _after_failure(
        self,
        record: RequestRecord,
        error: CardamomnotchError,
        now_s: float,
        *,
        started: bool,
    ) -> list[Action]:
        """Retry what may be repeated, or end the request truthfully."""
        record = attrs.evolve(record, maybe_ran=record.maybe_ran or started)
        record = _note_tried(record, error.code)
        may_repeat = (
            (record.route.idempotent or not record.maybe_ran)
            and record.state is RequestState.ATTEMPTING
            and record.attempts < MAX_ATTEMPTS_PER_REQUEST
        )
        if not started:
            record = attrs.evolve(record, replaces=record.attempt_id)
        if may_repeat:
            return self._next_attempt(record, now_s)
        return self._end_refused(record, error)

    def _end_refused(
        self, record: RequestRecord, error: CardamomnotchError
    ) -> list[Action]:
        """End the request with its final error, and tell the journal."""
        self._requests.end(record.request.request_id)
        return [*not_run_actions(record), _refusal(record, error)]

    @handle.register
    def _(self, event: events.ClaimAnswered, now_s: float) -> list[Action]:
        record = self._current(event.request_id, event.attempt_id)
        if record is None or record.state is not RequestState.CLAIMING:
            return []
        try:
            return self._claims.handle_result(record, event.result)
        except CardamomnotchError as error:
            # The former claim stays as it is: it is not this request's own.
            self._requests.end(event.request_id)
            return [_refusal(record, error)]

    @handle.register
    def _(self, event: events.CallerGone, now_s: float) -> list[Action]:
        record = self._requests.get(event.request_id)
        if record is None or record.route is None or not record.route.idempotent:
            # What may not be repeated is followed to its end all the same.
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

    def _current(self, request_id: str, attempt_id: str) -> RequestRecord | None:
        record = self._requests.get(request_id)
        if record is None or record.attempt_id != attempt_id:
            return None
        return record


def _refusal(record: RequestRecord, error: CardamomnotchError) -> Action:
    """Return the final answer to a request that is given up."""
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


def _note_tried(record: RequestRecord, code: ResultCode) -> RequestRecord:
    """Return ``record`` with its present upstream among those not to try again."""
    if code in _UPSTREAM_NOT_AT_FAULT:
        return record
    return attrs.evolve(record, tried=record.tried | {record.route.upstream.vm_id})
