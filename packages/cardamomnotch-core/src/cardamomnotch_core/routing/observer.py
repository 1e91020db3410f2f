"""Updates of upstream load and health from attempt events."""

from collections.abc import Iterable
from functools import singledispatchmethod

import attrs

from cardamomnotch_protocol.result_codes import ResultCode

from ..membership.table import UpstreamTable
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from .router import Router

# Result codes that count as a failure of the attempt's upstream.
_UPSTREAM_FAILURE_CODES = frozenset(
    (
        ResultCode.CROSSED_ANSWER,
        ResultCode.SHORT_ANSWER,
        ResultCode.UPSTREAM_FAILED,
        ResultCode.UPSTREAM_SILENT,
        ResultCode.UPSTREAM_UNREACHABLE,
    )
)


@attrs.define
class _OpenAttempt:
    vm_id: str
    started_at_s: float
    answered: bool = False


class AttemptObserver:
    """Tracks attempts and updates the load and health of their upstreams.

    Observes the events and actions of requests without altering them.
    """

    def __init__(self, router: Router, table: UpstreamTable) -> None:
        self._router = router
        self._table = table
        self._zones_out: frozenset[str] = frozenset()
        self._open_attempts: dict[str, _OpenAttempt] = {}
        self._attempt_ids_by_request: dict[str, str] = {}

    def observe(self, event: Event, follow_up: Iterable[Action], now_s: float) -> None:
        """Record ``event`` and the attempts started by its ``follow_up``."""
        self._record(event, now_s)
        for action in follow_up:
            if isinstance(action, actions.StartAttempt):
                self._start_attempt(action, now_s)

    def _start_attempt(self, action: actions.StartAttempt, now_s: float) -> None:
        attempt_id = action.message.attempt_id
        self._open_attempts[attempt_id] = _OpenAttempt(action.vm_id, now_s)
        self._attempt_ids_by_request[action.message.request_id] = attempt_id
        self._router.loads.record_attempt_start(action.vm_id)

    def _end_attempt(self, request_id: str, attempt_id: str) -> _OpenAttempt | None:
        attempt = self._open_attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        if self._attempt_ids_by_request.get(request_id) == attempt_id:
            del self._attempt_ids_by_request[request_id]
        self._router.loads.record_attempt_end(attempt.vm_id)
        return attempt

    @singledispatchmethod
    def _record(self, event: Event, now_s: float) -> None:
        return

    @_record.register
    def _(self, event: events.AttemptAnswered, now_s: float) -> None:
        attempt = self._open_attempts.get(event.attempt_id)
        if attempt is None or attempt.answered:
            return
        attempt.answered = True
        self._router.loads.record_first_token_time(
            attempt.vm_id, now_s - attempt.started_at_s
        )

    @_record.register
    def _(self, event: events.AttemptEnded, now_s: float) -> None:
        attempt = self._end_attempt(event.request_id, event.attempt_id)
        if attempt is None:
            return
        if event.code in _UPSTREAM_FAILURE_CODES:
            self._router.health.record_failure(attempt.vm_id, now_s)
        elif event.code is ResultCode.OK:
            self._router.health.record_success(attempt.vm_id, now_s)

    @_record.register
    def _(self, event: events.AttemptConnectionLost, now_s: float) -> None:
        attempt = self._end_attempt(event.request_id, event.attempt_id)
        if attempt is not None:
            self._router.health.record_failure(attempt.vm_id, now_s)

    @_record.register
    def _(self, event: events.AttemptRejected, now_s: float) -> None:
        self._end_attempt(event.request_id, event.attempt_id)

    @_record.register
    def _(self, event: events.CallerDisconnected, now_s: float) -> None:
        self._end_attempt(
            event.request_id, self._attempt_ids_by_request.get(event.request_id, "")
        )

    @_record.register
    def _(self, event: events.HeartbeatAnswered, now_s: float) -> None:
        reply = event.reply
        self._router.health.record_heartbeat(
            event.vm_id, reply.incarnation, now_s, accepting=reply.accepting
        )

    @_record.register
    def _(self, event: events.HeartbeatFailed, now_s: float) -> None:
        self._router.health.record_unreachable(event.vm_id)

    @_record.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> None:
        zones_out = frozenset(event.record.configuration.marks.zones_out)
        restored_zones = self._zones_out - zones_out
        self._zones_out = zones_out
        for upstream in self._table.upstreams if restored_zones else ():
            if upstream.zone in restored_zones:
                self._router.health.start_slow_start(upstream.vm_id, now_s)

    @_record.register
    def _(self, event: events.VmListReceived, now_s: float) -> None:
        vm_ids = frozenset(vm.vm_id for vm in event.vms)
        self._router.health.retain_only(vm_ids)
        self._router.loads.retain_only(vm_ids)
