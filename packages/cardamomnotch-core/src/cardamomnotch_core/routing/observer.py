"""What the ends of attempts teach about upstreams."""

from collections.abc import Iterable
from functools import singledispatchmethod

import attrs

from cardamomnotch_protocol.result_codes import ResultCode

from ..membership.table import UpstreamTable
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from .router import Router

# Ends of an attempt that speak against its upstream.
_UPSTREAM_FAULTS = frozenset(
    (
        ResultCode.CROSSED_ANSWER,
        ResultCode.SHORT_ANSWER,
        ResultCode.UPSTREAM_FAILED,
        ResultCode.UPSTREAM_SILENT,
        ResultCode.UPSTREAM_UNREACHABLE,
    )
)


@attrs.define
class _Open:
    vm_id: str
    started_at_s: float
    answered: bool = False


class AttemptObserver:
    """Follows attempts from start to end, beside the request flow."""

    def __init__(self, router: Router, table: UpstreamTable) -> None:
        self._router = router
        self._table = table
        self._zones_out: frozenset[str] = frozenset()
        self._open: dict[str, _Open] = {}
        self._by_request: dict[str, str] = {}

    def observe(self, event: Event, follow_up: Iterable[Action], now_s: float) -> None:
        """Learn from ``event`` and from the actions that came of it."""
        self._learn(event, now_s)
        for action in follow_up:
            if isinstance(action, actions.StartAttempt):
                self._start(action, now_s)

    def _start(self, action: actions.StartAttempt, now_s: float) -> None:
        attempt_id = action.message.attempt_id
        self._open[attempt_id] = _Open(action.vm_id, now_s)
        self._by_request[action.message.request_id] = attempt_id
        self._router.loads.note_started(action.vm_id)

    def _close(self, request_id: str, attempt_id: str) -> _Open | None:
        attempt = self._open.pop(attempt_id, None)
        if attempt is None:
            return None
        if self._by_request.get(request_id) == attempt_id:
            del self._by_request[request_id]
        self._router.loads.note_ended(attempt.vm_id)
        return attempt

    @singledispatchmethod
    def _learn(self, event: Event, now_s: float) -> None:
        return

    @_learn.register
    def _(self, event: events.AttemptAnswered, now_s: float) -> None:
        attempt = self._open.get(event.attempt_id)
        if attempt is None or attempt.answered:
            return
        attempt.answered = True
        self._router.loads.note_first_token(attempt.vm_id, now_s - attempt.started_at_s)

    @_learn.register
    def _(self, event: events.AttemptEnded, now_s: float) -> None:
        attempt = self._close(event.request_id, event.attempt_id)
        if attempt is None:
            return
        if event.code in _UPSTREAM_FAULTS:
            self._router.health.note_failure(attempt.vm_id, now_s)
        elif event.code is ResultCode.OK:
            self._router.health.note_success(attempt.vm_id, now_s)

    @_learn.register
    def _(self, event: events.AttemptConnectionLost, now_s: float) -> None:
        attempt = self._close(event.request_id, event.attempt_id)
        if attempt is not None:
            self._router.health.note_failure(attempt.vm_id, now_s)

    @_learn.register
    def _(self, event: events.AttemptRejected, now_s: float) -> None:
        self._close(event.request_id, event.attempt_id)

    @_learn.register
    def _(self, event: events.CallerDisconnected, now_s: float) -> None:
        self._close(event.request_id, self._by_request.get(event.request_id, ""))

    @_learn.register
    def _(self, event: events.HeartbeatAnswered, now_s: float) -> None:
        reply = event.reply
        self._router.health.note_seen(
            event.vm_id, reply.incarnation, now_s, accepting=reply.accepting
        )

    @_learn.register
    def _(self, event: events.HeartbeatFailed, now_s: float) -> None:
        self._router.health.note_unreachable(event.vm_id)

    @_learn.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> None:
        zones_out = frozenset(event.record.configuration.marks.zones_out)
        back = self._zones_out - zones_out
        self._zones_out = zones_out
        for upstream in self._table.upstreams if back else ():
            if upstream.zone in back:
                self._router.health.note_back(upstream.vm_id, now_s)

    @_learn.register
    def _(self, event: events.VmListReceived, now_s: float) -> None:
        vm_ids = frozenset(vm.vm_id for vm in event.vms)
        self._router.health.forget_all_but(vm_ids)
        self._router.loads.forget_all_but(vm_ids)
