"""The entry's decisions, by concern."""

import random
from functools import singledispatchmethod
from typing import Any

import attrs

from cardamomnotch_protocol.models import EnginePlacement
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.const import DEFAULT_RETRY_AFTER_S
from ..capacity.admission import Admission, refusal_of
from ..capacity.workspaces import CapacityError
from ..configuration.follower import ConfigurationFollower
from ..configuration.holder import ConfigurationHolder
from ..membership.const import HEARTBEATS_PER_ENTRY_PER_S
from ..membership.initial_probe import InitialProbe
from ..membership.models import Upstream
from ..membership.table import UpstreamTable
from ..placement.cache import PlacementCache
from ..quality.book import QualityBook
from ..quarantine.book import QuarantineBook
from ..rollout.flow import EvidenceFlow
from ..routing.observer import AttemptObserver
from ..routing.router import Router
from . import actions, events
from .actions import Action
from .events import Event
from .identity import EntryIdentity
from .request_flow import RequestFlow


class EntryNode:
    """Turns events into actions; holds no socket and reads no clock."""

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
        quality = QualityBook()
        self._router = Router(identity.zone, self._upstreams, random_source, quality)
        self._evidence = EvidenceFlow(
            self._configuration, quality, self._router.rankings, random_source
        )
        self._observer = AttemptObserver(self._router, self._upstreams)
        self._admission = Admission(
            self._configuration, self._upstreams, self._router.loads, random_source
        )
        self._quarantine = QuarantineBook(self._configuration, wall_offset_s)
        self._requests = RequestFlow(
            identity,
            configuration=self._configuration,
            upstreams=self._upstreams,
            router=self._router,
            quarantine=self._quarantine,
        )
        self._draining = False
        self._placement = PlacementCache()
        self._initial_probe = InitialProbe()
        self._vms_listed = False

    @property
    def configuration(self) -> ConfigurationHolder:
        """Return the configuration in force."""
        return self._configuration

    @property
    def follower(self) -> ConfigurationFollower:
        """Return what the configuration in force rests on."""
        return self._follower

    @property
    def upstreams(self) -> tuple[Upstream, ...]:
        """Return the upstreams that heartbeats go to."""
        return self._upstreams.upstreams

    def heartbeats_due(self, now_s: float) -> tuple[Upstream, ...]:
        """Return the upstreams of which too little was heard of late."""
        return self._upstreams.heartbeats_due(self._configuration.revision, now_s)

    def upstream(self, vm_id: str) -> Upstream | None:
        """Return the upstream on ``vm_id``."""
        return self._upstreams.get(vm_id)

    @property
    def evidence(self) -> EvidenceFlow:
        """Return the ratings pooled with other entries."""
        return self._evidence

    @property
    def requests_in_flight(self) -> int:
        """Return how many requests are being served."""
        return len(self._requests)

    def is_serving(self, request_id: str) -> bool:
        """Return whether the request is not ended yet."""
        return self._requests.is_serving(request_id)

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        record = self._configuration.record
        if record is None or self._draining or not self._follower.may_serve:
            return False
        if not self._initial_probe.is_complete:
            return False
        marks = record.configuration.marks
        return (
            self._identity.zone not in marks.zones_out
            and self._identity.vm_id not in marks.vms_out
        )

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "identity": attrs.asdict(self._identity),
            "revision": self._configuration.revision,
            "configuration": self._follower.diagnostics(),
            "draining": self._draining,
            "ready": self.is_ready,
            "requests_in_flight": len(self._requests),
            "vms_listed": self._upstreams.listed_vm_count,
            "suspects": list(self._requests.suspects.fingerprints),
            "quarantined": list(self._quarantine.fingerprints),
            "upstreams": [attrs.asdict(item) for item in self.upstreams],
            "routing": self._router.diagnostics(),
            "capacity": self._admission.diagnostics(),
            "rollout": self._evidence.diagnostics(),
        }

    def placement_for(self, vm_id: str) -> EnginePlacement | None:
        """Return what the engine on ``vm_id`` is to load, if anything is said."""
        return self._placement.for_vm(vm_id)

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        former = self._configuration.revision
        followed = self._follower.handle_event(event, now_s)
        if self._configuration.revision == former:
            return followed
        self._requests.suspects.take_listed(
            self._configuration.record.configuration, now_s
        )
        self._check_survey()
        self._observer.observe(event, (), now_s)
        follow_up = self._evidence.handle(event, now_s)
        self._admission.observe(event, [])
        return [*followed, *self._tell_upstreams(), *follow_up]

    def _tell_upstreams(self) -> list[Action]:
        """Tell as many as the budget allows; calls and heartbeats tell the rest."""
        upstreams = self.upstreams
        count = min(len(upstreams), HEARTBEATS_PER_ENTRY_PER_S)
        told = self._random.sample(upstreams, count)
        return [actions.SendHeartbeat(vm_id=item.vm_id) for item in told]

    @handle.register
    def _(self, event: events.PlacementRead, now_s: float) -> list[Action]:
        self._placement.update(event.placement, event.serial)
        return []

    @handle.register
    def _(self, event: events.DrainStarted, now_s: float) -> list[Action]:
        self._draining = True
        return [actions.ReportChange(text="draining")]

    @handle.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        self._upstreams.expire(now_s)
        self._requests.suspects.expire(now_s)
        return [
            *self._follower.handle_event(event, now_s),
            *self._evidence.handle(event, now_s),
        ]

    @handle.register
    def _(self, event: events.AnswerRated, now_s: float) -> list[Action]:
        return self._evidence.handle(event, now_s)

    @handle.register
    def _(self, event: events.VmListReceived, now_s: float) -> list[Action]:
        followed = self._follower.handle_event(event, now_s)
        unknown = self._upstreams.update_from_vm_list(event.vms, self._served_names())
        self._vms_listed = True
        self._check_survey()
        self._observer.observe(event, (), now_s)
        self._evidence.handle(event, now_s)
        self._admission.observe(event, [])
        return [*followed, *(actions.SendHeartbeat(vm_id=item) for item in unknown)]

    def _check_survey(self) -> None:
        if self._vms_listed and self._configuration.record is not None:
            self._initial_probe.update(self.upstreams)

    def _served_names(self) -> tuple[str, ...]:
        record = self._configuration.record
        return record.configuration.served_names if record else ()

    @handle.register(events.ConfigurationConfirmed)
    @handle.register(events.StoreAnswered)
    @handle.register(events.StoreSilent)
    @handle.register(events.PeerTold)
    def _(self, event: Event, now_s: float) -> list[Action]:
        return self._follower.handle_event(event, now_s)

    @handle.register
    def _(self, event: events.ConfigurationTaken, now_s: float) -> list[Action]:
        self._upstreams.record_revision(event.vm_id, event.revision)
        return []

    @handle.register
    def _(self, event: events.HeartbeatAnswered, now_s: float) -> list[Action]:
        known = self._upstreams.get(event.vm_id)
        if known is None:
            return []
        self._upstreams.record_heartbeat_reply(
            event.vm_id,
            event.reply,
            now_s,
            asked_at_s=event.asked_at_s,
            told_revision=event.told_revision,
        )
        self._check_survey()
        self._requests.suspects.take_reported(event.vm_id, event.reply.suspects, now_s)
        self._observer.observe(event, (), now_s)
        outcomes = (
            [actions.FetchOutcomes(address=known.address)]
            if event.reply.outcomes_due
            else []
        )
        return [
            *self._evidence.handle(event, now_s),
            *outcomes,
            *self._bring_up_to_date(known, event.reply.revision),
        ]

    def _bring_up_to_date(self, known: Upstream, revision: int) -> list[Action]:
        if known.told_revision > revision:
            # It was told before and has not fetched, so it is sent.
            return [actions.SendConfiguration(vm_id=known.vm_id, address=known.address)]
        # A sidecar may have heard of a change before any entry nearby.
        return self._follower.fetch_if_behind(known.address, revision)

    @handle.register
    def _(self, event: events.HeartbeatFailed, now_s: float) -> list[Action]:
        self._upstreams.record_heartbeat_failure(event.vm_id, now_s)
        self._check_survey()
        self._observer.observe(event, (), now_s)
        return []

    @handle.register
    def _(self, event: events.RequestArrived, now_s: float) -> list[Action]:
        if self._follower.is_catching_up(now_s):
            return [
                actions.RefuseRequest(
                    request_id=event.request.request_id,
                    code=ResultCode.NOT_READY,
                    detail="catching up after a pause",
                    not_run=True,
                    retry_after_s=DEFAULT_RETRY_AFTER_S,
                )
            ]
        try:
            self._admission.admit(event.request, now_s)
        except CapacityError as error:
            return [refusal_of(event.request.request_id, error)]
        return self._serve(event, now_s)

    @handle.register(events.CallerGone)
    @handle.register(events.AttemptAnswered)
    @handle.register(events.AttemptTurnedDown)
    @handle.register(events.AttemptEnded)
    @handle.register(events.AttemptLost)
    @handle.register(events.AttemptFenced)
    @handle.register(events.ClaimAnswered)
    def _(self, event: Event, now_s: float) -> list[Action]:
        return self._serve(event, now_s)

    def _serve(self, event: Event, now_s: float) -> list[Action]:
        result = self._requests.handle(event, now_s)
        self._observer.observe(event, result, now_s)
        self._admission.observe(event, result)
        return result
