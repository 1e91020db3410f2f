"""Registered upstreams and the state that an entry keeps of each."""

from collections.abc import Callable, Iterator, Sequence

import attrs

from .const import (
    COLD_END_TOLERANCE_S,
    ENDED_PROCESS_PENALTY_S,
    MAX_ATTEMPT_S,
    MAX_PENALTY_S,
    PENALTY_S,
    REMOVED_UPSTREAM_MEMORY_S,
    REREGISTRATION_GRACE_S,
)
from .models import Upstream
from .upstream_estimates.queue import UpstreamQueue


@attrs.define
class UpstreamState:
    """An upstream with the load and failures that this entry has recorded."""

    upstream: Upstream
    cold_until_s: float = 0.0
    # When to remove the upstream; set while it is missing from the store after
    # a store outage.
    remove_at_s: float | None = None
    # Whether its process has said in a response that it is about to end.
    is_leaving: bool = False
    in_flight: int = 0
    # Send times of the other entries' attempts in flight, by entry name and
    # attempt number.
    remote_in_flight: dict[tuple[str, int], float] = attrs.field(factory=dict)
    queue: UpstreamQueue = attrs.field(factory=UpstreamQueue)
    penalty_until_s: float = 0.0
    # Until when its process is known to have ended.
    ended_until_s: float = 0.0
    failures: int = 0

    @property
    def upstream_id(self) -> str:
        """Return the upstream's id."""
        return self.upstream.upstream_id

    @property
    def is_draining(self) -> bool:
        """Return whether the upstream is about to end, by itself or its registration.

        It gets no new requests then.
        """
        return self.upstream.is_draining or self.is_leaving

    def running(self, now_s: float, max_age_s: float = MAX_ATTEMPT_S) -> int:
        """Return how many requests of all entries are in flight.

        Other entries' requests that were sent longer than ``max_age_s`` ago do not
        count.
        """
        oldest_s = now_s - MAX_ATTEMPT_S
        while self.remote_in_flight:
            # Attempts are in the order of their send times.
            key, sent_at_s = next(iter(self.remote_in_flight.items()))
            if sent_at_s >= oldest_s:
                break
            del self.remote_in_flight[key]
        remote = len(self.remote_in_flight)
        if remote and max_age_s < MAX_ATTEMPT_S:
            oldest_s = now_s - max_age_s
            remote = sum(at_s >= oldest_s for at_s in self.remote_in_flight.values())
        return self.in_flight + remote

    def forget_entry(self, entry: str) -> None:
        """Remove the requests of an entry that is gone."""
        self.queue.remove_matching(
            lambda key: isinstance(key, tuple) and key[0] == entry
        )
        for key in tuple(self.remote_in_flight):
            if key[0] == entry:
                del self.remote_in_flight[key]

    def is_cold(self, now_s: float) -> bool:
        """Return whether the upstream is warming up, with a low rate limit."""
        return now_s < self.cold_until_s

    def is_penalized(self, now_s: float) -> bool:
        """Return whether the upstream is a last resort after a failure."""
        return now_s < self.penalty_until_s

    def has_ended(self, now_s: float) -> bool:
        """Return whether the upstream's process has ended, as far as known."""
        return now_s < self.ended_until_s

    def record_failure(self, now_s: float) -> None:
        """Penalize the upstream: for a while others are tried first."""
        penalty_s = min(MAX_PENALTY_S, PENALTY_S * 2**self.failures)
        self.failures += 1
        self.penalty_until_s = now_s + penalty_s

    def record_process_ended(self, now_s: float) -> None:
        """Penalize the upstream until the store can list its end."""
        self.record_end_reported(now_s)
        self.penalty_until_s = max(self.penalty_until_s, self.ended_until_s)

    def record_end_reported(self, now_s: float) -> None:
        """Record that another entry has seen the process end.

        That entry may only have lost its path to the upstream, so the upstream
        is not penalized.
        """
        self.ended_until_s = now_s + ENDED_PROCESS_PENALTY_S

    def record_success(self) -> None:
        """Reset the failure count and the penalty."""
        self.failures = 0
        self.penalty_until_s = 0.0
        self.ended_until_s = 0.0


def _ignore_ended(upstream: Upstream, now_s: float) -> None:
    """Ignore the end of an upstream process."""


class Fleet:
    """Upstreams by id, and the availability zones that are out of service.

    ``on_ended`` is called with each upstream whose process has ended and the
    time, also if a new process has registered under the same id.
    """

    def __init__(
        self, on_ended: Callable[[Upstream, float], None] = _ignore_ended
    ) -> None:
        self._on_ended = on_ended
        self._states: dict[str, UpstreamState] = {}
        self._zones_out: set[str] = set()
        self._store_returned_at_s = float("-inf")
        # When processes were removed, in the order of these times.
        self._removed_at_s: dict[str, float] = {}
        # Cache of candidates by service; cleared with each change.
        self._candidates: dict[str, tuple[UpstreamState, ...]] = {}
        # When the next missing upstream is to be removed.
        self._next_removal_at_s = float("inf")
        # When the last cold upstream becomes warm.
        self._any_cold_until_s = float("-inf")
        self._cold_changes = 0

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that receive no new requests."""
        return frozenset(self._zones_out)

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Return the ids of all upstreams."""
        return frozenset(self._states)

    @property
    def kept_count(self) -> int:
        """Return how many upstreams are kept that the store has lost."""
        return sum(state.remove_at_s is not None for state in self)

    @property
    def draining_count(self) -> int:
        """Return how many upstreams are about to end, and get no new requests."""
        return sum(state.is_draining for state in self)

    @property
    def cold_changes(self) -> int:
        """Return how often an upstream's cold phase began or ended anew."""
        return self._cold_changes

    def __iter__(self) -> Iterator[UpstreamState]:
        return iter(self._states.values())

    def __len__(self) -> int:
        return len(self._states)

    def get(self, upstream_id: str) -> UpstreamState | None:
        """Return the state of an upstream, or None if it is unknown."""
        return self._states.get(upstream_id)

    def has_process(self, process: str) -> bool:
        """Return whether this run of an upstream is registered."""
        return self.by_process(process) is not None

    def by_process(self, process: str) -> UpstreamState | None:
        """Return the state of the upstream whose current run is ``process``."""
        state = self._states.get(process.rpartition("@")[0])
        return state if state and state.upstream.process == process else None

    def record_store_returned(self, now_s: float) -> None:
        """Start the grace period for upstreams that the store has lost."""
        self._store_returned_at_s = now_s

    def record_store_restored(self, now_s: float) -> None:
        """Keep what is known, since the store has come back from a copy.

        Upstreams that it has lost have time to register again, and those that were
        draining stay so, whatever the copy says of the same process.
        """
        self.record_store_returned(now_s)
        for state in self:
            state.is_leaving = state.is_draining

    def has_removed(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether this run of an upstream was removed lately."""
        removed_at_s = self._removed_at_s.get(upstream.process)
        return (
            removed_at_s is not None
            and now_s - removed_at_s < REMOVED_UPSTREAM_MEMORY_S
        )

    def knows_later_process(self, upstream: Upstream) -> bool:
        """Return whether a registration is of an earlier run than the known one."""
        state = self._states.get(upstream.upstream_id)
        return state is not None and upstream.started_ms < state.upstream.started_ms

    def put(self, upstream: Upstream, now_s: float) -> None:
        """Add an upstream or update its registration."""
        cold_until_s = now_s + upstream.cold_left_s
        state = self._states.get(upstream.upstream_id)
        if state is not None and state.upstream.started_ms != upstream.started_ms:
            self._report_end(state, now_s)
            state = None
        if state is None:
            state = UpstreamState(upstream)
            self._states[upstream.upstream_id] = state
            self._candidates.clear()
        elif _placement_facts(state.upstream) != _placement_facts(upstream):
            self._candidates.clear()
        if _cold_end_differs(state.cold_until_s, cold_until_s, now_s):
            self._cold_changes += 1
        state.upstream = upstream
        state.cold_until_s = cold_until_s
        state.remove_at_s = None
        self._any_cold_until_s = max(self._any_cold_until_s, cold_until_s)

    def record_leaving(self, process: str) -> bool:
        """Use an upstream no more whose process says that it is about to end.

        That holds until another process is registered under its id. Returns whether
        it was not known to be draining.
        """
        state = self.by_process(process)
        if state is None or state.is_leaving:
            return False
        was_draining = state.is_draining
        state.is_leaving = True
        self._candidates.clear()
        return not was_draining

    def remove(self, upstream_id: str, now_s: float) -> None:
        """Remove an upstream that is no longer registered.

        Shortly after a store outage the upstream is kept for a grace period,
        since live upstreams register again, unless it is draining or leaving.
        """
        state = self._states.get(upstream_id)
        if state is None:
            return
        until_s = self._store_returned_at_s + REREGISTRATION_GRACE_S
        if now_s < until_s and not state.is_draining:
            state.remove_at_s = until_s
            self._next_removal_at_s = min(self._next_removal_at_s, until_s)
            return
        self._remove_state(upstream_id, now_s)

    def set_zone_disabled(self, zone: str, disabled: bool) -> None:
        """Take an availability zone out of service or back into service."""
        (self._zones_out.add if disabled else self._zones_out.discard)(zone)
        self._candidates.clear()

    def candidates(self, service: str, now_s: float) -> Sequence[UpstreamState]:
        """Return the upstreams of ``service`` that may receive new requests.

        The same sequence object is returned until an upstream or an
        availability zone changes.
        """
        if now_s >= self._next_removal_at_s:
            self._remove_missing(now_s)
        candidates = self._candidates.get(service)
        if candidates is None:
            candidates = tuple(
                state
                for state in self._states.values()
                if state.upstream.service == service
                and not state.is_draining
                and state.upstream.zone not in self._zones_out
            )
            self._candidates[service] = candidates
        return candidates

    def has_cold(self, now_s: float) -> bool:
        """Return whether any upstream may still be cold."""
        return now_s < self._any_cold_until_s

    def _remove_missing(self, now_s: float) -> None:
        self._next_removal_at_s = float("inf")
        for state in tuple(self._states.values()):
            if state.remove_at_s is None:
                continue
            if now_s >= state.remove_at_s:
                self._remove_state(state.upstream_id, now_s)
            else:
                self._next_removal_at_s = min(
                    self._next_removal_at_s, state.remove_at_s
                )

    def _remove_state(self, upstream_id: str, now_s: float) -> None:
        state = self._states.pop(upstream_id)
        self._candidates.clear()
        self._record_removed(state.upstream.process, now_s)
        self._report_end(state, now_s)

    def _record_removed(self, process: str, now_s: float) -> None:
        self._removed_at_s.pop(process, None)
        self._removed_at_s[process] = now_s
        oldest_s = now_s - REMOVED_UPSTREAM_MEMORY_S
        while next(iter(self._removed_at_s.values())) < oldest_s:
            del self._removed_at_s[next(iter(self._removed_at_s))]

    def _report_end(self, state: UpstreamState, now_s: float) -> None:
        upstream = attrs.evolve(state.upstream, is_draining=state.is_draining)
        self._on_ended(upstream, now_s)


def _placement_facts(upstream: Upstream) -> tuple[object, ...]:
    """Return what decides for which requests an upstream is a candidate."""
    return (
        upstream.service,
        upstream.zone,
        upstream.is_draining,
        upstream.version,
        upstream.process,
    )


def _cold_end_differs(before_s: float, after_s: float, now_s: float) -> bool:
    """Return whether a registration changes an upstream's cold phase."""
    return abs(max(before_s, now_s) - max(after_s, now_s)) > COLD_END_TOLERANCE_S
