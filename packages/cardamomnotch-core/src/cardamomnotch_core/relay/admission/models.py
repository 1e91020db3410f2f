"""Data of admission: requests that wait, and what is decided on them."""

from collections.abc import Callable, Hashable
from enum import StrEnum

import attrs
import xxhash

from .const import WORKSPACE_HASH_DIGITS


def hash_workspace(name: str | None) -> str:
    """Return the short hash of a workspace's name; None is a caller without one."""
    return xxhash.xxh3_64_hexdigest((name or "").encode())[:WORKSPACE_HASH_DIGITS]


class RefusalReason(StrEnum):
    """Why a request was refused instead of waiting."""

    NO_TIME = "no_time"
    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    DRAINING = "draining"


class WaitReason(StrEnum):
    """In which place of its priority a request waits."""

    CONTINUED = "continued"
    NO_SLOT = "no_slot"
    EARLY_RETURN = "early_return"


@attrs.frozen(kw_only=True)
class WaitingRequest:
    """A request that needs a slot; times are times of the caller's clock."""

    # Unique among the requests that wait.
    request_id: Hashable
    service: str
    # Hash of the workspace's name.
    workspace: str
    # From 0, the most urgent.
    priority: int
    arrived_at_s: float
    # When sending it becomes useless, since no answer is expected by its deadline.
    latest_start_s: float
    # The route's target latency.
    target_latency_s: float
    body_bytes: int = 0
    # Hash of path, caller and body.
    fingerprint: str = ""
    # Whether it has run already, at an upstream that failed or whose answer is dropped.
    is_continued: bool = False


def _accept_any(request: WaitingRequest) -> bool:
    return True


@attrs.frozen(kw_only=True)
class Room:
    """Free slots, and which of the waiting requests may use them."""

    free_slots: int
    may_use: Callable[[WaitingRequest], bool] = _accept_any


@attrs.frozen
class Admit:
    """The request may be sent now."""


@attrs.frozen
class Wait:
    """The request waits in the queue."""

    reason: WaitReason


@attrs.frozen
class Refuse:
    """The request is refused, and has not been sent from the queue."""

    reason: RefusalReason
    retry_after_s: float


@attrs.frozen(kw_only=True)
class QueueState:
    """What waits for a service."""

    service: str
    requests: int
    body_bytes: int
    # Time in the queue of the request that has waited longest, in seconds.
    oldest_s: float
    # Priorities that are overloaded.
    overloaded: tuple[int, ...]
    # Slots obtained a second; None if unknown.
    slots_per_s: float | None
