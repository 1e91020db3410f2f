"""Revisions in a fleet through partitions, restarts, pauses and races."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity, SidecarIdentity
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.models import HeartbeatRequest

_ENTRIES = tuple(f"entry-{index}" for index in range(4))
_SIDECARS = tuple(f"sidecar-{index}" for index in range(4))
_STORE = "store"
_NAMES = (*_ENTRIES, *_SIDECARS)
# Rounds of heartbeats and exchanges after which connected processes agree.
_ROUNDS_TO_AGREE = 3
_VMS = tuple(
    Vm(vm_id=name, address=name, zone="ab"[index % 2], role=role)
    for role, names in (("entry", _ENTRIES), ("upstream", _SIDECARS))
    for index, name in enumerate(names)
)


def _record(revision):
    return ConfigurationRecord(
        revision=revision, change_id=f"c{revision}", configuration=Configuration()
    )


class FleetMachine(RuleBasedStateMachine):
    """Entries and sidecars as they are, with a network of one's choice."""

    @initialize()
    def start(self):
        """Start everything, with revision 1 in the store."""
        self.now_s = 0.0
        self.accepted = self.stored = 1
        self.store_up = True
        self.cut = set()
        self.paused = set()
        self.nodes = {name: self._new_node(name) for name in _NAMES}
        self.acted_on = dict.fromkeys(_NAMES, 0)

    def _new_node(self, name):
        if name in _ENTRIES:
            identity = EntryIdentity(vm_id=name, zone="a", inner_address=name)
            node = EntryNode(identity, random.Random(1))
            node.handle(events.VmListReceived(vms=_VMS), self.now_s)
            return node
        identity = SidecarIdentity(vm_id=name, zone="a", incarnation=str(self.now_s))
        return SidecarNode(identity, ConcurrencyLimiter(limit=1))

    @rule()
    def accept(self):
        """Accept an operator's change on top of what the store holds."""
        if self.store_up and self.stored == self.accepted:
            self.stored += 1
            self.accepted = self.stored

    @rule(up=st.booleans())
    def switch_store(self, up):
        """Take the store down or bring it back."""
        self.store_up = up

    @rule(lost=st.integers(1, 3))
    def restore_older_copy(self, lost):
        """Restore the store from an older copy."""
        self.stored = max(0, self.stored - lost)

    @rule(one=st.sampled_from(_NAMES), other=st.sampled_from((*_NAMES, _STORE)))
    def cut_link(self, one, other):
        """Cut two processes off from each other."""
        self.cut.add(frozenset((one, other)))

    @rule(name=st.sampled_from(_NAMES))
    def isolate(self, name):
        """Cut a process off from everybody."""
        self.cut |= {frozenset((name, other)) for other in (*_NAMES, _STORE)}

    @rule()
    def heal(self):
        """Let all links work again."""
        self.cut.clear()

    @rule(name=st.sampled_from(_NAMES))
    def pause(self, name):
        """Freeze a process."""
        self.paused.add(name)

    @rule(name=st.sampled_from(_NAMES))
    def wake(self, name):
        """Let a frozen process go on."""
        self.paused.discard(name)

    @rule(name=st.sampled_from(_NAMES))
    def restart(self, name):
        """Start a process again, which has kept nothing."""
        self.paused.discard(name)
        self.nodes[name] = self._new_node(name)
        self.acted_on[name] = 0

    @rule()
    def run_round(self):
        """Everybody reads, exchanges and reports once."""
        self.now_s += 1.0
        for name in _NAMES:
            if name in self.paused:
                continue
            self._perform(name, self._handle(name, events.TimerDue()))
            if name in _ENTRIES:
                self._read_store(name)
                self._exchange(name)
                self._send_heartbeats(name)

    @rule()
    def agree(self):
        """Whoever is connected and awake agrees within the bound."""
        self.cut.clear()
        self.paused.clear()
        for _ in range(_ROUNDS_TO_AGREE):
            self.run_round()
        highest = max(self._revision(name) for name in _NAMES)
        if self.store_up:
            highest = max(highest, self.stored)
        assert {self._revision(name) for name in _NAMES} == {highest}

    def _revision(self, name):
        return self.nodes[name].configuration.revision

    def _handle(self, name, event):
        result = self.nodes[name].handle(event, self.now_s)
        # At once, since a round may bring back what an event has lost.
        assert self._revision(name) >= self.acted_on[name]
        self.acted_on[name] = self._revision(name)
        return result

    def _reaches(self, one, other):
        return frozenset((one, other)) not in self.cut and other not in self.paused

    def _read_store(self, name):
        if not self.store_up or not self._reaches(name, _STORE):
            self._handle(name, events.StoreUnreachable())
            return
        answered = events.StoreAnswered(
            revision=self.stored,
            revision_when_asked=self._revision(name),
            asked_at_s=self.now_s,
        )
        self._handle(name, answered)
        if self.stored:
            self._offer(name, self.stored, _STORE)

    def _offer(self, name, revision, source):
        event = events.ConfigurationOffered(
            record=_record(revision), source=source, asked_at_s=self.now_s
        )
        self._perform(name, self._handle(name, event))

    def _exchange(self, name):
        for peer in self.nodes[name].follower.peers:
            if self._reaches(name, peer.vm_id):
                self._tell(peer.vm_id, name)
                self._tell(name, peer.vm_id)

    def _tell(self, name, source):
        told = events.PeerRevisionReceived(
            vm_id=source,
            address=source,
            revision=self._revision(source),
            asked_at_s=self.now_s,
        )
        self._perform(name, self._handle(name, told))

    def _send_heartbeats(self, name):
        for upstream in self.nodes[name].upstreams:
            if self._reaches(name, upstream.vm_id):
                self._heartbeat(name, upstream.vm_id)

    def _heartbeat(self, name, sidecar):
        revision = self._revision(name)
        request = HeartbeatRequest(entry_id=name, entry_address=name, revision=revision)
        arrived = self._handle(sidecar, events.HeartbeatArrived(request=request))
        self._perform(sidecar, arrived)
        answered = events.HeartbeatAnswered(
            vm_id=sidecar,
            reply=arrived[0].message,
            asked_at_s=self.now_s,
            told_revision=revision,
        )
        self._perform(name, self._handle(name, answered))

    def _perform(self, name, found):
        for action in found:
            if isinstance(action, actions.FetchConfiguration):
                self._fetch(name, action.address)

    def _fetch(self, name, source):
        if self._reaches(name, source) and self._revision(source):
            self._offer(name, self._revision(source), source)


FleetMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestFleetMachine = FleetMachine.TestCase
