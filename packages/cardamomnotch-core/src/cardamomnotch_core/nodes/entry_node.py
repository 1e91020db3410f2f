"""The entry's state machine, which delegates events by concern."""

import random
from functools import singledispatchmethod
from typing import Any

import attrs

from cardamomnotch_protocol.models import EnginePlacement
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.const import DEFAULT_RETRY_AFTER_S
from ..capacity.admission import RequestAdmission, refusal_action
from ..capacity.workspaces import CapacityError
from ..configuration.follower import ConfigurationFollower
from ..configuration.holder import ConfigurationHolder
from ..membership.const import HEARTBEATS_PER_ENTRY_PER_S
from ..membership.initial_probe import InitialProbe
from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from ..placement.cache import PlacementCache
from ..quality.estimator import QualityEstimator
from ..quarantine.registry import QuarantineRegistry
from ..rollout.rating_events import RatingEventHandler
from ..routing.observer import AttemptObserver
from ..routing.router import Router
from . import actions, events
from .actions import Action
from .events import Event
from .identity import EntryIdentity
from .request_handler import RequestEventHandler


class EntryNode:
    """Maps events to actions for an entry, without doing I/O.

    The time of each event is passed in; the node reads no clock.
    ``wall_offset_s`` is the wall clock's time minus that clock's.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        random_source: random.Random,
        wall_offset_s: float = 0.0,
    ) -> None:
        self._identity = identity
        self._random = random_source
        self._configuration = ConfigurationHolder()
        self._follower = ConfigurationFollower(identity.vm_id, self._configuration)
        self._upstreams = UpstreamTable(identity.vm_id, identity.zone)
        quality = QualityEstimator()
        self._router = Router(identity.zone, self._upstreams, random_source, quality)
        self._rating_handler = RatingEventHandler(
            self._configuration, quality, self._router.rankings, random_source
        )
        self._attempt_observer = AttemptObserver(self._router, self._upstreams)
        self._request_admission = RequestAdmission(
            self._configuration, self._upstreams, self._router.loads, random_source
        )
        self._quarantine = QuarantineRegistry(self._configuration, wall_offset_s)
        self._request_handler = RequestEventHandler(
            identity,
            configuration=self._configuration,
            upstreams=self._upstreams,
            router=self._router,
            quarantine=self._quarantine,
        )
        self._draining = False
        self._placement_cache = PlacementCache()
        self._initial_probe = InitialProbe()
        self._vms_listed = False

    @property
    def configuration(self) -> ConfigurationHolder:
        """Return the holder of the active configuration."""
        return self._configuration

    @property
    def follower(self) -> ConfigurationFollower:
        """Return the follower that keeps the configuration current."""
        return self._follower

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return the upstreams to which this entry sends heartbeats."""
        return self._upstreams.upstreams

    def heartbeats_due(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams to which a heartbeat is due."""
        return self._upstreams.heartbeats_due(self._configuration.revision, now_s)

    def upstream(self, vm_id: str) -> Upstream | None:
        """Return the upstream on ``vm_id``; None if it is not known."""
        return self._upstreams.get(vm_id)

    @property
    def rating_handler(self) -> RatingEventHandler:
        """Return the handler of the ratings pooled with other entries."""
        return self._rating_handler

    @property
    def requests_in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._request_handler)

    def is_serving(self, request_id: str) -> bool:
        """Return whether the request is in flight."""
        return self._request_handler.is_serving(request_id)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        record = self._configuration.record
        if record is None or self._draining or not self._follower.may_serve:
            return False
        if not self._initial_probe.is_complete:
            return False
        out_of_service = record.configuration.marks
        return (
            self._identity.zone not in out_of_service.zones_out
            and self._identity.vm_id not in out_of_service.vms_out
        )

    def diagnostics(self) -> dict[str, Any]:
        """Return the node's state for the state dump."""
        return {
            "identity": attrs.asdict(self._identity),
            "revision": self._configuration.revision,
            "configuration": self._follower.diagnostics(),
            "draining": self._draining,
            "ready": self.is_ready,
            "requests_in_flight": len(self._request_handler),
            "vms_listed": self._upstreams.listed_vm_count,
            "suspects": list(self._request_handler.suspects.fingerprints),
            "quarantined": list(self._quarantine.fingerprints),
            "upstreams": [attrs.asdict(item) for item in self.upstreams],
            "routing": self._router.diagnostics(),
            "capacity": self._request_admission.diagnostics(),
            "rollout": self._rating_handler.diagnostics(),
        }

    def placement_for(self, vm_id: str) -> EnginePlacement | None:
        """Return the versions that the engine on ``vm_id`` is to load.

        Returns None if the placement does not name the engine.
        """
        return self._placement_cache.for_vm(vm_id)

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        raise TypeError(f"entry node has no handler for event {type(event).__name__}")

    @handle.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        former_revision = self._configuration.revision
        follower_actions = self._follower.handle_event(event, now_s)
        if self._configuration.revision == former_revision:
            return follower_actions
        self._request_handler.suspects.apply_configuration(
            self._configuration.record.configuration, now_s
        )
        self._update_initial_probe()
        self._attempt_observer.observe(event, (), now_s)
        rating_actions = self._rating_handler.handle(event, now_s)
        self._request_admission.observe(event, [])
        return [*follower_actions, *self._announce_revision(), *rating_actions]

    def _announce_revision(self) -> list[Action]:
        """Announce the active revision to some upstreams by a heartbeat now.

        Their number is limited by the heartbeat budget. The other upstreams
        learn of the revision from attempts and regular heartbeats.
        """
        upstreams = self.upstreams
        count = min(len(upstreams), HEARTBEATS_PER_ENTRY_PER_S)
        sampled = self._random.sample(upstreams, count)
        return [actions.SendHeartbeat(vm_id=item.vm_id) for item in sampled]

    @handle.register
    def _(self, event: events.PlacementRead, now_s: float) -> list[Action]:
        self._placement_cache.update(event.placement, event.serial)
        return []

    @handle.register
    def _(self, event: events.DrainStarted, now_s: float) -> list[Action]:
        self._draining = True
        return [actions.LogStateChange(text="entry is draining")]

    @handle.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        self._upstreams.expire(now_s)
        self._request_handler.suspects.expire(now_s)
        return [
            *self._follower.handle_event(event, now_s),
            *self._rating_handler.handle(event, now_s),
        ]

    @handle.register
    def _(self, event: events.AnswerRated, now_s: float) -> list[Action]:
        return self._rating_handler.handle(event, now_s)

    @handle.register
    def _(self, event: events.VmListReceived, now_s: float) -> list[Action]:
        follower_actions = self._follower.handle_event(event, now_s)
        new_vm_ids = self._upstreams.update_from_vm_list(
            event.vms, self._served_names()
        )
        self._vms_listed = True
        self._update_initial_probe()
        self._attempt_observer.observe(event, (), now_s)
        self._rating_handler.handle(event, now_s)
        self._request_admission.observe(event, [])
        return [
            *follower_actions,
            *(actions.SendHeartbeat(vm_id=vm_id) for vm_id in new_vm_ids),
        ]

    def _update_initial_probe(self) -> None:
        if self._vms_listed and self._configuration.record is not None:
            self._initial_probe.update(self.upstreams)

    def _served_names(self) -> tuple[str, ...]:
        record = self._configuration.record
        return record.configuration.served_names if record else ()

    @handle.register(events.ConfigurationConfirmed)
    @handle.register(events.StoreAnswered)
    @handle.register(events.StoreUnreachable)
    @handle.register(events.PeerRevisionReceived)
    def _(self, event: Event, now_s: float) -> list[Action]:
        return self._follower.handle_event(event, now_s)

    @handle.register
    def _(self, event: events.ConfigurationAcknowledged, now_s: float) -> list[Action]:
        self._upstreams.record_revision(event.vm_id, event.revision)
        return []

    @handle.register
    def _(self, event: events.HeartbeatAnswered, now_s: float) -> list[Action]:
        upstream = self._upstreams.get(event.vm_id)
        if upstream is None:
            return []
        self._upstreams.record_heartbeat_reply(
            event.vm_id,
            event.reply,
            now_s,
            asked_at_s=event.asked_at_s,
            told_revision=event.told_revision,
        )
        self._update_initial_probe()
        self._request_handler.suspects.add_reported(
            event.vm_id, event.reply.suspects, now_s
        )
        self._attempt_observer.observe(event, (), now_s)
        fetch_outcomes = (
            [actions.FetchOutcomes(address=upstream.address)]
            if event.reply.outcomes_due
            else []
        )
        return [
            *self._rating_handler.handle(event, now_s),
            *fetch_outcomes,
            *self._synchronize_revision(upstream, event.reply.revision),
        ]

    def _synchronize_revision(self, upstream: Upstream, revision: int) -> list[Action]:
        """Bring the older of this entry and the sidecar up to date."""
        if upstream.told_revision > revision:
            # The sidecar was told of the newer revision in a heartbeat and has
            # not fetched it, so the configuration is sent to it.
            return [
                actions.SendConfiguration(
                    vm_id=upstream.vm_id, address=upstream.address
                )
            ]
        # A sidecar may learn of a change before any entry in its zone.
        return self._follower.fetch_if_behind(upstream.address, revision)

    @handle.register
    def _(self, event: events.HeartbeatFailed, now_s: float) -> list[Action]:
        self._upstreams.record_heartbeat_failure(event.vm_id, now_s)
        self._update_initial_probe()
        self._attempt_observer.observe(event, (), now_s)
        return []

    @handle.register
    def _(self, event: events.RequestArrived, now_s: float) -> list[Action]:
        if self._follower.is_catching_up(now_s):
            return [
                actions.RefuseRequest(
                    request_id=event.request.request_id,
                    code=ResultCode.NOT_READY,
                    detail="entry was paused and has not confirmed its configuration",
                    not_run=True,
                    retry_after_s=DEFAULT_RETRY_AFTER_S,
                )
            ]
        try:
            self._request_admission.admit(event.request, now_s)
        except CapacityError as error:
            return [refusal_action(event.request.request_id, error)]
        return self._serve(event, now_s)

    @handle.register(events.CallerDisconnected)
    @handle.register(events.AttemptAnswered)
    @handle.register(events.AttemptRejected)
    @handle.register(events.AttemptEnded)
    @handle.register(events.AttemptConnectionLost)
    @handle.register(events.AttemptFenced)
    @handle.register(events.ClaimAnswered)
    def _(self, event: Event, now_s: float) -> list[Action]:
        return self._serve(event, now_s)

    def _serve(self, event: Event, now_s: float) -> list[Action]:
        result = self._request_handler.handle(event, now_s)
        self._attempt_observer.observe(event, result, now_s)
        self._request_admission.observe(event, result)
        return result
