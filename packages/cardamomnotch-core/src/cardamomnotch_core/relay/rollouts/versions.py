"""Choice of the service version for a request during a rollout."""

from collections import deque
from collections.abc import Sequence

import attrs
import xxhash

from cardamomnotch_protocol.store_position import StorePosition

from ..fleet import UpstreamState
from ..identity_cache import IdentityCache
from ..limits import RelayLimits
from ..models import RequestFacts, RolloutOrder
from .const import ROLLOUT_FIRST_STAGE_FACTOR
from .rollout import Rollout, RolloutReport, RolloutState
from .sessions import SessionVersions

# Number of hash buckets that requests and sessions are divided into.
_BUCKETS = 10_000
# Earlier orders of a service that are known, by which an order of a copy of the store
# is recognized.
_KNOWN_EARLIER_ORDERS = 16

_ByVersion = dict[str, tuple[Sequence[UpstreamState], Sequence[UpstreamState]]]


@attrs.frozen
class _Status:
    """A state that was reported to the store."""

    position: StorePosition
    target: str
    state: RolloutState

    def is_of(self, rollout: Rollout) -> bool:
        """Return whether it was written after the rollout's order, for its target."""
        return self.position > rollout.order_id and self.target == rollout.order.target


class VersionSelector:
    """Keeps the rollouts by service and chooses the version for each request.

    A hash of the session id decides which sessions move to the new version,
    so that every entry chooses the same one.
    """

    def __init__(
        self,
        exposure_share: float = RelayLimits().exposure_share,
        session_ttl_s: float = RelayLimits().session_ttl_s,
        zone: str = "",
    ) -> None:
        self._exposure_share = exposure_share
        self._zone = zone
        self.sessions = SessionVersions(session_ttl_s)
        self._rollouts: dict[str, Rollout] = {}
        # Versions that earlier rollouts have reverted, by service. Their upstreams
        # are listed for some seconds more.
        self._reverted: dict[str, set[str]] = {}
        # Candidates of a version and the others, by version.
        self._divided: IdentityCache[UpstreamState, _ByVersion] = IdentityCache(
            lambda candidates: {}
        )
        # State last reported, by service.
        self._statuses: dict[str, _Status] = {}
        # Services whose order has been deleted after its rollout had ended.
        self._withdrawn: set[str] = set()
        # Orders before the current one, by service.
        self._earlier_orders: dict[str, deque[RolloutOrder]] = {}

    @property
    def rollouts(self) -> tuple[Rollout, ...]:
        """Return all rollouts, including finished ones."""
        return tuple(self._rollouts.values())

    @property
    def open_rollouts(self) -> tuple[Rollout, ...]:
        """Return the rollouts in progress."""
        return tuple(
            rollout
            for rollout in self._rollouts.values()
            if rollout.state is RolloutState.IN_PROGRESS
        )

    @property
    def services(self) -> frozenset[str]:
        """Return the services that have a rollout."""
        return frozenset(self._rollouts)

    def set_exposure_share(self, exposure_share: float) -> None:
        """Set the largest share of a bad version in rollouts ordered later."""
        self._exposure_share = exposure_share

    def get(self, service: str) -> Rollout | None:
        """Return the service's newest rollout, or None."""
        return self._rollouts.get(service)

    def has_replaced(self, order: RolloutOrder) -> bool:
        """Return whether another order has replaced this one."""
        current = self._rollouts.get(order.service)
        return (
            current is not None
            and current.order != order
            and order in self._earlier_orders.get(order.service, ())
        )

    def is_final_state_stored(self, rollout: Rollout) -> bool:
        """Return whether the store has a final state of the rollout."""
        status = self._statuses.get(rollout.order.service)
        return (
            status is not None
            and status.is_of(rollout)
            and status.state is not RolloutState.IN_PROGRESS
        )

    def order(self, order: RolloutOrder, order_id: StorePosition, now_s: float) -> None:
        """Start the rollout of an order, unless the current one is newer.

        ``order_id`` is the position in the store at which the order was written. The
        same order in a later era of the store continues its rollout, unless it has
        been deleted meanwhile.
        """
        current = self._rollouts.get(order.service)
        if current is not None and current.order_id >= order_id:
            return
        if (
            current is not None
            and current.order == order
            and current.order_id.era < order_id.era
            and order.service not in self._withdrawn
        ):
            current.order_id = order_id
            self._apply_status(order.service)
            return
        self._withdrawn.discard(order.service)
        if current is not None:
            earlier = self._earlier_orders.setdefault(
                order.service, deque(maxlen=_KNOWN_EARLIER_ORDERS)
            )
            earlier.append(current.order)
        if current is not None and current.has_withdrawn(current.order.target):
            self._reverted.setdefault(order.service, set()).add(current.order.target)
        self._reverted.get(order.service, set()).discard(order.target)
        self._rollouts[order.service] = Rollout(
            order,
            order_id,
            now_s,
            exposure_share=self._exposure_share,
            zone=self._zone,
        )
        self._apply_status(order.service)

    def withdraw(self, service: str) -> None:
        """Delete a rollout in progress whose order has been deleted."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return
        if rollout.state is RolloutState.IN_PROGRESS:
            del self._rollouts[service]
        else:
            self._withdrawn.add(service)

    def set_status(
        self, service: str, target: str, state: RolloutState, position: StorePosition
    ) -> None:
        """Apply a rollout state written at ``position`` of the store.

        A state written before the current order belongs to an earlier one and
        is ignored, and so is one that was written before the last known state.
        Final states stay.
        """
        known = self._statuses.get(service)
        if known is not None and known.position > position:
            return
        self._statuses[service] = _Status(position, target, state)
        self._apply_status(service)

    def set_report(
        self, entry: str, service: str, report: RolloutReport, now_s: float
    ) -> None:
        """Replace another entry's statistics of a rollout."""
        rollout = self._rollouts.get(service)
        if rollout and rollout.order_id == report.order_id:
            rollout.reports[entry] = report
            rollout.adopt_elapsed(report.passed_s, now_s)

    def collect_report(
        self,
        entry: str,
        incarnation: str,
        service: str,
        report: RolloutReport,
        now_s: float,
        resumed: str,
    ) -> None:
        """Replace the statistics that an entry of the own zone has sent.

        They include those of its incarnation ``resumed``.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.collect(entry, incarnation, report, now_s, resumed)

    def resume(self, service: str, report: RolloutReport, now_s: float) -> None:
        """Restore the statistics that this entry stored before a restart."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order_id != report.order_id:
            return
        rollout.adopt_elapsed(report.passed_s, now_s)
        rollout.new.add(report.new.copy_ended())
        rollout.old.add(report.old.copy_ended())

    def forget_entry(self, entry: str) -> None:
        """Clear the requests in flight of an entry that is gone."""
        for rollout in self._rollouts.values():
            rollout.forget_entry(entry)

    def allowed(
        self,
        service: str,
        candidates: Sequence[UpstreamState],
        facts: RequestFacts,
        now_s: float,
        started_version: str = "",
    ) -> Sequence[UpstreamState]:
        """Return the candidates of the version chosen for the request.

        The old version is used where the new one is chosen but has no
        upstream. The reverse holds only for sessions that must keep the old
        version, since the new one may be bad. ``started_version`` is the
        version that has already sent part of the answer; it is kept unless it
        has been withdrawn or has no upstream.
        """
        rollout = self._rollouts.get(service)
        reverted = self._reverted.get(service, set())
        is_withdrawn = started_version in reverted or (
            rollout is not None and rollout.has_withdrawn(started_version)
        )
        if started_version and not is_withdrawn:
            unchanged, _ = self._by_version(candidates, started_version)
            if unchanged:
                return unchanged
        if rollout is None:
            return candidates
        target = rollout.order.target
        new, old = self._by_version(candidates, target)
        for version in reverted:
            _, others = self._by_version(old, version)
            old = others or old
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
        """Return whether the first stage of a rollout moves the session."""
        share = ROLLOUT_FIRST_STAGE_FACTOR * self._exposure_share
        return bool(facts.session) and _bucket_of(facts) < share * _BUCKETS

    def _by_version(
        self, candidates: Sequence[UpstreamState], version: str
    ) -> tuple[Sequence[UpstreamState], Sequence[UpstreamState]]:
        """Return the candidates of a version, and the others.

        The same sequences are returned until the candidates change.
        """
        by_version = self._divided.get(candidates)
        known = by_version.get(version)
        if known is None:
            known = [], []
            for state in candidates:
                known[state.upstream.version != version].append(state)
            by_version[version] = known
        return known

    def _has_other_version(
        self, service: str, facts: RequestFacts, now_s: float
    ) -> bool:
        """Return whether the session is active on another version."""
        target = self._rollouts[service].order.target
        version = self.sessions.version(service, facts.session, now_s)
        return bool(facts.session and version) and version != target

    def _apply_status(self, service: str) -> None:
        rollout = self._rollouts.get(service)
        status = self._statuses.get(service)
        if rollout is None or status is None or not status.is_of(rollout):
            return
        if rollout.state is RolloutState.IN_PROGRESS:
            rollout.state = status.state


def _bucket_of(facts: RequestFacts) -> int:
    key = facts.session or facts.request_id
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKETS
