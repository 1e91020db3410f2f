"""The upstreams that are known, and what is known of each."""

from collections.abc import Callable, Iterator, Sequence

import attrs

from .const import MAX_ATTEMPT_S, MAX_PENALTY_S, PENALTY_S, REREGISTRATION_GRACE_S
from .first_token import QueueEstimate
from .models import Upstream


@attrs.define
class UpstreamState:
    """An upstream, and this process's own experience with it."""

    upstream: Upstream
    cold_until_s: float = 0.0
    # Set while the upstream is missing from the list after an outage.
    remove_at_s: float | None = None
    in_flight: int = 0
    # When the other entries' requests under way were sent, by their keys.
    remote_in_flight: dict[tuple[str, int], float] = attrs.field(factory=dict)
    queue: QueueEstimate = attrs.field(factory=QueueEstimate)
    penalty_until_s: float = 0.0
    failures: int = 0

    @property
    def upstream_id(self) -> str:
        """Return the upstream's id."""
        return self.upstream.upstream_id

    def running(self, now_s: float) -> int:
        """Return how many requests of all entries are under way."""
        oldest_s = now_s - MAX_ATTEMPT_S
        while self.remote_in_flight:
            # They stand in the order of their sending.
            key, sent_at_s = next(iter(self.remote_in_flight.items()))
            if sent_at_s >= oldest_s:
                break
            del self.remote_in_flight[key]
        return self.in_flight + len(self.remote_in_flight)

    def forget_entry(self, entry: str) -> None:
        """Drop the requests of an entry that has left."""
        self.queue.drop(lambda key: isinstance(key, tuple) and key[0] == entry)
        for key in tuple(self.remote_in_flight):
            if key[0] == entry:
                del self.remote_in_flight[key]

    def is_cold(self, now_s: float) -> bool:
        """Return whether the upstream bears only a small rate."""
        return now_s < self.cold_until_s

    def is_penalized(self, now_s: float) -> bool:
        """Return whether the upstream failed lately."""
        return now_s < self.penalty_until_s

    def record_failure(self, now_s: float) -> None:
        """Try others first for a while."""
        penalty_s = min(MAX_PENALTY_S, PENALTY_S * 2**self.failures)
        self.failures += 1
        self.penalty_until_s = now_s + penalty_s

    def record_success(self) -> None:
        """Forget earlier failures."""
        self.failures = 0
        self.penalty_until_s = 0.0


def _ignore_ended(upstream_id: str) -> None:
    """Do nothing with the id of a process that has ended."""


class Fleet:
    """Upstreams by id, with zones that are out of service.

    ``on_ended`` is told the id of each upstream whose process is gone, also
    where another one has begun under the same id.
    """

    def __init__(self, on_ended: Callable[[str], None] = _ignore_ended) -> None:
        self._on_ended = on_ended
        self._states: dict[str, UpstreamState] = {}
        self._zones_out: set[str] = set()
        self._store_returned_at_s = float("-inf")
        # By service; emptied with each change.
        self._candidates: dict[str, tuple[UpstreamState, ...]] = {}
        # When the next missing upstream is dropped, and the last one is warm.
        self._next_removal_at_s = float("inf")
        self._any_cold_until_s = float("-inf")

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that get no new work."""
        return frozenset(self._zones_out)

    @property
    def upstream_ids(self) -> frozenset[str]:
        """Return the ids of all upstreams that are known."""
        return frozenset(self._states)

    def __iter__(self) -> Iterator[UpstreamState]:
        return iter(self._states.values())

    def __len__(self) -> int:
        return len(self._states)

    def get(self, upstream_id: str) -> UpstreamState | None:
        """Return the state of an upstream that is listed."""
        return self._states.get(upstream_id)

    def record_store_returned(self, now_s: float) -> None:
        """Keep upstreams for a while that the store has lost meanwhile."""
        self._store_returned_at_s = now_s

    def put(self, upstream: Upstream, now_s: float) -> None:
        """Add an upstream, or take over what it now says of itself."""
        cold_until_s = now_s + upstream.cold_left_s
        state = self._states.get(upstream.upstream_id)
        if state is not None and state.upstream.started_ms != upstream.started_ms:
            self._on_ended(upstream.upstream_id)
            state = None
        if state is None:
            state = UpstreamState(upstream)
            self._states[upstream.upstream_id] = state
        state.upstream = upstream
        state.cold_until_s = cold_until_s
        state.remove_at_s = None
        self._any_cold_until_s = max(self._any_cold_until_s, cold_until_s)
        self._candidates.clear()

    def remove(self, upstream_id: str, now_s: float) -> None:
        """Drop an upstream that is no longer listed.

        Just after the store was away it is kept for a moment, since live
        upstreams register again.
        """
        state = self._states.get(upstream_id)
        if state is None:
            return
        until_s = self._store_returned_at_s + REREGISTRATION_GRACE_S
        if now_s < until_s and not state.upstream.is_draining:
            state.remove_at_s = until_s
            self._next_removal_at_s = min(self._next_removal_at_s, until_s)
            return
        self._remove_state(upstream_id)

    def set_zone_disabled(self, zone: str, out: bool) -> None:
        """Take an availability zone out of service, or back."""
        (self._zones_out.add if out else self._zones_out.discard)(zone)
        self._candidates.clear()

    def candidates(self, service: str, now_s: float) -> Sequence[UpstreamState]:
        """Return the upstreams of ``service`` that may get new work.

        The same sequence is returned until an upstream changes.
        """
        if now_s >= self._next_removal_at_s:
            self._remove_missing(now_s)
        found = self._candidates.get(service)
        if found is None:
            found = tuple(
                state
                for state in self._states.values()
                if state.upstream.service == service
                and not state.upstream.is_draining
                and state.upstream.zone not in self._zones_out
            )
            self._candidates[service] = found
        return found

    def has_cold(self, now_s: float) -> bool:
        """Return whether any upstream may still be cold."""
        return now_s < self._any_cold_until_s

    def _remove_missing(self, now_s: float) -> None:
        self._next_removal_at_s = float("inf")
        for state in tuple(self._states.values()):
            if state.remove_at_s is None:
                continue
            if now_s >= state.remove_at_s:
                self._remove_state(state.upstream_id)
            else:
                self._next_removal_at_s = min(
                    self._next_removal_at_s, state.remove_at_s
                )

    def _remove_state(self, upstream_id: str) -> None:
        del self._states[upstream_id]
        self._candidates.clear()
        self._on_ended(upstream_id)
