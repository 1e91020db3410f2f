"""The requests that wait for one service, over all priorities."""

import itertools
from collections.abc import Iterator

import attrs

from .const import (
    CERTAIN_WAIT_FRACTION,
    MAX_CONSIDERED,
    SLOTS_PER_LOWER_PRIORITY,
)
from .level import PriorityLevel
from .models import (
    QueueState,
    RefusalReason,
    Room,
    WaitingRequest,
    WaitReason,
)
from .overload import OverloadDetector
from .turnover import SlotTurnover


@attrs.frozen
class Waiting:
    """A request in the queue, and since when."""

    request: WaitingRequest
    sequence: int
    since_s: float


class ServiceQueue:
    """Orders the requests of a service, and finds those that cannot be served.

    Of each SLOTS_PER_LOWER_PRIORITY slots one goes to a priority other than the most
    urgent that waits, in turn. So a priority that waits beside n more urgent or other
    ones gets at least one of n * SLOTS_PER_LOWER_PRIORITY slots.
    """

    def __init__(self, service: str, now_s: float) -> None:
        self._service = service
        self._levels: dict[int, PriorityLevel] = {}
        self._overloads: dict[int, OverloadDetector] = {}
        self._waiting: dict[int, Waiting] = {}
        self._turnover = SlotTurnover(now_s)
        self._slots_taken = 0
        # Number of slots taken when each priority got its last one.
        self._last_taken: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def overloaded(self) -> tuple[int, ...]:
        """Return the priorities that are overloaded."""
        return tuple(
            sorted(
                priority
                for priority, overload in self._overloads.items()
                if overload.is_overloaded
            )
        )

    def slots_per_s(self, now_s: float) -> float | None:
        """Return the rate at which waiting requests get slots; None if unknown."""
        return self._turnover.slots_per_s(now_s)

    def state(self, now_s: float) -> QueueState:
        """Return the state for metrics and the state dump."""
        oldest_s = min(
            (waiting.since_s for waiting in self._waiting.values()), default=now_s
        )
        return QueueState(
            service=self._service,
            requests=len(self._waiting),
            body_bytes=sum(
                waiting.request.body_bytes for waiting in self._waiting.values()
            ),
            oldest_s=now_s - oldest_s,
            overloaded=self.overloaded,
            slots_per_s=self.slots_per_s(now_s),
        )

    def add(self, waiting: Waiting, reason: WaitReason) -> None:
        """Add a request."""
        request = waiting.request
        level = self._levels.get(request.priority)
        if level is None:
            level = self._levels[request.priority] = PriorityLevel()
            self._last_taken[request.priority] = self._slots_taken
        level.add(waiting.sequence, request, reason)
        self._waiting[waiting.sequence] = waiting

    def remove(self, waiting: Waiting) -> None:
        """Remove a request that gets no slot."""
        self._levels[waiting.request.priority].remove(waiting.sequence, waiting.request)
        self._discard(waiting)

    def take(self, waiting: Waiting, cost: float, now_s: float) -> None:
        """Remove a request that gets a slot, which costs its workspace ``cost``."""
        request = waiting.request
        self._levels[request.priority].take(waiting.sequence, request, cost)
        self._turnover.record_taken(now_s)
        self._slots_taken += 1
        self._last_taken[request.priority] = self._slots_taken
        self._overload(request.priority).record_wait(
            now_s - waiting.since_s, request.target_latency_s, now_s, is_over=True
        )
        self._discard(waiting)

    def next_for(self, room: Room) -> Waiting | None:
        """Return the first request in order that may use a free slot."""
        for waiting in itertools.islice(self._in_order(), MAX_CONSIDERED):
            if room.may_use(waiting.request):
                return waiting
        return None

    def last(self) -> Waiting:
        """Return the request that ranks last."""
        _, sequence, _ = self._levels[max(self._levels)].last()
        return self._waiting[sequence]

    def ahead_of(self, waiting: Waiting) -> int:
        """Return how many requests get a slot before one, at most.

        Requests that arrive later are not counted.
        """
        request = waiting.request
        before = self._levels[request.priority].position(waiting.sequence, request)
        higher = sum(
            len(level)
            for priority, level in self._levels.items()
            if priority < request.priority
        )
        return self._bounded(before, higher)

    def refusable(self, now_s: float) -> Iterator[tuple[Waiting, RefusalReason, int]]:
        """Yield the requests that cannot be served in time, and how many are ahead."""
        rate = self.slots_per_s(now_s)
        higher = 0
        for priority in sorted(self._levels):
            self._record_first_wait(priority, now_s)
            kept = 0
            for _, sequence, _ in tuple(self._levels[priority].ordered()):
                waiting = self._waiting[sequence]
                ahead = self._bounded(kept, higher)
                reason = self.refusal_of(waiting, ahead, rate, now_s)
                if reason is None:
                    kept += 1
                else:
                    yield waiting, reason, ahead
            higher += kept

    def refusal_of(
        self, waiting: Waiting, ahead: int, rate: float | None, now_s: float
    ) -> RefusalReason | None:
        """Return why a request has to be refused; None if it may wait.

        In overload a request waits only as long as its first token may be on time.
        """
        request = waiting.request
        wait_s = CERTAIN_WAIT_FRACTION * (ahead + 1) / rate if rate else 0.0
        if now_s + wait_s > request.latest_start_s:
            return RefusalReason.NO_TIME
        if request.is_continued or not self._overload(request.priority).is_overloaded:
            return None
        on_time_s = request.arrived_at_s + request.target_latency_s
        return RefusalReason.OVERLOAD if now_s + wait_s > on_time_s else None

    def _in_order(self) -> Iterator[Waiting]:
        """Yield the requests in order; only the first is exact."""
        priorities = sorted(self._levels)
        due = priorities[0]
        if (self._slots_taken + 1) % SLOTS_PER_LOWER_PRIORITY == 0:
            due = min(priorities[1:] or priorities, key=self._last_taken.__getitem__)
        _, first, _ = self._levels[due].first()
        yield self._waiting[first]
        for priority in sorted(priorities, key=lambda priority: priority != due):
            for _, sequence, _ in self._levels[priority].ordered():
                if sequence != first:
                    yield self._waiting[sequence]

    def _bounded(self, before: int, higher: int) -> int:
        """Return how many slots are taken at most before a request gets one."""
        others = max(1, len(self._levels) - 1)
        return min(before + higher, (before + 1) * SLOTS_PER_LOWER_PRIORITY * others)

    def _record_first_wait(self, priority: int, now_s: float) -> None:
        """Detect overload of a priority of which no request gets a slot."""
        _, sequence, request = self._levels[priority].first()
        self._overload(priority).record_wait(
            now_s - self._waiting[sequence].since_s,
            request.target_latency_s,
            now_s,
            is_over=False,
        )

    def _overload(self, priority: int) -> OverloadDetector:
        return self._overloads.setdefault(priority, OverloadDetector())

    def _discard(self, waiting: Waiting) -> None:
        priority = waiting.request.priority
        del self._waiting[waiting.sequence]
        if not self._levels[priority]:
            # Nothing waits there, so its queue does not stand.
            del self._levels[priority]
            del self._last_taken[priority]
            self._overloads.pop(priority, None)
