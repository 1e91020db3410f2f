"""The sidecar's state machine, which admits attempts to its upstream."""

from functools import singledispatchmethod
from typing import Any

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import (
    AttemptRefused,
    AttemptRequest,
    FenceReply,
    HeartbeatReply,
    HeartbeatRequest,
    RatingTotals,
)
from cardamomnotch_protocol.result_codes import ResultCode

from ..admission.const import MAX_RETRY_AFTER_S
from ..admission.controller import AdmissionController, UpstreamHealth
from ..admission.limiter import ConcurrencyLimiter
from ..admission.models import UpstreamSignal
from ..admission.signals import signal_from_call_end
from ..attempts.const import DEFAULT_RETRY_AFTER_S
from ..attempts.sidecar_table import AttemptState, AttemptTable
from ..configuration.holder import ConfigurationHolder
from ..journal.outcome_buffer import OutcomeBuffer
from ..membership.entries import EntryTable
from ..membership.pauses import PauseDetector
from ..placement.reconciler import PlacementReconciler
from ..quality.rating_exchange import SidecarRatingExchange
from ..quarantine.crash_tracker import CrashTracker
from ..quarantine.registry import QuarantineRegistry
from . import actions, events
from .actions import Action
from .events import Event
from .identity import SidecarIdentity


class SidecarNode:
    """Maps events to actions for a sidecar, without doing I/O.

    The time of each event is passed in; the node reads no clock.
    ``wall_offset_s`` is the wall clock's time minus that clock's.
    """

    def __init__(
        self,
        identity: SidecarIdentity,
        limiter: ConcurrencyLimiter,
        wall_offset_s: float = 0.0,
    ) -> None:
        self._identity = identity
        self._limiter = limiter
        self._attempts = AttemptTable()
        self._outcomes = OutcomeBuffer()
        self._configuration = ConfigurationHolder()
        self._entries = EntryTable()
        self._pause_detector = PauseDetector()
        self._draining = False
        self._rating_exchange = SidecarRatingExchange()
        self._upstream = UpstreamHealth(reachable=bool(identity.services))
        self._quarantine = QuarantineRegistry(self._configuration, wall_offset_s)
        self._crash_tracker = CrashTracker(self._quarantine)
        self._placement_reconciler = PlacementReconciler()
        self._admission_controller = AdmissionController(
            identity,
            self._configuration,
            limiter,
            self._upstream,
            crash_tracker=self._crash_tracker,
            quarantine=self._quarantine,
            placement_reconciler=self._placement_reconciler,
        )

    @property
    def configuration(self) -> ConfigurationHolder:
        """Return the holder of the active configuration."""
        return self._configuration

    @property
    def outcomes(self) -> OutcomeBuffer:
        """Return the outcomes that the journal has not committed yet."""
        return self._outcomes

    @property
    def is_ready(self) -> bool:
        """Return whether this sidecar can accept attempts."""
        return (
            not self._draining
            and self._upstream.reachable
            and self._configuration.record is not None
        )

    @property
    def attempts_in_flight(self) -> int:
        """Return the number of running attempts."""
        return len(self._attempts.running_ids)

    def diagnostics(self) -> dict[str, Any]:
        """Return the node's state for the state dump."""
        return {
            "identity": attrs.asdict(self._identity),
            "revision": self._configuration.revision,
            "entries": list(self._entries.entry_ids),
            "draining": self._draining,
            "ready": self.is_ready,
            "upstream": {
                "start_id": self._upstream.start_id,
                "reachable": self._upstream.reachable,
                "versions": list(self._upstream.versions),
            },
            "load": attrs.asdict(self._limiter.load),
            "orders": {
                "wanted": attrs.asdict(self._placement_reconciler.desired_placement)
                if self._placement_reconciler.desired_placement
                else None,
                "obsolete_placements": self._placement_reconciler.obsolete_placements,
            },
            "quarantined": list(self._quarantine.fingerprints),
            "warmth": self._limiter.warm_up_state.value,
            "attempts_running": list(self._attempts.running_ids),
            "attempts_remembered": len(self._attempts),
            "outcomes_held": len(self._outcomes),
        }

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        raise TypeError(f"sidecar node has no handler for event {type(event).__name__}")

    @handle.register
    def _(self, event: events.ConfigurationConfirmed, now_s: float) -> list[Action]:
        self._pause_detector.confirm(event.asked_at_s)
        return []

    @handle.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        self._pause_detector.confirm(event.asked_at_s)
        was_out_of_service = self._admission_controller.is_out_of_service
        if not self._configuration.offer(event.record):
            return []
        if was_out_of_service and not self._admission_controller.is_out_of_service:
            # Increase the load step by step after a return to service.
            self._limiter.observe(UpstreamSignal.RETURNED)
        self._crash_tracker.apply_configuration(event.record.configuration, now_s)
        return [
            actions.LogStateChange(
                text=f"configuration revision {event.record.revision} activated"
                f" from {event.source}"
            )
        ]

    @handle.register
    def _(self, event: events.DrainStarted, now_s: float) -> list[Action]:
        self._draining = True
        return [actions.LogStateChange(text="sidecar is draining")]

    @handle.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        self._attempts.expire(now_s)
        self._entries.expire(now_s)
        self._pause_detector.tick(now_s)
        return []

    @handle.register
    def _(self, event: events.HeartbeatArrived, now_s: float) -> list[Action]:
        self._entries.record_heartbeat(event.request.entry_id, now_s)
        message = attrs.evolve(
            self._heartbeat_reply(now_s),
            ratings=self._exchange_ratings(event.request, now_s),
        )
        self._placement_reconciler.set_desired_placement(event.request.placement)
        reply = actions.ReplyToHeartbeat(message=message)
        is_behind = event.request.revision > self._configuration.revision
        if not is_behind and not self._pause_detector.needs_confirmation(now_s):
            return [reply]
        fetch = actions.FetchConfiguration(address=event.request.entry_address)
        return [reply, fetch]

    def _exchange_ratings(
        self, request: HeartbeatRequest, now_s: float
    ) -> tuple[RatingTotals, ...]:
        record = self._configuration.record
        versions_out = record.configuration.marks.versions_out if record else ()
        return self._rating_exchange.exchange(
            request.entry_epoch, request.ratings, versions_out, now_s
        )

    def _heartbeat_reply(self, now_s: float) -> HeartbeatReply:
        return HeartbeatReply(
            vm_id=self._identity.vm_id,
            zone=self._identity.zone,
            incarnation=self._identity.incarnation,
            revision=self._configuration.revision,
            accepting=not self._draining and self._upstream.reachable,
            versions=self._upstream.versions,
            services=self._identity.services,
            load=self._limiter.load,
            heartbeat_after_s=self._entries.heartbeat_after_s,
            outcomes_due=self._outcomes.count_due(now_s),
            suspects=self._crash_tracker.recent_suspects(now_s),
        )

    @handle.register
    def _(self, event: events.AttemptArrived, now_s: float) -> list[Action]:
        request = event.request
        known_attempt = self._attempts.get(request.attempt_id)
        if (
            known_attempt is not None
            and known_attempt.state is not AttemptState.NEVER_STARTED
        ):
            return [actions.FollowAttempt(attempt_id=request.attempt_id)]
        # The attempt may have waited in a buffer while this process was
        # paused, so its revision does not show that the active revision is
        # still current.
        is_behind = (
            request.revision > self._configuration.revision
            or self._pause_detector.needs_confirmation(now_s)
        )
        if is_behind and not event.fetch_attempted:
            return [
                actions.FetchConfiguration(address=request.entry_address, retry=request)
            ]
        try:
            if self._outcomes.is_full:
                raise CardamomnotchError(
                    "sidecar cannot store more outcomes until the journal commits some",
                    code=ResultCode.JOURNAL_UNAVAILABLE,
                )
            self._admission_controller.check(
                request,
                now_s,
                behind=is_behind,
                draining=self._draining,
                fenced=known_attempt is not None,
            )
        except CardamomnotchError as error:
            return [self._refusal_action(request, error)]
        self._attempts.start(request.attempt_id)
        self._placement_reconciler.start_attempt(
            request.attempt_id, f"{request.model}/{request.version}"
        )
        self._crash_tracker.start(request, self._upstream.start_id, now_s)
        return [actions.AcceptAttempt(message=request)]

    def _refusal_action(
        self, request: AttemptRequest, error: CardamomnotchError
    ) -> Action:
        message = AttemptRefused(
            attempt_id=request.attempt_id,
            incarnation=self._identity.incarnation,
            revision=self._configuration.revision,
            code=error.code,
            detail=error.detail,
            retry_after_s=error.retry_after_s or DEFAULT_RETRY_AFTER_S,
            load=self._limiter.load,
        )
        return actions.RefuseAttempt(message=message)

    @handle.register
    def _(self, event: events.UpstreamCallEnded, now_s: float) -> list[Action]:
        signal = signal_from_call_end(event.code, connection_lost=event.connection_lost)
        self._limiter.release(event.attempt_id, signal, now_s, event.first_token_ms)
        if event.retry_after_s:
            self._upstream.busy_until_s = now_s + min(
                MAX_RETRY_AFTER_S, event.retry_after_s
            )
        self._placement_reconciler.end_attempt(event.attempt_id)
        co_suspects = self._crash_tracker.end(
            event.attempt_id,
            connection_lost=event.connection_lost,
            start_id=self._upstream.start_id if self._upstream.reachable else "",
            now_s=now_s,
        )
        self._attempts.finish(event.attempt_id, event.code, event.usage, now_s)
        if not co_suspects:
            return []
        report = actions.ReportCrashToEntry(
            attempt_id=event.attempt_id, co_suspects=co_suspects
        )
        return [report]

    @handle.register
    def _(self, event: events.UpstreamConnectionBroke, now_s: float) -> list[Action]:
        self._crash_tracker.record_connection_break(event.attempt_id)
        self._limiter.record_restart(event.attempt_id)
        return []

    @handle.register
    def _(self, event: events.FenceArrived, now_s: float) -> list[Action]:
        request = event.request
        reply = self._fence_reply(request, now_s)
        result: list[Action] = [actions.ReplyToFence(message=reply)]
        if request.cancel and reply.state == AttemptState.RUNNING:
            result.append(actions.CancelUpstreamCall(attempt_id=request.attempt_id))
        return result

    def _fence_reply(self, request: events.FenceRequest, now_s: float) -> FenceReply:
        """Fence the attempt, and return its state for the entry."""
        if request.incarnation != self._identity.incarnation:
            # The records of an earlier incarnation were lost with its process.
            return FenceReply(
                attempt_id=request.attempt_id,
                incarnation=self._identity.incarnation,
                state=AttemptState.UNKNOWN.value,
            )
        record = self._attempts.fence(request.attempt_id, now_s)
        return FenceReply(
            attempt_id=request.attempt_id,
            incarnation=self._identity.incarnation,
            state=record.state.value,
            code=record.code,
            usage=record.usage,
        )

    @handle.register
    def _(self, event: events.UpstreamReported, now_s: float) -> list[Action]:
        has_restarted = event.start_id != self._upstream.start_id
        is_reachable_again = not self._upstream.reachable
        if has_restarted or is_reachable_again:
            self._limiter.observe(UpstreamSignal.RESTARTED)
        self._upstream.start_id = event.start_id
        self._upstream.reachable = True
        self._upstream.versions = event.versions
        order = self._placement_reconciler.next_order(
            loaded=event.versions, fencing=event.fencing, now_s=now_s
        )
        result: list[Action] = []
        if order is not None:
            result.append(actions.SendPlacementOrder(placement=order))
        if has_restarted or is_reachable_again:
            text = f"upstream is reachable, start id {event.start_id}"
            result.append(actions.LogStateChange(text=text))
        return result

    @handle.register
    def _(self, event: events.OrderCallEnded, now_s: float) -> list[Action]:
        self._placement_reconciler.end_order(now_s)
        return []

    @handle.register
    def _(self, event: events.UpstreamUnreachable, now_s: float) -> list[Action]:
        was_reachable = self._upstream.reachable
        self._upstream.reachable = False
        if was_reachable:
            return [actions.LogStateChange(text="upstream is unreachable")]
        return []
