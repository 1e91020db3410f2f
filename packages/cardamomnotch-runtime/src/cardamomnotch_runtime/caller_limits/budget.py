"""What a process holds for its callers, and whom it refuses when that is too much.

Answers one load: crowds of callers that send bodies, heads or requests without an
end, or do not read their answers. Each is inside the limits of one request; all of
them together exceed the memory or the descriptors of the process. Without I/O; times
are in seconds of the caller's clock.
"""

import enum
from collections import Counter
from typing import Any

import attrs

from .const import (
    FREE_BYTES,
    MAX_WAIT_S,
    MIN_BODY_BYTES_PER_S,
    STALL_S,
    UNREAD_TIMEOUT_S,
    UNREAD_TIMEOUT_WHILE_SHORT_S,
)


class ShedReason(enum.Enum):
    """Why a connection is refused or closed."""

    CONNECTIONS = "connections"
    HEAD_TOO_LARGE = "head_too_large"
    IDLE = "idle"
    MEMORY = "memory"
    STALLED = "stalled"
    UNREAD = "unread"
    WAITED = "waited"


@attrs.frozen(kw_only=True)
class BudgetLimits:
    """Limits of one budget; sizes in bytes, times in seconds."""

    # Sum of the sizes of admitted bodies.
    body_bytes: int
    # Sum of the sizes of answers that are read as a whole before they are sent on.
    answer_bytes: int = 0
    # Sum of all bytes received and unread, from which connections are closed.
    held_bytes: int
    # Open connections and the requests being served on them, in all.
    slots: int
    # Bytes of one request that are read without being admitted.
    free_bytes: int = FREE_BYTES
    # Whether larger requests may be admitted at all.
    admits_bodies: bool = True
    # Time within which a connection must send a request; None if others check it.
    idle_s: float | None = None


@attrs.define(eq=False, kw_only=True)
class CallerState:
    """What the process holds for one connection; ``owner`` is the connection."""

    owner: Any
    progress_at_s: float
    # Bytes received that belong to a request without an end of its answer.
    held_bytes: int = 0
    # Bytes of answers that the caller has not read.
    unsent_bytes: int = 0
    unsent_since_s: float = 0.0
    # Room reserved for an answer.
    answer_bytes: int = 0
    admitted_bytes: int = 0
    admitted_at_s: float = 0.0
    # Size of a body that waits to be admitted; 0 if none does.
    wanted_bytes: int = 0
    wanted_since_s: float = 0.0
    # Whether the whole request has arrived and its answer has not ended.
    is_serving: bool = False

    @property
    def total_bytes(self) -> int:
        """Return all bytes held."""
        return self.held_bytes + self.unsent_bytes


class CallerBudget:
    """Admits bodies, smallest first, and names the connections to be closed."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._states: dict[CallerState, None] = {}
        self._waiting: dict[CallerState, None] = {}
        self._held = 0
        self._admitted = 0
        self._serving = 0
        self._answers = 0
        # Answers that wait for room.
        self.waiting_answers = 0
        self.shed_counts: Counter[ShedReason] = Counter()

    @property
    def limits(self) -> BudgetLimits:
        """Return the limits."""
        return self._limits

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for all connections."""
        return self._held

    @property
    def admitted_bytes(self) -> int:
        """Return the sum of the sizes of admitted bodies."""
        return self._admitted

    @property
    def answer_bytes(self) -> int:
        """Return the room reserved for answers."""
        return self._answers

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._states)

    @property
    def unread(self) -> list[CallerState]:
        """Return the connections whose callers have not read all of an answer."""
        return [state for state in self._states if state.unsent_bytes]

    @property
    def waiting(self) -> int:
        """Return the number of bodies that wait to be admitted."""
        return len(self._waiting)

    def open(self, state: CallerState) -> None:
        """Record a connection that was opened."""
        self._states[state] = None

    def close(self, state: CallerState) -> None:
        """Record that a connection has ended; later calls have no effect."""
        if state not in self._states:
            return
        self.end_request(state, 0)
        self.record_unsent(state, 0, 0.0)
        del self._states[state]

    def record_received(self, state: CallerState, size: int, now_s: float) -> None:
        """Record ``size`` bytes that have arrived."""
        if state not in self._states:
            return
        state.held_bytes += size
        state.progress_at_s = now_s
        self._held += size

    def record_unsent(self, state: CallerState, size: int, now_s: float) -> None:
        """Record that ``size`` bytes of answers have not been read yet."""
        if state not in self._states:
            return
        if not size or not state.unsent_bytes or size < state.unsent_bytes:
            state.unsent_since_s = now_s
        self._held += size - state.unsent_bytes
        state.unsent_bytes = size

    def start_serving(self, state: CallerState) -> None:
        """Record that a whole request has arrived."""
        if not state.is_serving and state in self._states:
            state.is_serving = True
            self._serving += 1

    def end_request(self, state: CallerState, kept_bytes: int) -> None:
        """Release what a request held, except ``kept_bytes`` of later ones."""
        self._held -= state.held_bytes - kept_bytes
        state.held_bytes = kept_bytes
        self._admitted -= state.admitted_bytes
        state.admitted_bytes = 0
        self._answers -= state.answer_bytes
        state.answer_bytes = 0
        self._serving -= state.is_serving
        state.is_serving = False
        self._stop_waiting(state)

    def admit(self, state: CallerState, size: int, now_s: float) -> bool:
        """Return whether a request of ``size`` bytes may be read on now.

        Otherwise it waits, and is returned by ``take_admitted`` later. A request that
        has arrived as a whole is always admitted: it takes no more than it has.
        """
        if state.held_bytes <= max(self._limits.free_bytes, state.admitted_bytes):
            return not state.wanted_bytes
        if state.is_serving or self._fits(state, size):
            self._grant(state, size, now_s)
            return True
        if state not in self._waiting:
            state.wanted_since_s = now_s
        state.wanted_bytes = size
        self._waiting[state] = None
        return False

    def reserve_answer(self, state: CallerState, size: int) -> bool:
        """Return whether there is room for an answer of ``size`` bytes, and take it.

        A single answer always has room.
        """
        others = self._answers - state.answer_bytes
        if others and others + size > self._limits.answer_bytes:
            return False
        if state in self._states:
            self._answers = others + size
            state.answer_bytes = size
        return True

    def take_admitted(self, now_s: float) -> list[CallerState]:
        """Admit waiting bodies while they fit, smallest first, and return them."""
        admitted = []
        for state in sorted(self._waiting, key=lambda state: state.wanted_bytes):
            if not self._fits(state, state.wanted_bytes):
                break
            self._grant(state, state.wanted_bytes, now_s)
            admitted.append(state)
        return admitted

    def find_excess(self) -> tuple[CallerState, ShedReason] | None:
        """Return a connection to close while a limit of the process is exceeded."""
        if self._held > self._limits.held_bytes:
            return max(self._states, key=_memory_rank), ShedReason.MEMORY
        if len(self._states) + self._serving > self._limits.slots:
            return min(self._states, key=_slot_rank), ShedReason.CONNECTIONS
        return None

    def find_overdue(self, now_s: float) -> list[tuple[CallerState, ShedReason]]:
        """Return the connections whose time is over."""
        overdue = []
        for state in self._states:
            reason = self._overdue_reason(state, now_s)
            if reason is not None:
                overdue.append((state, reason))
        return overdue

    def _overdue_reason(self, state: CallerState, now_s: float) -> ShedReason | None:
        if state.unsent_bytes:
            timeout_s = UNREAD_TIMEOUT_S
            if self.waiting_answers:
                timeout_s = UNREAD_TIMEOUT_WHILE_SHORT_S
            is_late = now_s - state.unsent_since_s > timeout_s
            return ShedReason.UNREAD if is_late else None
        if state.is_serving:
            return None
        if state.wanted_bytes:
            is_late = now_s - state.wanted_since_s > MAX_WAIT_S
            return ShedReason.WAITED if is_late else None
        if state.admitted_bytes and self._waiting and self._is_slow(state, now_s):
            return ShedReason.STALLED
        idle_s = self._limits.idle_s
        if idle_s is not None and now_s - state.progress_at_s > idle_s:
            return ShedReason.IDLE
        return None

    def _is_slow(self, state: CallerState, now_s: float) -> bool:
        if now_s - state.progress_at_s > STALL_S:
            return True
        age_s = now_s - state.admitted_at_s - STALL_S
        return age_s > 0 and state.held_bytes < age_s * MIN_BODY_BYTES_PER_S

    def _fits(self, state: CallerState, size: int) -> bool:
        if not self._limits.admits_bodies:
            return False
        others = self._admitted - state.admitted_bytes
        return not others or others + size <= self._limits.body_bytes

    def _grant(self, state: CallerState, size: int, now_s: float) -> None:
        size = max(size, state.held_bytes)
        self._admitted += size - state.admitted_bytes
        state.admitted_bytes = size
        state.admitted_at_s = now_s
        state.progress_at_s = now_s
        self._stop_waiting(state)

    def _stop_waiting(self, state: CallerState) -> None:
        self._waiting.pop(state, None)
        state.wanted_bytes = 0


def _memory_rank(state: CallerState) -> tuple[bool, bool, float]:
    """Rank requests being processed last, then large and inactive holders first."""
    is_unread = state.unsent_bytes > 0
    since_s = state.unsent_since_s if is_unread else state.progress_at_s
    is_evictable = is_unread or not state.is_serving
    return is_evictable, state.total_bytes >= FREE_BYTES, -since_s


def _slot_rank(state: CallerState) -> tuple[bool, bool, float]:
    """Rank requests being served last, and the longest without progress first."""
    return state.is_serving, bool(state.admitted_bytes), state.progress_at_s
