"""Which version of a service answers a request."""

from collections.abc import Sequence

import attrs
import xxhash

from .const import ROLLOUT_FIRST_STAGE_FACTOR
from .fleet import UpstreamState
from .limits import RelayLimits
from .models import RequestFacts, RolloutOrder
from .rollout import Rollout, RolloutReport, RolloutState
from .sessions import SessionVersions

_BUCKETS = 10_000


class VersionSelector:
    """Roll-outs by service, and the version that each request gets.

    A session's version follows from its id alone, so that every entry
    chooses the same one.
    """

    def __init__(
        self,
        exposure_share: float = RelayLimits().exposure_share,
        session_ttl_s: float = RelayLimits().session_ttl_s,
    ) -> None:
        self._exposure_share = exposure_share
        self.sessions = SessionVersions(session_ttl_s)
        self._rollouts: dict[str, Rollout] = {}
        self._statuses: dict[str, tuple[int, str, RolloutState]] = {}

    @property
    def rollouts(self) -> tuple[Rollout, ...]:
        """Return the roll-outs, finished ones included."""
        return tuple(self._rollouts.values())

    @property
    def open_rollouts(self) -> tuple[Rollout, ...]:
        """Return the roll-outs that are under way."""
        return tuple(
            rollout
            for rollout in self._rollouts.values()
            if rollout.state is RolloutState.IN_PROGRESS
        )

    @property
    def services(self) -> frozenset[str]:
        """Return the services that have a roll-out."""
        return frozenset(self._rollouts)

    def set_exposure_share(self, exposure_share: float) -> None:
        """Change the bound on what a bad version gets, for later orders."""
        self._exposure_share = exposure_share

    def get(self, service: str) -> Rollout | None:
        """Return the service's newest roll-out."""
        return self._rollouts.get(service)

    def order(self, order: RolloutOrder, order_id: int, now_s: float) -> None:
        """Take an order that was written at store revision ``order_id``."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order_id >= order_id:
            return
        self._rollouts[order.service] = Rollout(
            order, order_id, now_s, exposure_share=self._exposure_share
        )
        self._apply_status(order.service)

    def withdraw(self, service: str) -> None:
        """Drop a roll-out whose order is gone while it was under way."""
        rollout = self._rollouts.get(service)
        if rollout and rollout.state is RolloutState.IN_PROGRESS:
            del self._rollouts[service]

    def set_status(
        self, service: str, target: str, state: RolloutState, revision: int
    ) -> None:
        """Take over what was reported at store revision ``revision``."""
        self._statuses[service] = (revision, target, state)
        self._apply_status(service)

    def set_report(
        self, entry: str, service: str, report: RolloutReport, now_s: float
    ) -> None:
        """Take over another entry's evidence."""
        rollout = self._rollouts.get(service)
        if rollout and rollout.order_id == report.order_id:
            rollout.reports[entry] = report
            rollout.adopt_elapsed(report.passed_s, now_s)

    def resume(self, service: str, report: RolloutReport, now_s: float) -> None:
        """Take over what this entry has told before it was restarted."""
        rollout = self._rollouts.get(service)
        if rollout and rollout.order_id == report.order_id:
            rollout.new.add(attrs.evolve(report.new, in_flight=0))
            rollout.old.add(attrs.evolve(report.old, in_flight=0))
            rollout.adopt_elapsed(report.passed_s, now_s)

    def forget_entry(self, entry: str) -> None:
        """Drop the evidence of an entry that has left."""
        for rollout in self._rollouts.values():
            report = rollout.reports.get(entry)
            if report is not None:
                # What it has seen stays true; what it runs has ended.
                report.new.in_flight = report.old.in_flight = 0

    def allowed(
        self,
        service: str,
        candidates: Sequence[UpstreamState],
        facts: RequestFacts,
        now_s: float,
        started_version: str = "",
    ) -> Sequence[UpstreamState]:
        """Return the candidates of the version that the request should get.

        Falls back to the other version where the chosen one has no upstream,
        unless the fallback is bad or withdrawn. ``started_version`` is the
        version that has already sent part of the answer; it is kept unless it
        has been withdrawn or has no upstream.
        """
        rollout = self._rollouts.get(service)
        if started_version and not (rollout and rollout.has_withdrawn(started_version)):
            same = [
                state
                for state in candidates
                if state.upstream.version == started_version
            ]
            if same:
                return same
        if rollout is None:
            return candidates
        target = rollout.order.target
        new = [state for state in candidates if state.upstream.version == target]
        old = [state for state in candidates if state.upstream.version != target]
        share = rollout.share(now_s)
        if share <= 0.0:
            return old
        if share >= 1.0:
            return new or old
        if _bucket_of(facts) >= share * _BUCKETS:
            return old
        if rollout.pins_sessions(now_s) and self._has_other_version(
            service, facts, now_s
        ):
            return old or new
        return new or old

    def is_in_first_stage(self, facts: RequestFacts) -> bool:
        """Return whether a roll-out would move the request's session first."""
        share = ROLLOUT_FIRST_STAGE_FACTOR * self._exposure_share
        return bool(facts.session) and _bucket_of(facts) < share * _BUCKETS

    def _has_other_version(
        self, service: str, facts: RequestFacts, now_s: float
    ) -> bool:
        """Return whether the session goes on with another version."""
        target = self._rollouts[service].order.target
        known = self.sessions.version(service, facts.session, now_s)
        return bool(facts.session and known) and known != target

    def _apply_status(self, service: str) -> None:
        rollout = self._rollouts.get(service)
        status = self._statuses.get(service)
        if rollout is None or status is None:
            return
        revision, target, state = status
        if revision > rollout.order_id and target == rollout.order.target:
            rollout.state = state


def _bucket_of(facts: RequestFacts) -> int:
    key = facts.session or facts.request_id
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKETS
