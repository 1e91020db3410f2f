"""Classes of the membership table."""

import attrs

from cardamomnotch_protocol.models import Load


@attrs.frozen(kw_only=True)
class Vm:
    """A VM of the platform's list; ``address`` is "ip:port"."""

    vm_id: str
    address: str
    zone: str
    role: str
    leaving: bool = False


@attrs.frozen(kw_only=True)
class Upstream:
    """An upstream as an entry knows it."""

    vm_id: str
    address: str
    zone: str
    leaving: bool = False
    # Empty until the sidecar has answered a heartbeat.
    incarnation: str = ""
    revision: int = 0
    accepting: bool = False
    versions: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()
    load: Load = Load()
    heard_at_s: float = float("-inf")

    @property
    def is_known(self) -> bool:
        """Return whether its sidecar has answered."""
        return bool(self.incarnation)
