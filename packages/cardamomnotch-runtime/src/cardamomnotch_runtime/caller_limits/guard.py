"""Applies the limits on callers to the connections of one listening socket."""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any, Protocol

from ..structured_log import log_event
from .budget import BudgetLimits, CallerBudget, CallerState, ShedReason
from .const import CHECK_INTERVAL_S

_LOGGER = logging.getLogger(__name__)
# Time without a closed connection after which the log says that it is over.
_QUIET_S = 5.0


class Guarded(Protocol):
    """A connection that a guard controls."""

    def resume_admitted(self) -> None:
        """Read the request on."""

    def measure_unsent(self) -> None:
        """Record how much of its answer the caller has read meanwhile."""

    def shed(self, reason: ShedReason) -> None:
        """Refuse or close the connection."""


class CallerGuard:
    """Holds the budget of a listening socket and applies its decisions."""

    def __init__(
        self,
        name: str,
        limits: BudgetLimits,
        clock: Callable[[], float] = time.monotonic,
        count_shed: Callable[[ShedReason], None] = lambda reason: None,
    ) -> None:
        self._name = name
        self._clock = clock
        self._count_shed = count_shed
        self._timer: asyncio.TimerHandle | None = None
        self._shed_since_log = 0
        self._is_shedding = False
        self._last_shed_s = 0.0
        self._released = asyncio.Event()
        self.budget = CallerBudget(limits)
        # Connections with a request whose response the kernel has not taken yet.
        self.busy_connections: set[Guarded] = set()

    def open(self, connection: Guarded) -> CallerState:
        """Return the state of a connection that was opened."""
        now_s = self._clock()
        state = CallerState(owner=connection, progress_at_s=now_s)
        self.budget.open(state)
        if self._timer is None:
            self._start_timer()
        self._shed_excess()
        return state

    def close(self, state: CallerState) -> None:
        """Record that a connection has ended."""
        self.budget.close(state)
        self._wake_answers()
        self._resume_admitted()

    def receive(self, state: CallerState, size: int) -> None:
        """Record bytes that have arrived, and close connections if need be."""
        self.budget.record_received(state, size, self._clock())
        self._shed_excess()

    def admit(self, state: CallerState, size: int) -> bool:
        """Return whether a request of ``size`` bytes may be read on now."""
        return self.budget.admit(state, size, self._clock())

    def serve(self, state: CallerState) -> None:
        """Record that a whole request has arrived."""
        self.budget.start_serving(state)
        self._shed_excess()

    def end_request(self, state: CallerState, kept_bytes: int) -> None:
        """Release what a request held."""
        state.progress_at_s = self._clock()
        self.budget.end_request(state, kept_bytes)
        self._wake_answers()
        self._resume_admitted()

    async def async_reserve_answer(self, state: CallerState, size: int) -> None:
        """Wait until there is room for an answer of ``size`` bytes.

        The room is released when the answer has been sent, or the connection closed.
        """
        if self.budget.reserve_answer(state, size):
            return
        self.budget.waiting_answers += 1
        try:
            while not self.budget.reserve_answer(state, size):
                await self._released.wait()
        finally:
            self.budget.waiting_answers -= 1

    def record_unsent(self, state: CallerState, size: int) -> None:
        """Record the bytes of answers that the caller has not read."""
        self.budget.record_unsent(state, size, self._clock())
        self._shed_excess()

    def shed(self, state: CallerState, reason: ShedReason) -> None:
        """Refuse or close a connection, and count it."""
        self.budget.shed_counts[reason] += 1
        self._count_shed(reason)
        self._shed_since_log += 1
        self._last_shed_s = self._clock()
        if not self._is_shedding:
            self._is_shedding = True
            self._log("callers are being refused or disconnected", reason=reason.value)
        self.budget.close(state)
        state.owner.shed(reason)

    def diagnostics(self) -> dict[str, Any]:
        """Return the part of the state dump on this socket's connections."""
        budget = self.budget
        return {
            "connections": budget.connections,
            "slots": budget.limits.slots,
            "held_bytes": budget.held_bytes,
            "max_held_bytes": budget.limits.held_bytes,
            "admitted_bytes": budget.admitted_bytes,
            "answer_bytes": budget.answer_bytes,
            "waiting": budget.waiting,
            "waiting_answers": budget.waiting_answers,
            "shed": {reason.value: n for reason, n in budget.shed_counts.items()},
        }

    def _shed_excess(self) -> None:
        while (excess := self.budget.find_excess()) is not None:
            self.shed(*excess)

    def _wake_answers(self) -> None:
        if self.budget.waiting_answers:
            self._released.set()
            self._released = asyncio.Event()

    def _resume_admitted(self) -> None:
        if self.budget.waiting:
            for state in self.budget.take_admitted(self._clock()):
                state.owner.resume_admitted()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        now_s = self._clock()
        for state in self.budget.unread:
            state.owner.measure_unsent()
        for state, reason in self.budget.find_overdue(now_s):
            self.shed(state, reason)
        self._resume_admitted()
        if self._is_shedding and now_s - self._last_shed_s > _QUIET_S:
            self._is_shedding = False
            self._log("callers are no longer refused", count=self._shed_since_log)
            self._shed_since_log = 0
        if self.budget.connections or self._is_shedding:
            self._start_timer()

    def _log(self, message: str, **fields: Any) -> None:
        log_event(
            _LOGGER,
            message,
            logging.WARNING,
            address=self._name,
            connections=self.budget.connections,
            held_bytes=self.budget.held_bytes,
            waiting=self.budget.waiting,
            **fields,
        )
