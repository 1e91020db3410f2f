"""The entries that send heartbeats to a sidecar."""

from .const import (
    ENTRY_EXPIRY_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEATS_PER_SIDECAR_PER_S,
)


class EntryTable:
    """Counts the active entries, and sets how often they send heartbeats."""

    def __init__(self) -> None:
        self._last_heartbeat_s: dict[str, float] = {}

    @property
    def entry_ids(self) -> tuple[str, ...]:
        """Return the ids of the entries that sent a heartbeat recently."""
        return tuple(sorted(self._last_heartbeat_s))

    @property
    def heartbeat_after_s(self) -> float:
        """Return the time that each entry should leave between heartbeats.

        It grows with the number of entries, so that the sidecar receives at
        most HEARTBEATS_PER_SIDECAR_PER_S.
        """
        interval_s = len(self._last_heartbeat_s) / HEARTBEATS_PER_SIDECAR_PER_S
        return max(HEARTBEAT_INTERVAL_S, interval_s)

    def record_heartbeat(self, entry_id: str, now_s: float) -> None:
        """Record a heartbeat from the entry ``entry_id``."""
        self._last_heartbeat_s[entry_id] = now_s

    def expire(self, now_s: float) -> None:
        """Drop entries that have sent no heartbeat for ENTRY_EXPIRY_S."""
        self._last_heartbeat_s = {
            entry_id: heartbeat_at_s
            for entry_id, heartbeat_at_s in self._last_heartbeat_s.items()
            if now_s - heartbeat_at_s <= ENTRY_EXPIRY_S
        }
