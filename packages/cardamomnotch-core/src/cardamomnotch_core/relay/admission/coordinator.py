"""Admission of one entry's requests: free slots, the queue, and shares.

Answers callers that compete for too little capacity.
"""

import random
from collections.abc import Callable, Hashable, Iterable, Mapping
from functools import partial

import attrs

from cardamomnotch_protocol.result_codes import ResultCode

from ..const import MAX_ATTEMPT_S
from ..exceptions import RefusalError
from ..fleet import Fleet, UpstreamState
from ..limits import RelayLimits
from ..live_entries import LiveEntries
from ..models import Upstream
from .const import MIN_RETRY_S, SHORTAGE_S
from .durations import AttemptDurations
from .full_upstreams import FullUpstreams
from .models import (
    Admit,
    QueueState,
    RefusalReason,
    Refuse,
    Room,
    Wait,
    WaitingRequest,
)
from .queue import AdmissionQueue, Decision
from .shares import WorkspaceUse

# Upstreams that a request may use, at a time; raises RefusalError if there are none.
Candidates = Callable[[float], Iterable[UpstreamState]]
OnDecided = Callable[[Admit | Refuse], None]

# Result code and text of each refusal.
_REFUSALS: Mapping[RefusalReason, tuple[ResultCode, str]] = {
    RefusalReason.NO_TIME: (
        ResultCode.UPSTREAM_FULL,
        "all upstreams are full, and the wait is longer than the request's time",
    ),
    RefusalReason.OVERLOAD: (
        ResultCode.UPSTREAM_FULL,
        "all upstreams are full, and requests of this priority wait too long",
    ),
    RefusalReason.QUEUE_FULL: (
        ResultCode.UPSTREAM_FULL,
        "all upstreams are full, and more urgent requests fill the queue",
    ),
    RefusalReason.DRAINING: (ResultCode.DRAINING, "the entry is stopping"),
}


def refusal_error(refuse: Refuse) -> RefusalError:
    """Return the error for a request that is refused; it has not run."""
    code, detail = _REFUSALS[refuse.reason]
    return RefusalError(code, detail, refuse.retry_after_s)


@attrs.frozen
class _Pending:
    """How a waiting request learns of its decision, and what it may use."""

    candidates: Candidates
    on_decided: OnDecided


class Admission:
    """Lets requests wait for free slots, and wakes them when there are some.

    A free slot is one of the registered slots beyond the requests that all entries
    have in flight at an upstream, or a place in an upstream's own queue that is soon
    over. Upstreams that are a last resort have none, unless
    there are no others. Slots granted to a waiting request count as used until the
    request is sent.
    """

    def __init__(
        self,
        fleet: Fleet,
        entries: LiveEntries,
        limits: RelayLimits,
        random_source: random.Random,
        is_avoided: Callable[[Upstream, float], bool],
    ) -> None:
        self._fleet = fleet
        self._is_avoided = is_avoided
        self._queue = AdmissionQueue(limits, random_source, self._cost_of)
        self.use = WorkspaceUse(
            entries.own,
            entries.__len__,
            self._capacity,
            self._queue.waiting_by_workspace,
        )
        self._full = FullUpstreams()
        self._durations = AttemptDurations()
        self._pending: dict[Hashable, _Pending] = {}
        # Services of the requests that were woken and are not sent yet.
        self._granted: dict[Hashable, str] = {}
        self._is_draining = False

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    def queues(self, now_s: float) -> list[QueueState]:
        """Return the queues of the services for which requests wait."""
        return self._queue.states(now_s)

    def set_limits(self, limits: RelayLimits) -> None:
        """Apply changed limits."""
        self._queue.set_limits(limits)

    def decide(
        self,
        request: WaitingRequest,
        candidates: Candidates,
        on_decided: OnDecided,
        now_s: float,
    ) -> Decision:
        """Decide on a request that is to be sent.

        If it waits, ``on_decided`` is called once, unless ``cancel`` is called before.
        """
        service = request.service
        is_queued = service in self._queue.services
        wanted = self._queue.waiting_for(service) + 1
        free = self._free_slots(candidates, service, wanted, now_s)
        if free and not is_queued:
            return Admit()
        self.use.record_short(service, now_s + SHORTAGE_S)
        if self._is_draining:
            return Refuse(RefusalReason.DRAINING, MIN_RETRY_S)
        decision, evicted = self._queue.decide(request, Room(free_slots=free), now_s)
        for other, refuse in evicted:
            self._end(other.request_id, refuse)
        if not isinstance(decision, Wait):
            return decision
        self._pending[request.request_id] = _Pending(candidates, on_decided)
        if free:
            # Those before it may be bound to other upstreams.
            self._dispatch(service, now_s)
        return decision if request.request_id in self._queue else Admit()

    def record_placed(self, request_id: Hashable) -> None:
        """Record that a woken request is sent now."""
        self._granted.pop(request_id, None)

    def cancel(self, request_id: Hashable, now_s: float) -> None:
        """Remove a request that is not sent; a slot granted to it is for others."""
        self._pending.pop(request_id, None)
        self._queue.cancel(request_id)
        service = self._granted.pop(request_id, None)
        if service is not None:
            self._dispatch(service, now_s)

    def has_slot(self, state: UpstreamState, now_s: float) -> bool:
        """Return whether an upstream has a free slot."""
        return self._slots_of(state, now_s) > 0

    def record_refused(
        self, state: UpstreamState, attempt: Hashable, now_s: float
    ) -> None:
        """Record that an upstream refused an attempt since it is full."""
        self._full.record_refused(state, attempt, now_s)

    def record_completed(self, service: str, duration_s: float) -> None:
        """Record how long a complete attempt of this entry took."""
        self._durations.record(service, duration_s)

    def handle_ended(
        self, state: UpstreamState, attempt: Hashable, now_s: float
    ) -> None:
        """Give the slot of an attempt that has ended, at any entry, to a request."""
        self._full.record_ended(state, attempt)
        service = state.upstream.service
        if service in self._queue.services and self.has_slot(state, now_s):
            self._dispatch(service, now_s)

    def handle_change(self, now_s: float) -> None:
        """Give slots to requests after upstreams, versions or entries have changed."""
        for service in self._queue.services:
            self._dispatch(service, now_s)

    def check(self, now_s: float) -> None:
        """Refuse what cannot be served in time, and drop what has expired."""
        self._full.expire(now_s)
        self.use.expire(now_s)
        self.handle_change(now_s)
        for request, refuse in self._queue.take_hopeless(now_s):
            self._end(request.request_id, refuse)
        for service in self._queue.services:
            self.use.record_short(service, now_s + SHORTAGE_S)

    def start_draining(self) -> None:
        """Refuse the requests that wait, and those that would have to."""
        self._is_draining = True
        for request in self._queue.take_all():
            self._end(request.request_id, Refuse(RefusalReason.DRAINING, MIN_RETRY_S))

    def _dispatch(self, service: str, now_s: float) -> None:
        """Wake the waiting requests of a service for which there are free slots."""
        everywhere = partial(self._fleet.candidates, service)
        room = Room(free_slots=1, may_use=partial(self._may_use, now_s))
        while service in self._queue.services and self._free_slots(
            everywhere, service, 1, now_s
        ):
            ready = self._queue.take_ready(service, room, now_s)
            if not ready:
                return
            request_id = ready[0].request_id
            self._granted[request_id] = service
            self._end(request_id, Admit())

    def _may_use(self, now_s: float, request: WaitingRequest) -> bool:
        candidates = self._pending[request.request_id].candidates
        return self._free_slots(candidates, request.service, 1, now_s) > 0

    def _end(self, request_id: Hashable, decision: Admit | Refuse) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.on_decided(decision)

    def _free_slots(
        self, candidates: Candidates, service: str, at_most: int, now_s: float
    ) -> int:
        """Return the free slots of upstreams, up to ``at_most``.

        A request without any upstream, or with last resorts only, does not wait for a
        slot: placing it tells why.
        """
        granted = sum(name == service for name in self._granted.values())
        free, has_sound = 0, False
        try:
            for state in candidates(now_s):
                has_sound = has_sound or self._is_sound(state, now_s)
                free += self._slots_of(state, now_s)
                if free >= at_most + granted:
                    return at_most
        except RefusalError:
            return at_most
        return max(0, free - granted) if has_sound else at_most

    def _slots_of(self, state: UpstreamState, now_s: float) -> int:
        service, slots = state.upstream.service, state.upstream.slots
        max_age_s = self._durations.max_age_s(service, MAX_ATTEMPT_S)
        free = slots - state.running(now_s, max_age_s)
        free += self._durations.queued_at_upstream(service, slots)
        if free <= 0 or self._full.is_full(state, now_s):
            return 0
        return free if self._is_sound(state, now_s) else 0

    def _is_sound(self, state: UpstreamState, now_s: float) -> bool:
        """Return whether an upstream is used other than as a last resort."""
        return (
            not state.has_ended(now_s)
            and not self._full.is_last_resort(state, now_s)
            and not self._is_avoided(state.upstream, now_s)
        )

    def _capacity(self, service: str, now_s: float) -> float:
        return sum(
            state.upstream.slots for state in self._fleet.candidates(service, now_s)
        )

    def _cost_of(self, service: str, workspace: str, now_s: float) -> float:
        return self.use.slot_cost(service, workspace, now_s)
