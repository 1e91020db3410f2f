"""How current the active configuration revision is known to be."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final

from .const import (
    CATCH_UP_TIMEOUT_S,
    MAX_ISOLATION_S,
    PEERS_TIMEOUT_S,
    STORE_TIMEOUT_S,
)
from .holder import ConfigurationHolder


class StoreStatus(StrEnum):
    """Result of the last read of the configuration store."""

    CURRENT = "current"
    BEHIND = "behind"
    UNRESPONSIVE = "silent"


class PeersStatus(StrEnum):
    """Whether any other entry has responded recently."""

    RESPONSIVE = "heard"
    UNRESPONSIVE = "silent"
    NONE_LISTED = "none listed"


class ConfigurationSyncState(StrEnum):
    """How the active revision is confirmed.

    The values are written to metrics and the state dump.
    """

    # No revision has been received yet.
    EMPTY = "empty"
    CONFIRMED = "confirmed by the store"
    # The store returns an older revision than the active one.
    STORE_BEHIND = "store behind"
    # The store does not respond, but at least one other entry does.
    FOLLOWING_PEERS = "following peers"
    # The store does not respond, and the VM list has no other entry.
    ALONE = "alone"
    # Neither the store nor any other entry responds.
    ISOLATED = "isolated"
    # The process was paused and has not yet confirmed its revision.
    CATCHING_UP = "catching up"


_STATES: Final[Mapping[tuple[StoreStatus, PeersStatus], ConfigurationSyncState]] = {
    (StoreStatus.CURRENT, PeersStatus.RESPONSIVE): ConfigurationSyncState.CONFIRMED,
    (StoreStatus.CURRENT, PeersStatus.UNRESPONSIVE): ConfigurationSyncState.CONFIRMED,
    (StoreStatus.CURRENT, PeersStatus.NONE_LISTED): ConfigurationSyncState.CONFIRMED,
    (StoreStatus.BEHIND, PeersStatus.RESPONSIVE): ConfigurationSyncState.STORE_BEHIND,
    (StoreStatus.BEHIND, PeersStatus.UNRESPONSIVE): ConfigurationSyncState.STORE_BEHIND,
    (StoreStatus.BEHIND, PeersStatus.NONE_LISTED): ConfigurationSyncState.STORE_BEHIND,
    (
        StoreStatus.UNRESPONSIVE,
        PeersStatus.RESPONSIVE,
    ): ConfigurationSyncState.FOLLOWING_PEERS,
    (
        StoreStatus.UNRESPONSIVE,
        PeersStatus.UNRESPONSIVE,
    ): ConfigurationSyncState.ISOLATED,
    (StoreStatus.UNRESPONSIVE, PeersStatus.NONE_LISTED): ConfigurationSyncState.ALONE,
}
_UNREADY_STATES: Final = frozenset(
    (ConfigurationSyncState.EMPTY, ConfigurationSyncState.CATCHING_UP)
)


class ConfigurationSyncTracker:
    """Derives the sync state from responses of the store and other entries."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._store_revision: int | None = None
        self._store_behind = False
        self._last_store_response_s = float("-inf")
        self._last_peer_response_s = float("-inf")
        self._has_listed_peers = False
        self._resumed_at_s: float | None = None
        self._state = ConfigurationSyncState.EMPTY
        self._since_s = 0.0

    @property
    def state(self) -> ConfigurationSyncState:
        """Return the state as of the last event."""
        return self._state

    def record_store_response(
        self, revision: int, revision_when_asked: int, asked_at_s: float, now_s: float
    ) -> None:
        """Record that a read of the store returned ``revision``.

        ``revision_when_asked`` was active in this process when the read was sent
        at ``asked_at_s``. The store is behind if it returned less than that;
        a newer revision that a peer delivered during the read does not count.
        """
        self._store_revision = revision
        self._store_behind = revision < revision_when_asked
        self._last_store_response_s = now_s
        if not self._store_behind:
            self._confirm_after_pause(asked_at_s)

    def record_store_failure(self) -> None:
        """Record that a read of the store was not answered."""
        self._last_store_response_s = float("-inf")

    def record_peer_response(self, asked_at_s: float, now_s: float) -> None:
        """Record that another entry reported its active revision."""
        self._last_peer_response_s = now_s
        self._confirm_after_pause(asked_at_s)

    def record_peer_count(self, count: int) -> None:
        """Record how many other entries the VM list contains."""
        self._has_listed_peers = bool(count)

    def record_resume(self, now_s: float) -> None:
        """Require a response to a request sent at or after ``now_s``.

        Called when the process continues after a pause: responses to earlier
        requests do not confirm the active revision.
        """
        self._resumed_at_s = now_s

    def _confirm_after_pause(self, asked_at_s: float) -> None:
        if self._resumed_at_s is not None and asked_at_s >= self._resumed_at_s:
            self._resumed_at_s = None

    def update(self, now_s: float) -> bool:
        """Recompute the state, and return whether it has changed."""
        state = self._compute_state(now_s)
        if state is self._state:
            return False
        self._state = state
        self._since_s = now_s
        return True

    def _compute_state(self, now_s: float) -> ConfigurationSyncState:
        if not self._holder.revision:
            return ConfigurationSyncState.EMPTY
        if self._is_catching_up(now_s):
            return ConfigurationSyncState.CATCHING_UP
        return _STATES[self._store_status(now_s), self._peers_status(now_s)]

    def _is_catching_up(self, now_s: float) -> bool:
        """Return whether the store or a peer may still confirm the revision."""
        if (
            self._resumed_at_s is None
            or now_s - self._resumed_at_s > CATCH_UP_TIMEOUT_S
        ):
            return False
        store_current = self._store_status(now_s) is StoreStatus.CURRENT
        return self._has_listed_peers or store_current

    def _store_status(self, now_s: float) -> StoreStatus:
        if now_s - self._last_store_response_s > STORE_TIMEOUT_S:
            return StoreStatus.UNRESPONSIVE
        return StoreStatus.BEHIND if self._store_behind else StoreStatus.CURRENT

    def _peers_status(self, now_s: float) -> PeersStatus:
        if not self._has_listed_peers:
            return PeersStatus.NONE_LISTED
        if now_s - self._last_peer_response_s > PEERS_TIMEOUT_S:
            return PeersStatus.UNRESPONSIVE
        return PeersStatus.RESPONSIVE

    def may_serve(self, now_s: float) -> bool:
        """Return whether this process should receive callers' requests."""
        if self._state in _UNREADY_STATES:
            return False
        isolated = self._state is ConfigurationSyncState.ISOLATED
        return not isolated or now_s - self._since_s <= MAX_ISOLATION_S

    def diagnostics(self) -> dict[str, Any]:
        """Return the sync state for the state dump."""
        return {
            "state": self._state.value,
            "since_s": self._since_s,
            "store_revision": self._store_revision,
            "store_behind": self._store_behind,
        }
