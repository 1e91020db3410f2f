"""Bounded queue of the requests that wait for slots, over all services.

Answers more requests than there are slots, for longer than callers wait.
"""

import itertools
import random
from collections.abc import Callable, Hashable, Iterator

from ..limits import RelayLimits
from .const import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    RETRY_JITTER,
    UNKNOWN_RATE_RETRY_FRACTION,
)
from .early_returns import EarlyReturns
from .models import (
    Admit,
    QueueState,
    RefusalReason,
    Refuse,
    Room,
    Wait,
    WaitingRequest,
    WaitReason,
)
from .service_queue import ServiceQueue, Waiting

Decision = Admit | Wait | Refuse


def _equal_cost(service: str, workspace: str, now_s: float) -> float:
    return 1.0


class AdmissionQueue:
    """Decides which requests are sent, wait, or are refused.

    ``cost_of`` is what a slot costs a workspace of a service, in virtual time: 1, or
    more if it uses more than its share.
    """

    def __init__(
        self,
        limits: RelayLimits,
        random_source: random.Random,
        cost_of: Callable[[str, str, float], float] = _equal_cost,
    ) -> None:
        self._limits = limits
        self._random = random_source
        self._cost_of = cost_of
        self._services: dict[str, ServiceQueue] = {}
        self._waiting: dict[Hashable, Waiting] = {}
        self._body_bytes = 0
        self._sequence = itertools.count()
        self.early_returns = EarlyReturns()

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._waiting

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the waiting requests' bodies."""
        return self._body_bytes

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services for which requests wait."""
        return tuple(self._services)

    def waiting_for(self, service: str) -> int:
        """Return how many requests wait for a service."""
        queue = self._services.get(service)
        return len(queue) if queue is not None else 0

    def states(self, now_s: float) -> list[QueueState]:
        """Return the state of each service for which requests wait."""
        return [queue.state(now_s) for queue in self._services.values()]

    def waiting_by_workspace(self, service: str) -> dict[str, int]:
        """Return how many requests of each workspace wait for a service."""
        counts: dict[str, int] = {}
        for waiting in self._waiting.values():
            if waiting.request.service == service:
                name = waiting.request.workspace
                counts[name] = counts.get(name, 0) + 1
        return counts

    def set_limits(self, limits: RelayLimits) -> None:
        """Apply changed limits, to requests that arrive from now on."""
        self._limits = limits

    def decide(
        self, request: WaitingRequest, room: Room, now_s: float
    ) -> tuple[Decision, list[tuple[WaitingRequest, Refuse]]]:
        """Decide on a request that arrives.

        Returns the decision, and the waiting requests that are refused in its favour
        since the queue is full. A request that may use a free slot is admitted if
        fewer requests than free slots wait before it.
        """
        if room.free_slots and request.service not in self._services:
            return Admit(), []
        reason = self._place_of(request, now_s)
        queue = self._services.get(request.service)
        if queue is None:
            queue = self._services[request.service] = ServiceQueue(
                request.service, now_s
            )
        waiting = Waiting(request, next(self._sequence), now_s)
        self._add(queue, waiting, reason)
        ahead = queue.ahead_of(waiting)
        if ahead < room.free_slots:
            self._take(waiting, now_s)
            return Admit(), []
        refusal = queue.refusal_of(waiting, ahead, queue.slots_per_s(now_s), now_s)
        if refusal is not None:
            return self._refuse(waiting, refusal, ahead, now_s), []
        evicted = list(self._evict(now_s))
        for other, refuse in evicted:
            if other is request:
                return refuse, [item for item in evicted if item[0] is not request]
        return Wait(reason), evicted

    def cancel(self, request_id: Hashable) -> bool:
        """Remove a request whose caller has left or whose deadline has passed.

        Returns whether it was waiting.
        """
        waiting = self._waiting.get(request_id)
        if waiting is None:
            return False
        self._remove(waiting)
        return True

    def take_ready(
        self, service: str, room: Room, now_s: float
    ) -> list[WaitingRequest]:
        """Remove and return the requests that get the free slots, in order."""
        ready: list[WaitingRequest] = []
        while len(ready) < room.free_slots and service in self._services:
            waiting = self._services[service].next_for(room)
            if waiting is None:
                break
            self._take(waiting, now_s)
            ready.append(waiting.request)
        return ready

    def take_hopeless(self, now_s: float) -> list[tuple[WaitingRequest, Refuse]]:
        """Remove and return the requests that can no longer be served in time."""
        return [
            (waiting.request, self._refuse(waiting, reason, ahead, now_s))
            for queue in tuple(self._services.values())
            for waiting, reason, ahead in tuple(queue.refusable(now_s))
        ]

    def take_all(self) -> list[WaitingRequest]:
        """Remove and return all requests, since the entry stops."""
        requests = [waiting.request for waiting in self._waiting.values()]
        for waiting in tuple(self._waiting.values()):
            self._remove(waiting)
        return requests

    def _place_of(self, request: WaitingRequest, now_s: float) -> WaitReason:
        if request.is_continued:
            return WaitReason.CONTINUED
        if self.early_returns.is_early(request.fingerprint, now_s):
            return WaitReason.EARLY_RETURN
        return WaitReason.NO_SLOT

    def _evict(self, now_s: float) -> Iterator[tuple[WaitingRequest, Refuse]]:
        """Refuse the lowest-ranked requests until the queue is within its bounds."""
        while (
            len(self._waiting) > self._limits.queue_requests
            or self._body_bytes > self._limits.queue_bytes
        ):
            lowest = max(
                (queue.last() for queue in self._services.values()),
                key=lambda waiting: (
                    waiting.request.priority,
                    not waiting.request.is_continued,
                    waiting.sequence,
                ),
            )
            ahead = len(self._services[lowest.request.service]) - 1
            yield (
                lowest.request,
                self._refuse(lowest, RefusalReason.QUEUE_FULL, ahead, now_s),
            )

    def _refuse(
        self, waiting: Waiting, reason: RefusalReason, ahead: int, now_s: float
    ) -> Refuse:
        request = waiting.request
        rate = self._services[request.service].slots_per_s(now_s)
        self._remove(waiting)
        if rate:
            retry_s = (ahead + 1) / rate
        else:
            fraction = UNKNOWN_RATE_RETRY_FRACTION * (1 + request.priority)
            retry_s = fraction * request.target_latency_s
        retry_s *= self._random.uniform(*RETRY_JITTER)
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, retry_s))
        self.early_returns.record_refused(request.fingerprint, now_s + retry_s)
        return Refuse(reason, retry_s)

    def _add(self, queue: ServiceQueue, waiting: Waiting, reason: WaitReason) -> None:
        queue.add(waiting, reason)
        self._waiting[waiting.request.request_id] = waiting
        self._body_bytes += waiting.request.body_bytes

    def _take(self, waiting: Waiting, now_s: float) -> None:
        request = waiting.request
        cost = self._cost_of(request.service, request.workspace, now_s)
        self._services[request.service].take(waiting, cost, now_s)
        self._discard(waiting)

    def _remove(self, waiting: Waiting) -> None:
        self._services[waiting.request.service].remove(waiting)
        self._discard(waiting)

    def _discard(self, waiting: Waiting) -> None:
        request = waiting.request
        del self._waiting[request.request_id]
        self._body_bytes -= request.body_bytes
        if not self._services[request.service]:
            del self._services[request.service]
