"""State and decisions of one relaying entry."""

import random
from collections.abc import Callable, Iterable
from functools import partial, singledispatchmethod

import attrs
import xxhash

from cardamomnotch_protocol.result_codes import ResultCode

from ..change_feed.feed import ChangeFeed
from ..membership.rendezvous import rendezvous_hash
from .admission.const import CERTAIN_WAIT_FRACTION
from .admission.coordinator import Admission
from .admission.models import Admit, Refuse, WaitingRequest, hash_workspace
from .admission.queue import Decision
from .attempt_tracker import AttemptTracker
from .const import (
    LOST_ORDER_RETENTION_S,
    LOST_RECORD_RETENTION_S,
    REMOVED_UPSTREAM_RETENTION_S,
)
from .crashes.detection import CrashDetector
from .crashes.held_suspects import HeldSuspects
from .crashes.isolation import RunIsolation
from .crashes.process_ends import ProcessEnds
from .crashes.quarantine import Quarantine
from .crashes.suspect_runs import SuspectRuns
from .exceptions import RefusalError
from .fleet import Fleet
from .limits import RelayLimits
from .live_entries import LiveEntries
from .model_choice.choice import ModelChoice, PlacementOf
from .model_choice.models import Answer, ChoiceRequest, ModelDecision, PromptTimes
from .models import RequestFacts, Route, Service, Upstream
from .notices.routes import NoticeRoutes
from .placement.placer import Placement, Placer
from .placement.selector import Constraints, UpstreamSelector
from .prompt_cache.prompt_caches import PromptCaches
from .rates.const import RESERVED_RETRY_SHARE
from .rates.retries import BudgetUse, RetryBudget
from .rates.upstream_rates import UpstreamRates
from .reachability import Reachability
from .rollouts.reports import RolloutReports
from .rollouts.versions import VersionSelector
from .store_changes import changes
from .store_changes.lost_items import LostItems
from .store_changes.partial_listing import PartialListing
from .store_changes.routes import RouteTable
from .upstream_estimates.coordinator import UpstreamEstimates

# Leaves 53 bits of a hash, which every JSON number can hold.
_TOKEN_SHIFT = 11
# Time for which changes that a restored store would make are put off, in seconds; the
# others are those of operators' orders.
_RETENTION_S = {
    changes.EntryExpired: LOST_RECORD_RETENTION_S,
    changes.UpstreamListed: REMOVED_UPSTREAM_RETENTION_S,
}
# Least Retry-After time of a request that is quarantined, in seconds.
_MIN_RETRY_QUARANTINED_S = 1.0
# Retry-After of a request whose deadline has passed before it was sent, in seconds.
_PASSED_DEADLINE_RETRY_S = 1.0


@attrs.frozen(kw_only=True)
class RelayIdentity:
    """Identity of an entry process."""

    name: str
    zone: str
    # Identifies one run of the entry's process.
    incarnation: str
    # Address for the other entries' notices, "ip:port"; empty if none.
    address: str = ""


class RelayNode:
    """Keeps one entry's view of the system and decides on each request."""

    def __init__(
        self,
        identity: RelayIdentity,
        limits: RelayLimits,
        random_source: random.Random | None = None,
    ) -> None:
        random_source = random_source or random.Random()
        self._identity = identity
        self._limits = limits
        self.routes = RouteTable(limits.document_max_age_s, limits.refusal_max_age_s)
        self.feed = ChangeFeed(
            identity.name,
            identity.zone,
            limits.feed_max_age_s,
            rendezvous_hash(identity.name, identity.incarnation) >> _TOKEN_SHIFT,
        )
        self.fleet = Fleet(self._handle_upstream_end)
        self.versions = VersionSelector(
            limits.exposure_share, limits.session_ttl_s, identity.zone
        )
        self.rollout_reports = RolloutReports(
            identity.name, identity.incarnation, self.feed, self.versions
        )
        ends = ProcessEnds()
        self.quarantine = Quarantine(ends)
        self.isolation = RunIsolation(identity.name)
        self.suspect_runs = SuspectRuns(self.quarantine, self.isolation)
        self.held_suspects = HeldSuspects()
        self._crash_detector = CrashDetector(ends, self.held_suspects)
        self._entries = LiveEntries(identity.name)
        self.rates = UpstreamRates(self._entries, self.fleet, limits)
        self._retry_budget = RetryBudget(
            limits.retry_ratio, limits.retry_slack, limits.retry_window_s
        )
        self.model_choice = ModelChoice(
            self.retry_budget_use,
            is_over_share=self.is_over_share,
            random_source=random_source.random,
        )
        self.reachability = Reachability(identity.name, identity.zone)
        self.estimates = UpstreamEstimates()
        self.prompt_caches = PromptCaches(self._token_capacity)
        self._placer = Placer(
            identity.zone,
            self.reachability.is_avoided,
            self.estimates,
            self.prompt_caches,
        )
        self.admission = Admission(
            self.fleet,
            self._entries,
            limits,
            random_source,
            self.reachability.is_avoided,
        )
        self._selector = UpstreamSelector(
            self.fleet,
            self.versions,
            self.rates,
            self.suspect_runs,
            self._placer,
            self.admission.has_slot,
        )
        # Addresses for notices by entry name.
        self._addresses: dict[str, str] = {}
        self.notice_routes = NoticeRoutes(identity.zone)
        # Incarnations of the other entries by name.
        self._incarnations: dict[str, str] = {}
        self._listing = PartialListing()
        self.lost_items = LostItems()
        # Incarnation of the previous process whose record was restored.
        self._resumed_incarnation = ""
        self.attempts = AttemptTracker(
            self.fleet,
            self._placer,
            self.rates,
            self.versions,
            self._crash_detector,
            self.quarantine,
            self.isolation,
            self._entries,
            self.reachability,
            self.admission,
        )

    @property
    def limits(self) -> RelayLimits:
        """Return the active limits."""
        return self._limits

    @property
    def identity(self) -> RelayIdentity:
        """Return the identity of this entry."""
        return self._identity

    @property
    def entries(self) -> tuple[str, ...]:
        """Return the sorted names of the live entries, including this one."""
        return self._entries.names

    @property
    def peer_addresses(self) -> tuple[str, ...]:
        """Return the other live entries' addresses for notices, "ip:port"."""
        return tuple(self._addresses.values())

    def set_recorded_until(self, until_s: float) -> None:
        """Set until when the store surely has this entry's record."""
        self._entries.set_recorded_until(until_s)

    def is_recorded(self, now_s: float) -> bool:
        """Return whether the other entries surely count this one."""
        return self._entries.is_recorded(now_s)

    def apply_limits(self, limits: RelayLimits) -> None:
        """Apply changed limits."""
        self._limits = limits
        self.routes.set_max_age(limits.document_max_age_s, limits.refusal_max_age_s)
        self.feed.set_max_age(limits.feed_max_age_s)
        self.versions.set_exposure_share(limits.exposure_share)
        self.versions.sessions.set_ttl(limits.session_ttl_s)
        self.rates.set_limits(limits)
        self.admission.set_limits(limits)
        self._retry_budget.set_limit(
            limits.retry_ratio, limits.retry_slack, limits.retry_window_s
        )

    def apply(self, change: object, now_s: float) -> None:
        """Apply a change that was read from the store.

        Raises TypeError for an object that is not a store change.
        """
        self.lost_items.record_change(change)
        self._apply(change, now_s)
        self.admission.handle_change(now_s)

    @singledispatchmethod
    def _apply(self, change: object, now_s: float) -> None:
        raise TypeError(f"unsupported store change: {type(change).__name__}")

    @_apply.register
    def _(self, change: changes.DocumentWritten, now_s: float) -> None:
        if self.routes.apply(change.document):
            self.model_choice.set_routes(change.document.routes)

    @_apply.register
    def _(self, change: changes.UpstreamListed, now_s: float) -> None:
        self._listing.record_change(change.upstream.upstream_id)
        self.reachability.record_zone(change.upstream.zone)
        self.fleet.put(change.upstream, now_s)

    @_apply.register
    def _(self, change: changes.UpstreamUnlisted, now_s: float) -> None:
        self._listing.record_change(change.upstream_id)
        self.fleet.remove(change.upstream_id, now_s)

    @_apply.register
    def _(self, change: changes.ZoneDisabled, now_s: float) -> None:
        self.fleet.set_zone_disabled(change.zone, True)

    @_apply.register
    def _(self, change: changes.ZoneEnabled, now_s: float) -> None:
        self.fleet.set_zone_disabled(change.zone, False)

    @_apply.register
    def _(self, change: changes.RolloutOrdered, now_s: float) -> None:
        self.versions.order(change.order, change.order_id, now_s)

    @_apply.register
    def _(self, change: changes.RolloutWithdrawn, now_s: float) -> None:
        self.versions.withdraw(change.service)

    @_apply.register
    def _(self, change: changes.RolloutReported, now_s: float) -> None:
        self.versions.set_status(
            change.service, change.target, change.state, change.position
        )

    @_apply.register
    def _(self, change: changes.EntryReported, now_s: float) -> None:
        record = change.record
        self.routes.require_version(record.document_version)
        if record.entry == self._identity.name:
            self._resume(record, now_s)
            return
        if self._incarnations.get(record.entry) != record.incarnation:
            self._incarnations[record.entry] = record.incarnation
            self.rates.announce_all()
        self._entries.add(record.entry)
        if record.address:
            self._addresses[record.entry] = record.address
            self.notice_routes.put(record.entry, record.zone, record.address)
        self.feed.put_member(record.entry, record.zone, record.address)
        self.reachability.put_entry(record.entry, record.zone)
        self._retry_budget.set_entries(len(self._entries))
        for service, report in record.rollouts.items():
            self.versions.set_report(record.entry, service, report, now_s)

    @_apply.register
    def _(self, change: changes.EntryExpired, now_s: float) -> None:
        if change.entry == self._identity.name:
            return
        self._entries.discard(change.entry)
        self._addresses.pop(change.entry, None)
        self.notice_routes.remove(change.entry)
        self._incarnations.pop(change.entry, None)
        self.feed.remove_member(change.entry)
        self.reachability.remove_entry(change.entry)
        self._retry_budget.set_entries(len(self._entries))
        self.versions.forget_entry(change.entry)
        self.isolation.forget_entry(change.entry)
        for state in self.fleet:
            state.forget_entry(change.entry)
        self.admission.use.forget_entry(change.entry, now_s)
        self.prompt_caches.forget_entry(change.entry)

    @_apply.register
    def _(self, change: changes.CrashesReported, now_s: float) -> None:
        self.apply_crash_report(change, now_s, is_stored=True)

    def apply_crash_report(
        self,
        report: changes.CrashesReported,
        now_s: float,
        *,
        is_stored: bool,
        is_recent: bool = True,
    ) -> None:
        """Apply another entry's report, which may not be stored yet.

        ``is_recent`` is whether it tells of crashes that happened just now.
        """
        self.quarantine.add_reported(
            report.crashes,
            report.refutations,
            now_s,
            is_stored=is_stored,
            is_recent=is_recent,
        )
        for process in {crash.process for crash in report.crashes}:
            state = self.fleet.by_process(process)
            if state is not None:
                state.record_end_reported(now_s)

    def apply_listing(
        self,
        listing: Iterable[changes.Change],
        now_s: float,
        *,
        is_complete: bool = True,
        is_restored: bool = False,
    ) -> None:
        """Apply the full content of the store, and remove what it lacks.

        If it is not complete, it lacks only upstreams, which ``apply_rest`` brings.
        ``is_restored`` is whether the store has come back from a copy since it was
        read before: what it lacks then stays in force for a while.
        """
        if is_restored:
            self.fleet.record_store_restored(now_s)
        self._listing = PartialListing(self.fleet.upstream_ids, is_restored=is_restored)
        zones, services = set(), set()
        entries = {self._identity.name}
        # Entry records refer to rollout orders, so they are applied last.
        for change in sorted(listing, key=_is_entry_report):
            if isinstance(change, changes.CrashesReported):
                self.apply_crash_report(change, now_s, is_stored=True, is_recent=False)
                continue
            self._apply_listed(change, now_s)
            match change:
                case changes.ZoneDisabled():
                    zones.add(change.zone)
                case changes.RolloutOrdered():
                    services.add(change.order.service)
                case changes.EntryReported():
                    entries.add(change.record.entry)
        missing: list[changes.Change] = [
            *(changes.ZoneEnabled(zone=zone) for zone in self.fleet.zones_out - zones),
            *(
                changes.RolloutWithdrawn(service=service)
                for service in self.versions.services - services
            ),
            *(
                changes.EntryExpired(entry=entry)
                for entry in set(self._entries.names) - entries
            ),
        ]
        for removal in missing:
            if is_restored:
                self._put_off(removal, now_s)
            elif not self.lost_items.is_put_off(removal):
                self.apply(removal, now_s)
        if is_complete:
            self._remove_unlisted(now_s)

    def apply_lost(self, now_s: float) -> list[changes.Change]:
        """Remove what a restored store has lost and nobody has written again.

        Returns the changes that were applied.
        """
        due = self.lost_items.take_due(now_s)
        for change in due:
            self.apply(change, now_s)
        return due

    def _apply_listed(self, change: changes.Change, now_s: float) -> None:
        """Apply a listed item, unless the store's copy is older than what is known."""
        is_restored = self._listing.is_restored
        match change:
            case changes.UpstreamListed() if (
                is_restored and self.fleet.knows_later_process(change.upstream)
            ):
                self._listing.record_change(change.upstream.upstream_id)
            case changes.UpstreamListed() if is_restored and self.fleet.has_removed(
                change.upstream, now_s
            ):
                self._put_off(change, now_s)
            case changes.RolloutOrdered() if is_restored and self.versions.has_replaced(
                change.order
            ):
                self._put_off(change, now_s)
            case changes.RolloutOrdered() | changes.UpstreamListed() if (
                self.lost_items.is_put_off(change) and change in self.lost_items.pending
            ):
                return
            case _:
                self.apply(change, now_s)

    def _put_off(self, change: changes.Change, now_s: float) -> None:
        retention_s = _RETENTION_S.get(type(change), LOST_ORDER_RETENTION_S)
        self.lost_items.put_off(change, now_s + retention_s)

    def apply_rest(
        self, listing: Iterable[changes.Change], now_s: float, *, is_complete: bool
    ) -> None:
        """Apply further upstreams of a listing, and at its end remove the others."""
        for change in self._listing.select(listing):
            self._apply_listed(change, now_s)
        if is_complete:
            self._remove_unlisted(now_s)

    def _remove_unlisted(self, now_s: float) -> None:
        """Remove the upstreams that a complete listing lacks."""
        for missing in self._listing.unlisted:
            self.apply(changes.UpstreamUnlisted(upstream_id=missing), now_s)
        self._listing = PartialListing()

    def _resume(self, record: changes.EntryRecord, now_s: float) -> None:
        """Restore the rollout statistics of this entry's last run, once."""
        if record.incarnation in (
            self._identity.incarnation,
            self._resumed_incarnation,
        ):
            return
        self._resumed_incarnation = record.incarnation
        for service, report in record.own_reports.items():
            self.versions.resume(service, report, now_s)
        self.rollout_reports.set_resumed(record.incarnation)

    def entry_record(self, now_s: float) -> changes.EntryRecord:
        """Return this entry's record for the other entries.

        The first source of an availability zone reports for the entries there.
        """
        rollouts, own_rollouts = {}, {}
        if self.feed.is_first_source(now_s):
            for rollout in self.versions.open_rollouts:
                service = rollout.order.service
                rollouts[service] = rollout.zone_report(now_s)
                if rollouts[service].entries > 1:
                    own_rollouts[service] = rollout.report(now_s)
        return changes.EntryRecord(
            entry=self._identity.name,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            zone=self._identity.zone,
            rollouts=rollouts,
            own_rollouts=own_rollouts,
            document_version=self.routes.version,
        )

    def admit(self, route: Route, facts: RequestFacts, now_s: float) -> Service:
        """Count a request and return the service that it is sent to."""
        service = self._service_of(route, facts)
        self._retry_budget.record_request(service.name, now_s)
        return service

    def quarantine_wait_s(
        self, facts: RequestFacts, now_s: float, deadline_s: float
    ) -> float:
        """Return how long to wait, in seconds, before the request is sent.

        Until then other entries' reports may clear it. Raises RefusalError if
        it is quarantined, or would have to wait beyond its deadline.
        """
        if now_s >= deadline_s:
            raise RefusalError(
                ResultCode.NO_UPSTREAM,
                "no time was left to send the request",
                _PASSED_DEADLINE_RETRY_S,
            )
        decision = self.quarantine.decide(facts.suspects, now_s)
        if not decision.is_blocked and now_s + decision.wait_s < deadline_s:
            return decision.wait_s
        raise RefusalError(
            ResultCode.REQUEST_QUARANTINED,
            "the request, or a part of its prompt, has crashed several upstreams",
            max(_MIN_RETRY_QUARANTINED_S, decision.retry_after_s),
        )

    def allow_retry(
        self, service: str, now_s: float, *, is_escalation: bool = False
    ) -> bool:
        """Count a retry if the service's retry budget allows it.

        Escalations leave a part of it to requests whose attempt failed. Returns
        whether the budget allows it.
        """
        return self._retry_budget.try_spend(
            service,
            now_s,
            may_use_slack=self._entries.is_recorded(now_s),
            reserved_share=RESERVED_RETRY_SHARE if is_escalation else 0.0,
        )

    def retry_budget_use(self, service: str, now_s: float) -> BudgetUse:
        """Return how much of the service's retry budget is used at this entry."""
        return self._retry_budget.use(
            service, now_s, may_use_slack=self._entries.is_recorded(now_s)
        )

    def place(
        self,
        service: Service,
        facts: RequestFacts,
        model: str,
        body_bytes: int,
        now_s: float,
        *,
        tried: frozenset[str] = frozenset(),
        version: str = "",
        is_resumed: bool = False,
        needs_slot: bool = False,
    ) -> Placement:
        """Choose the upstream for an attempt.

        Upstreams in ``tried`` are only used if there is no other. ``version``
        is the version that has already sent part of the answer, if any.
        ``is_resumed`` tells that the caller has a part of it, ``needs_slot`` that
        upstreams with a free slot go first. Raises RefusalError if no upstream can
        take the request.
        """
        return self._selector.place(
            service,
            facts,
            model,
            body_bytes,
            now_s,
            Constraints(
                tried=tried,
                version=version,
                is_resumed=is_resumed,
                needs_slot=needs_slot,
            ),
        )

    def request_slot(
        self,
        service: Service,
        facts: RequestFacts,
        request: WaitingRequest,
        on_decided: Callable[[Admit | Refuse], None],
        now_s: float,
        *,
        version: str = "",
        is_resumed: bool = False,
    ) -> Decision:
        """Return whether an attempt may be placed, waits for a slot, or is refused.

        If it waits, ``on_decided`` is called once, unless it is cancelled before.
        """
        candidates = partial(
            self._selector.candidates,
            service,
            facts,
            Constraints(version=version, is_resumed=is_resumed),
        )
        return self.admission.decide(request, candidates, on_decided, now_s)

    def least_first_token_s(self, model: str) -> float:
        """Return the time that an answer takes at least to begin, in seconds."""
        expected_s = self._placer.first_tokens.expected_ms(model, 0) / 1000
        return CERTAIN_WAIT_FRACTION * expected_s

    def is_over_share(self, service: str, workspace: str | None, now_s: float) -> bool:
        """Return whether a workspace uses more than its share of short slots.

        All entries' attempts count; see ``WorkspaceUse``.
        """
        return self.admission.use.is_over_share(
            service, hash_workspace(workspace), now_s
        )

    def first_model(
        self, request: ChoiceRequest, body_bytes: int, now_s: float
    ) -> ModelDecision:
        """Return the model that a request is sent to first."""
        models = request.route.models
        smallest_s, largest_s = (
            self.estimates.prefill_ms(
                request.service.name, model, request.facts.prompt_tokens
            )
            / 1000
            for model in (models[0], models[-1])
        )
        return self.model_choice.first_model(
            request,
            PromptTimes(smallest_s=smallest_s, largest_s=largest_s),
            self._placement_of(request, body_bytes, now_s),
            now_s,
        )

    def next_model(
        self, request: ChoiceRequest, answer: Answer, body_bytes: int, now_s: float
    ) -> ModelDecision:
        """Return the model to ask after an answer that lacks confidence, if any."""
        return self.model_choice.next_model(
            request, answer, self._placement_of(request, body_bytes, now_s), now_s
        )

    def _placement_of(
        self, request: ChoiceRequest, body_bytes: int, now_s: float
    ) -> PlacementOf:
        facts = self.model_choice.with_expected_output(request.route, request.facts)

        def placement_of(model: str) -> Placement | None:
            try:
                return self.place(request.service, facts, model, body_bytes, now_s)
            except RefusalError:
                return None

        return placement_of

    def apply_unreachable(
        self, entry: str, processes: Iterable[str], now_s: float
    ) -> None:
        """Record the upstream processes that another entry could not reach."""
        states = map(self.fleet.by_process, processes)
        upstreams = [state.upstream for state in states if state is not None]
        self.reachability.apply(entry, upstreams, now_s)

    def record_process_ended(self, process: str, now_s: float) -> None:
        """Record that an upstream's process has ended, other than by draining."""
        state = self.fleet.by_process(process)
        if state is not None:
            state.record_process_ended(now_s)
        crashes = self._crash_detector.record_process_ended(process, now_s)
        self.quarantine.record_crashes(crashes, now_s)

    def _handle_upstream_end(self, upstream: Upstream, now_s: float) -> None:
        """Attribute the end of a process, and delete the state kept for it."""
        upstream_id = upstream.upstream_id
        if not upstream.is_draining:
            self.record_process_ended(upstream.process, now_s)
        self._placer.forget(upstream_id)
        self.rates.forget_process(upstream.process)
        # The last requests may still reach a new process with the same id, so
        # they continue to count against its rate limits.
        if self.fleet.get(upstream_id) is None:
            self.rates.forget_upstream(upstream_id)

    def _token_capacity(self, service: str) -> int:
        """Return the memory in tokens that a service states; 0 if none."""
        document = self.routes.document
        known = document.services.get(service) if document else None
        return known.token_capacity if known else 0

    def _service_of(self, route: Route, facts: RequestFacts) -> Service:
        document = self.routes.document
        assert document is not None
        name = _choose_service_name(route, facts)
        return document.services.get(name) or Service(name=name)


def _is_entry_report(change: changes.Change) -> bool:
    return isinstance(change, changes.EntryReported)


def _choose_service_name(route: Route, facts: RequestFacts) -> str:
    if len(route.shares) == 1:
        return route.shares[0].service
    key = facts.session or facts.request_id
    point = xxhash.xxh3_64_intdigest(b"share" + key.encode()) / 2**64
    point *= sum(share.weight for share in route.shares)
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
