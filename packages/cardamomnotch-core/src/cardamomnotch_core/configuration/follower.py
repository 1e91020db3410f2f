"""Following the operators' lists from store, peers and sidecars."""

from functools import singledispatchmethod
from typing import Any

import attrs

from ..membership.pauses import PauseWatch
from ..membership.peers import Peer, PeerTable
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from .belief import BeliefState, ConfigurationBelief
from .holder import ConfigurationHolder


class ConfigurationFollower:
    """Keeps an entry on the highest revision that it can hear of."""

    def __init__(self, vm_id: str, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._belief = ConfigurationBelief(holder)
        self._peers = PeerTable(vm_id)
        self._now_s = float("-inf")
        self._pauses = PauseWatch()

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return the entries that this one tells its revision."""
        return self._peers.peers

    @property
    def state(self) -> BeliefState:
        """Return what the revision in force rests on."""
        return self._belief.state

    @property
    def may_serve(self) -> bool:
        """Return whether callers should be sent here."""
        return self._belief.may_serve(self._now_s)

    def is_catching_up(self, now_s: float) -> bool:
        """Return whether the process has paused and not caught up since."""
        catching_up = self._belief.state is BeliefState.CATCHING_UP
        return catching_up or self._pauses.is_overdue(now_s)

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            **self._belief.diagnostics(),
            "entries_listed": self._peers.others_listed,
            "peers": [attrs.asdict(peer) for peer in self.peers],
        }

    def follow(self, event: Event, now_s: float) -> list[Action]:
        """Take ``event``, and return the actions that follow from it."""
        self._now_s = now_s
        result = self._take(event, now_s)
        if self._belief.advance(now_s):
            text = f"configuration {self._belief.state.value}"
            result.append(actions.LogStateChange(text=text))
        return result

    @singledispatchmethod
    def _take(self, event: Event, now_s: float) -> list[Action]:
        raise TypeError(f"no handler for {type(event).__name__}")

    @_take.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        if not self._holder.offer(event.record):
            return []
        change = actions.LogStateChange(
            text=f"revision {event.record.revision} in force from {event.source}"
        )
        return [change, *self._tell_peers()]

    def _tell_peers(self) -> list[Action]:
        return [
            actions.ExchangeRevision(vm_id=peer.vm_id, address=peer.address)
            for peer in self.peers
            if peer.revision < self._holder.revision
        ]

    @_take.register
    def _(self, event: events.StoreAnswered, now_s: float) -> list[Action]:
        self._belief.take_store_answer(
            event.revision, event.revision_when_asked, event.asked_at_s, now_s
        )
        return []

    @_take.register
    def _(self, event: events.StoreUnreachable, now_s: float) -> list[Action]:
        self._belief.take_store_silence()
        return []

    @_take.register
    def _(self, event: events.VmListReceived, now_s: float) -> list[Action]:
        known = {peer.vm_id for peer in self.peers}
        self._peers.take_vm_list(event.vms)
        self._belief.take_peers_listed(self._peers.others_listed)
        return [
            actions.ExchangeRevision(vm_id=peer.vm_id, address=peer.address)
            for peer in self.peers
            if peer.vm_id not in known
        ]

    @_take.register
    def _(self, event: events.PeerRevisionReceived, now_s: float) -> list[Action]:
        self._peers.take_revision(event.vm_id, event.revision, now_s)
        self._belief.take_peer(event.asked_at_s, now_s)
        return self.fetch_if_behind(event.address, event.revision)

    def fetch_if_behind(self, address: str, revision: int) -> list[Action]:
        """Return the fetch from ``address`` if it is ahead."""
        if revision <= self._holder.revision:
            return []
        return [actions.FetchConfiguration(address=address)]

    @_take.register
    def _(self, event: events.ConfigurationConfirmed, now_s: float) -> list[Action]:
        return []

    @_take.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        if not self._pauses.tick(now_s):
            return []
        self._belief.wake(now_s)
        return [
            actions.RefreshConfiguration(),
            *(
                actions.ExchangeRevision(vm_id=peer.vm_id, address=peer.address)
                for peer in self.peers
            ),
        ]
