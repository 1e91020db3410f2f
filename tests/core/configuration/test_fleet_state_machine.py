"""Stateful tests of configuration distribution in a fleet with faults."""

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
# Rounds of heartbeats and peer exchanges within which connected processes
# reach the same revision.
_ROUNDS_TO_CONVERGE = 3
_VMS = tuple(
    Vm(vm_id=name, address=name, zone="ab"[index % 2], role=role)
    for role, names in (("entry", _ENTRIES), ("upstream", _SIDECARS))
    for index, name in enumerate(names)
)


def _record(revision):
    return ConfigurationRecord(
        revision=revision, change_id=f"c{revision}", configuration=Configuration()
    )


class FleetStateMachine(RuleBasedStateMachine):
    """Real entry and sidecar nodes on a simulated network with faults.

    Links fail, processes pause and restart, and the store becomes unavailable
    or is restored from an older copy. The active revision of a process must
    never decrease, and all connected processes must converge.
    """

    @initialize()
    def start(self):
        """Start all processes, with revision 1 in the store."""
        self.now_s = 0.0
        # The last revision that the store accepted, and the one it holds now.
        self.accepted_revision = self.stored_revision = 1
        self.store_available = True
        self.failed_links = set()
        self.paused = set()
        self.nodes = {name: self._new_node(name) for name in _NAMES}
        # The highest revision that was active in each process.
        self.last_revisions = dict.fromkeys(_NAMES, 0)

    def _new_node(self, name):
        if name in _ENTRIES:
            identity = EntryIdentity(vm_id=name, zone="a", inner_address=name)
            node = EntryNode(identity, random.Random(1))
            node.handle(events.VmListReceived(vms=_VMS), self.now_s)
            return node
        identity = SidecarIdentity(vm_id=name, zone="a", incarnation=str(self.now_s))
        return SidecarNode(identity, ConcurrencyLimiter(limit=1))

    @rule()
    def accept_change(self):
        """Accept an operator's change if the store has the last revision."""
        if self.store_available and self.stored_revision == self.accepted_revision:
            self.stored_revision += 1
            self.accepted_revision = self.stored_revision

    @rule(available=st.booleans())
    def set_store_available(self, available):
        """Make the store unavailable or available."""
        self.store_available = available

    @rule(lost_revisions=st.integers(1, 3))
    def restore_older_copy(self, lost_revisions):
        """Restore the store from an older copy."""
        self.stored_revision = max(0, self.stored_revision - lost_revisions)

    @rule(one=st.sampled_from(_NAMES), other=st.sampled_from((*_NAMES, _STORE)))
    def fail_link(self, one, other):
        """Disconnect two processes from each other."""
        self.failed_links.add(frozenset((one, other)))

    @rule(name=st.sampled_from(_NAMES))
    def isolate(self, name):
        """Disconnect a process from all others and the store."""
        self.failed_links |= {frozenset((name, other)) for other in (*_NAMES, _STORE)}

    @rule()
    def restore_links(self):
        """Restore all links."""
        self.failed_links.clear()

    @rule(name=st.sampled_from(_NAMES))
    def pause(self, name):
        """Pause a process."""
        self.paused.add(name)

    @rule(name=st.sampled_from(_NAMES))
    def resume(self, name):
        """Resume a paused process."""
        self.paused.discard(name)

    @rule(name=st.sampled_from(_NAMES))
    def restart(self, name):
        """Restart a process, which loses its state."""
        self.paused.discard(name)
        self.nodes[name] = self._new_node(name)
        self.last_revisions[name] = 0

    @rule()
    def run_round(self):
        """Let running entries read, exchange revisions and send heartbeats."""
        self.now_s += 1.0
        for name in _NAMES:
            if name in self.paused:
                continue
            self._perform(name, self._handle(name, events.TimerDue()))
            if name in _ENTRIES:
                self._read_store(name)
                self._exchange_revisions(name)
                self._send_heartbeats(name)

    @rule()
    def converge(self):
        """Require connected, running processes to converge in time."""
        self.failed_links.clear()
        self.paused.clear()
        for _ in range(_ROUNDS_TO_CONVERGE):
            self.run_round()
        highest = max(self._revision(name) for name in _NAMES)
        if self.store_available:
            highest = max(highest, self.stored_revision)
        assert {self._revision(name) for name in _NAMES} == {highest}

    def _revision(self, name):
        return self.nodes[name].configuration.revision

    def _handle(self, name, event):
        result = self.nodes[name].handle(event, self.now_s)
        # Checked after each event: later in the round the process could
        # receive again a revision that this event has lost.
        assert self._revision(name) >= self.last_revisions[name]
        self.last_revisions[name] = self._revision(name)
        return result

    def _can_reach(self, one, other):
        return (
            frozenset((one, other)) not in self.failed_links
            and other not in self.paused
        )

    def _read_store(self, name):
        if not self.store_available or not self._can_reach(name, _STORE):
            self._handle(name, events.StoreUnreachable())
            return
        answered = events.StoreAnswered(
            revision=self.stored_revision,
            revision_when_asked=self._revision(name),
            asked_at_s=self.now_s,
        )
        self._handle(name, answered)
        if self.stored_revision:
            self._offer(name, self.stored_revision, _STORE)

    def _offer(self, name, revision, source):
        event = events.ConfigurationOffered(
            record=_record(revision), source=source, asked_at_s=self.now_s
        )
        self._perform(name, self._handle(name, event))

    def _exchange_revisions(self, name):
        for peer in self.nodes[name].follower.peers:
            if self._can_reach(name, peer.vm_id):
                self._report_revision(peer.vm_id, name)
                self._report_revision(name, peer.vm_id)

    def _report_revision(self, name, source):
        """Deliver the revision of ``source`` to ``name``."""
        event = events.PeerRevisionReceived(
            vm_id=source,
            address=source,
            revision=self._revision(source),
            asked_at_s=self.now_s,
        )
        self._perform(name, self._handle(name, event))

    def _send_heartbeats(self, name):
        for upstream in self.nodes[name].upstreams:
            if self._can_reach(name, upstream.vm_id):
                self._send_heartbeat(name, upstream.vm_id)

    def _send_heartbeat(self, name, sidecar):
        revision = self._revision(name)
        request = HeartbeatRequest(entry_id=name, entry_address=name, revision=revision)
        sidecar_actions = self._handle(
            sidecar, events.HeartbeatArrived(request=request)
        )
        self._perform(sidecar, sidecar_actions)
        answered = events.HeartbeatAnswered(
            vm_id=sidecar,
            reply=sidecar_actions[0].message,
            asked_at_s=self.now_s,
            told_revision=revision,
        )
        self._perform(name, self._handle(name, answered))

    def _perform(self, name, requested):
        for action in requested:
            if isinstance(action, actions.FetchConfiguration):
                self._fetch(name, action.address)

    def _fetch(self, name, source):
        if self._can_reach(name, source) and self._revision(source):
            self._offer(name, self._revision(source), source)


FleetStateMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestFleetStateMachine = FleetStateMachine.TestCase
