"""How far the revision in force can be relied on."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final

from .const import (
    CATCH_UP_LIMIT_S,
    ISOLATION_LIMIT_S,
    PEERS_SILENT_AFTER_S,
    STORE_SILENT_AFTER_S,
)
from .holder import ConfigurationHolder


class StoreView(StrEnum):
    """What the store last said."""

    CURRENT = "current"
    BEHIND = "behind"
    SILENT = "silent"


class PeersView(StrEnum):
    """Whether any other entry was heard of late."""

    HEARD = "heard"
    SILENT = "silent"
    NONE_LISTED = "none listed"


class BeliefState(StrEnum):
    """What the revision in force rests on."""

    EMPTY = "empty"
    CONFIRMED = "confirmed by the store"
    STORE_BEHIND = "store behind"
    FOLLOWING_PEERS = "following peers"
    ALONE = "alone"
    ISOLATED = "isolated"
    CATCHING_UP = "catching up"


_STATES: Final[Mapping[tuple[StoreView, PeersView], BeliefState]] = {
    (StoreView.CURRENT, PeersView.HEARD): BeliefState.CONFIRMED,
    (StoreView.CURRENT, PeersView.SILENT): BeliefState.CONFIRMED,
    (StoreView.CURRENT, PeersView.NONE_LISTED): BeliefState.CONFIRMED,
    (StoreView.BEHIND, PeersView.HEARD): BeliefState.STORE_BEHIND,
    (StoreView.BEHIND, PeersView.SILENT): BeliefState.STORE_BEHIND,
    (StoreView.BEHIND, PeersView.NONE_LISTED): BeliefState.STORE_BEHIND,
    (StoreView.SILENT, PeersView.HEARD): BeliefState.FOLLOWING_PEERS,
    (StoreView.SILENT, PeersView.SILENT): BeliefState.ISOLATED,
    (StoreView.SILENT, PeersView.NONE_LISTED): BeliefState.ALONE,
}
_NOT_RELIED_ON: Final = frozenset((BeliefState.EMPTY, BeliefState.CATCHING_UP))


class ConfigurationBelief:
    """Judges the revision in force by what store and peers have told."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._store_revision: int | None = None
        self._store_behind = False
        self._store_heard_at_s = float("-inf")
        self._peers_heard_at_s = float("-inf")
        self._peers_listed = False
        self._woken_at_s: float | None = None
        self._state = BeliefState.EMPTY
        self._since_s = 0.0

    @property
    def state(self) -> BeliefState:
        """Return the state as of the last event."""
        return self._state

    def take_store_answer(
        self, revision: int, revision_when_asked: int, asked_at_s: float, now_s: float
    ) -> None:
        """Note a read of the store.

        It is behind if it answers less than this process acted on when it
        asked; a change that came from a peer meanwhile does not count.
        """
        self._store_revision = revision
        self._store_behind = revision < revision_when_asked
        self._store_heard_at_s = now_s
        if not self._store_behind:
            self._note_answer(asked_at_s)

    def take_store_silence(self) -> None:
        """Note that the store did not answer."""
        self._store_heard_at_s = float("-inf")

    def take_peer(self, asked_at_s: float, now_s: float) -> None:
        """Note that another entry has told its revision."""
        self._peers_heard_at_s = now_s
        self._note_answer(asked_at_s)

    def take_peers_listed(self, count: int) -> None:
        """Note how many other entries there are."""
        self._peers_listed = bool(count)

    def wake(self, now_s: float) -> None:
        """Trust nothing that was asked before ``now_s``, after a pause."""
        self._woken_at_s = now_s

    def _note_answer(self, asked_at_s: float) -> None:
        if self._woken_at_s is not None and asked_at_s >= self._woken_at_s:
            self._woken_at_s = None

    def advance(self, now_s: float) -> bool:
        """Work out the state, and return whether it has changed."""
        state = self._judge(now_s)
        if state is self._state:
            return False
        self._state = state
        self._since_s = now_s
        return True

    def _judge(self, now_s: float) -> BeliefState:
        if not self._holder.revision:
            return BeliefState.EMPTY
        if self._is_catching_up(now_s):
            return BeliefState.CATCHING_UP
        return _STATES[self._store_view(now_s), self._peers_view(now_s)]

    def _is_catching_up(self, now_s: float) -> bool:
        """Return whether somebody may still answer after a pause."""
        if self._woken_at_s is None or now_s - self._woken_at_s > CATCH_UP_LIMIT_S:
            return False
        store_current = self._store_view(now_s) is StoreView.CURRENT
        return self._peers_listed or store_current

    def _store_view(self, now_s: float) -> StoreView:
        if now_s - self._store_heard_at_s > STORE_SILENT_AFTER_S:
            return StoreView.SILENT
        return StoreView.BEHIND if self._store_behind else StoreView.CURRENT

    def _peers_view(self, now_s: float) -> PeersView:
        if not self._peers_listed:
            return PeersView.NONE_LISTED
        if now_s - self._peers_heard_at_s > PEERS_SILENT_AFTER_S:
            return PeersView.SILENT
        return PeersView.HEARD

    def may_serve(self, now_s: float) -> bool:
        """Return whether callers should be sent to this process."""
        if self._state in _NOT_RELIED_ON:
            return False
        isolated = self._state is BeliefState.ISOLATED
        return not isolated or now_s - self._since_s <= ISOLATION_LIMIT_S

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "state": self._state.value,
            "since_s": self._since_s,
            "store_revision": self._store_revision,
            "store_behind": self._store_behind,
        }
