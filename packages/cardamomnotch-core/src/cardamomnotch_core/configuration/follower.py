"""Distribution of the configuration from the store and between processes."""

from functools import singledispatchmethod
from typing import Any

import attrs

from ..membership.pauses import PauseDetector
from ..membership.peers import Peer, PeerTable
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from .holder import ConfigurationHolder
from .sync_state import ConfigurationSyncState, ConfigurationSyncTracker


class ConfigurationFollower:
    """Keeps an entry on the highest revision reported by any process."""

    def __init__(self, vm_id: str, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._sync_tracker = ConfigurationSyncTracker(holder)
        self._peers = PeerTable(vm_id)
        self._last_event_s = float("-inf")
        self._pause_detector = PauseDetector()

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return the entries to which this one reports its revision."""
        return self._peers.peers

    @property
    def state(self) -> ConfigurationSyncState:
        """Return how the active revision is confirmed."""
        return self._sync_tracker.state

    @property
    def may_serve(self) -> bool:
        """Return whether this entry should receive callers' requests."""
        return self._sync_tracker.may_serve(self._last_event_s)

    def is_catching_up(self, now_s: float) -> bool:
        """Return whether the revision is unconfirmed since the last pause."""
        catching_up = self._sync_tracker.state is ConfigurationSyncState.CATCHING_UP
        return catching_up or self._pause_detector.is_overdue(now_s)

    def diagnostics(self) -> dict[str, Any]:
        """Return the sync state and the peers for the state dump."""
        return {
            **self._sync_tracker.diagnostics(),
            "entries_listed": self._peers.listed_peer_count,
            "peers": [attrs.asdict(peer) for peer in self.peers],
        }

    def handle_event(self, event: Event, now_s: float) -> list[Action]:
        """Handle ``event``, and return the resulting actions."""
        self._last_event_s = now_s
        result = self._handle(event, now_s)
        if self._sync_tracker.update(now_s):
            text = f"configuration sync state: {self._sync_tracker.state.value}"
            result.append(actions.LogStateChange(text=text))
        return result

    @singledispatchmethod
    def _handle(self, event: Event, now_s: float) -> list[Action]:
        raise TypeError(
            f"configuration follower has no handler for {type(event).__name__}"
        )

    @_handle.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        if not self._holder.offer(event.record):
            return []
        change = actions.LogStateChange(
            text=(
                f"configuration revision {event.record.revision} "
                f"activated from {event.source}"
            )
        )
        return [change, *self._report_to_outdated_peers()]

    def _report_to_outdated_peers(self) -> list[Action]:
        return [
            actions.ExchangeRevision(vm_id=peer.vm_id, address=peer.address)
            for peer in self.peers
            if peer.revision < self._holder.revision
        ]

    @_handle.register
    def _(self, event: events.StoreAnswered, now_s: float) -> list[Action]:
        self._sync_tracker.record_store_response(
            event.revision, event.revision_when_asked, event.asked_at_s, now_s
        )
        return []

    @_handle.register
    def _(self, event: events.StoreUnreachable, now_s: float) -> list[Action]:
        self._sync_tracker.record_store_failure()
        return []

    @_handle.register
    def _(self, event: events.VmListReceived, now_s: float) -> list[Action]:
        known_ids = {peer.vm_id for peer in self.peers}
        self._peers.update_from_vm_list(event.vms)
        self._sync_tracker.record_peer_count(self._peers.listed_peer_count)
        return [
            actions.ExchangeRevision(vm_id=peer.vm_id, address=peer.address)
            for peer in self.peers
            if peer.vm_id not in known_ids
        ]

    @_handle.register
    def _(self, event: events.PeerRevisionReceived, now_s: float) -> list[Action]:
        self._peers.record_revision(event.vm_id, event.revision, now_s)
        self._sync_tracker.record_peer_response(event.asked_at_s, now_s)
        return self.fetch_if_behind(event.address, event.revision)

    def fetch_if_behind(self, address: str, revision: int) -> list[Action]:
        """Return an action to fetch the configuration from ``address``.

        The action is only returned if ``revision``, which is active there, is
        higher than the active revision of this process.
        """
        if revision <= self._holder.revision:
            return []
        return [actions.FetchConfiguration(address=address)]

    @_handle.register
    def _(self, event: events.ConfigurationConfirmed, now_s: float) -> list[Action]:
        return []

    @_handle.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        if not self._pause_detector.tick(now_s):
            return []
        self._sync_tracker.record_resume(now_s)
        return [
            actions.RefreshConfiguration(),
            *(
                actions.ExchangeRevision(vm_id=peer.vm_id, address=peer.address)
                for peer in self.peers
            ),
        ]
