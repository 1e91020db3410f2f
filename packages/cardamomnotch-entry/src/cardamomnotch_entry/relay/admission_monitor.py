"""Checks of the requests that wait for free slots, with logs and metrics."""

import logging
from collections.abc import Callable, Iterable

from cardamomnotch_core.relay.admission.models import QueueState
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_runtime.structured_log import log_event

_LOGGER = logging.getLogger(__name__)


class AdmissionMonitor:
    """Refuses what can no longer be served in time, and logs overload."""

    def __init__(
        self,
        node: RelayNode,
        clock: Callable[[], float],
        set_queues: Callable[[Iterable[QueueState]], None],
    ) -> None:
        self._node = node
        self._clock = clock
        self._set_queues = set_queues
        # Services whose queue is overloaded.
        self._overloaded: set[str] = set()

    async def async_check(self) -> None:
        """Check the queues once; called in a loop."""
        now_s = self._clock()
        self._node.admission.check(now_s)
        queues = self._node.admission.queues(now_s)
        self._set_queues(queues)
        self._log_overload({queue.service: queue for queue in queues})

    def _log_overload(self, queues: dict[str, QueueState]) -> None:
        overloaded = {name for name, queue in queues.items() if queue.overloaded}
        for service in sorted(overloaded ^ self._overloaded):
            queue = queues.get(service)
            is_overloaded = service in overloaded
            log_event(
                _LOGGER,
                "requests of a service wait too long; refusing those that are late"
                if is_overloaded
                else "requests of a service no longer wait too long",
                logging.WARNING if is_overloaded else logging.INFO,
                service=service,
                priorities=list(queue.overloaded) if queue else [],
                waiting=queue.requests if queue else 0,
                waiting_bytes=queue.body_bytes if queue else 0,
                oldest_ms=int(queue.oldest_s * 1000) if queue else 0,
                slots_per_s=queue.slots_per_s if queue else None,
            )
        self._overloaded = overloaded
