"""The entries that a sidecar hears of."""

from .const import (
    ENTRY_FORGOTTEN_AFTER_S,
    HEARTBEAT_INTERVAL_S,
    HEARTBEATS_PER_SIDECAR_PER_S,
)


class EntryTable:
    """Knows how many entries there are, and how often they should report."""

    def __init__(self) -> None:
        self._heard_at_s: dict[str, float] = {}

    @property
    def entry_ids(self) -> tuple[str, ...]:
        """Return the entries heard of late."""
        return tuple(sorted(self._heard_at_s))

    @property
    def heartbeat_after_s(self) -> float:
        """Return the time that each entry leaves between heartbeats."""
        share = len(self._heard_at_s) / HEARTBEATS_PER_SIDECAR_PER_S
        return max(HEARTBEAT_INTERVAL_S, share)

    def take(self, entry_id: str, now_s: float) -> None:
        """Note a heartbeat."""
        self._heard_at_s[entry_id] = now_s

    def expire(self, now_s: float) -> None:
        """Forget entries that have been silent for long."""
        self._heard_at_s = {
            entry_id: heard_at_s
            for entry_id, heard_at_s in self._heard_at_s.items()
            if now_s - heard_at_s <= ENTRY_FORGOTTEN_AFTER_S
        }
