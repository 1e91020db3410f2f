"""Models of the fleet's VMs and upstreams."""

import attrs

from cardamomnotch_protocol.models import Load

from .const import (
    HEARTBEAT_INTERVAL_S,
    UNRESPONSIVE_AFTER_INTERVALS,
    UNRESPONSIVE_AFTER_S,
)
from .states import MemberState


@attrs.frozen(kw_only=True)
class Vm:
    """A VM in the platform's VM list.

    ``address`` is "ip:port". ``serves`` are the models, versions or services
    that the VM serves; it is empty if the list does not say.
    """

    vm_id: str
    address: str
    zone: str
    role: str
    leaving: bool = False
    serves: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Upstream:
    """What an entry knows about an upstream; times are monotonic."""

    vm_id: str
    address: str
    zone: str
    leaving: bool = False
    state: MemberState = MemberState.JOINING
    # Empty until the sidecar has answered a heartbeat.
    incarnation: str = ""
    # The active configuration revision of the sidecar.
    revision: int = 0
    # The configuration revision that the last answered heartbeat sent to the
    # sidecar.
    told_revision: int = 0
    accepting: bool = False
    versions: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    load: Load = Load()
    # When the upstream last proved that it responds: the time at which an
    # answered heartbeat was sent, or an attempt's response arrived.
    heard_at_s: float = float("-inf")
    # When the last answered heartbeat was sent.
    heartbeat_at_s: float = float("-inf")
    # When a heartbeat was last recorded as unanswered.
    failed_at_s: float = float("-inf")
    # Time to leave between two heartbeats.
    heartbeat_after_s: float = HEARTBEAT_INTERVAL_S

    @property
    def has_responded(self) -> bool:
        """Return whether the sidecar has ever answered a heartbeat."""
        return bool(self.incarnation)

    @property
    def was_probed(self) -> bool:
        """Return whether a heartbeat was answered or has failed."""
        return self.has_responded or self.failed_at_s > float("-inf")

    @property
    def unresponsive_after_s(self) -> float:
        """Return the time without a response after which new work stops."""
        return max(
            UNRESPONSIVE_AFTER_S, UNRESPONSIVE_AFTER_INTERVALS * self.heartbeat_after_s
        )

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether the last response is too old for new work."""
        return now_s - self.heard_at_s > self.unresponsive_after_s
