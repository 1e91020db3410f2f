"""Classes of the membership table."""

import attrs

from cardamomnotch_protocol.models import Load

from .const import HEARTBEAT_INTERVAL_S, SILENT_AFTER_INTERVALS, SILENT_AFTER_S
from .states import MemberState


@attrs.frozen(kw_only=True)
class Vm:
    """A VM of the platform's list; ``address`` is "ip:port".

    ``serves`` names models, versions or services, if the list says so.
    """

    vm_id: str
    address: str
    zone: str
    role: str
    leaving: bool = False
    serves: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Upstream:
    """An upstream as an entry knows it."""

    vm_id: str
    address: str
    zone: str
    leaving: bool = False
    state: MemberState = MemberState.JOINING
    # Empty until the sidecar has answered a heartbeat.
    incarnation: str = ""
    revision: int = 0
    # The revision that the last heartbeat told the sidecar.
    told_revision: int = 0
    accepting: bool = False
    versions: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    load: Load = Load()
    heard_at_s: float = float("-inf")
    # When the last answered heartbeat was sent.
    heartbeat_at_s: float = float("-inf")
    # When a heartbeat last went without an answer.
    failed_at_s: float = float("-inf")
    heartbeat_after_s: float = HEARTBEAT_INTERVAL_S

    @property
    def is_known(self) -> bool:
        """Return whether its sidecar has answered."""
        return bool(self.incarnation)

    @property
    def was_asked(self) -> bool:
        """Return whether its sidecar has answered or failed to."""
        return self.is_known or self.failed_at_s > float("-inf")

    @property
    def silent_after_s(self) -> float:
        """Return the silence after which it gets no new work."""
        return max(SILENT_AFTER_S, SILENT_AFTER_INTERVALS * self.heartbeat_after_s)

    def is_silent(self, now_s: float) -> bool:
        """Return whether too little was heard of it to give it work."""
        return now_s - self.heard_at_s > self.silent_after_s
