"""Shares of workspaces, summed up over all entries."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cardamomnotch_core.relay.admission.const import SHARE_MARGIN
from cardamomnotch_core.relay.admission.models import hash_workspace
from cardamomnotch_core.relay.admission.shares import WorkspaceUse, fair_share
from cardamomnotch_core.relay.const import MAX_ATTEMPT_S, PEER_ACTIVITY_WINDOW_S
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.notices.models import LoadKind, LoadNotice
from cardamomnotch_core.relay.store_changes import changes

A, B = "aaaaaa", "bbbbbb"
ENTRIES = ("entry-1", "entry-2", "entry-3")
# Time after which the others forget an entry that is gone.
RECORD_TTL_S = 6.0


@pytest.mark.parametrize(
    ("demands", "capacity", "share"),
    [
        pytest.param({A: 5, B: 4}, 10, float("inf"), id="enough"),
        pytest.param({A: 50, B: 50}, 10, 5.0, id="equal"),
        pytest.param({A: 50, B: 2}, 10, 8.0, id="unused share is free"),
        pytest.param({A: 50, B: 1, "c": 50}, 10, 4.5, id="three"),
        pytest.param({A: 5}, -1, 0.0, id="nothing left"),
        pytest.param({}, 10, float("inf"), id="no use"),
    ],
)
def test_fair_share(demands, capacity, share):
    """The share is max-min fair."""
    assert fair_share(demands, capacity) == share


def make_use(waiting=None, entries=3, capacity=10):
    """Return an entry's use of a service that is short of slots."""
    use = WorkspaceUse(
        "entry-1",
        lambda: entries,
        lambda service, now_s: capacity,
        lambda service: waiting or {},
    )
    use.record_short("drafts", 1_000.0)
    return use


def start(use, workspace, count, entry="entry-1", now_s=0.0):
    """Record that an entry has sent attempts."""
    for _ in range(count):
        use.record_started("drafts", workspace, entry, len(use), now_s)


def test_share_is_held_over_all_entries():
    """A workspace's attempts at other entries count; its unused share is free."""
    use = make_use({B: 5})
    use.record_notice(0.0)
    start(use, A, 3)
    assert not use.is_over_share("drafts", A, 0.0)
    start(use, A, 5, "entry-2")
    assert use.is_over_share("drafts", A, 0.2)
    assert not use.is_over_share("drafts", B, 0.2)
    alone = make_use()
    alone.record_notice(0.0)
    start(alone, A, 10)
    assert not alone.is_over_share("drafts", A, 0.2)


def test_nobody_is_over_its_share_without_shortage():
    """The same use counts for nothing once requests find free slots again."""
    use = make_use({B: 5})
    start(use, A, 8)
    use.record_short("drafts", 5.0)
    assert use.is_over_share("drafts", A, 4.9)
    assert not use.is_over_share("drafts", A, 5.1)


def test_entry_that_is_cut_off_counts_its_own_use_for_all():
    """Without notices it supposes that the other entries do as it does."""
    use = make_use(entries=4)
    use.record_notice(0.0)
    start(use, A, 2)
    assert use.in_flight("drafts", A, PEER_ACTIVITY_WINDOW_S) == 2
    assert use.in_flight("drafts", A, PEER_ACTIVITY_WINDOW_S + 0.1) == 8


def test_unknown_workspaces_leave_less_to_the_others():
    """Attempts of entries of an earlier build use slots, but are nobody's."""
    use = make_use({B: 5})
    use.record_notice(0.0)
    start(use, "", 6, "entry-2")
    start(use, A, 3)
    assert use.is_over_share("drafts", A, 0.0)
    assert not use.is_over_share("drafts", "", 0.0)


def test_use_is_forgotten():
    """Nothing is kept of attempts that have ended or expired."""
    use = make_use()
    start(use, A, 3, "entry-2")
    start(use, B, 1, "entry-3")
    use.forget_entry("entry-3", 1.0)
    assert len(use) == 3
    use.expire(MAX_ATTEMPT_S + 40.0)
    assert not len(use)
    assert not use.services


class SharesMachine(RuleBasedStateMachine):
    """Entries that tell each other of their attempts over a network with faults.

    Bound: an entry's sum is wrong by at most the notices to it that were lost, or are
    late, within MAX_ATTEMPT_S, and by the attempts of an entry that was killed, for
    RECORD_TTL_S.
    """

    @initialize()
    def start(self):
        """Start the entries."""
        self.now_s = 0.0
        self.number = 0
        self.uses = {
            name: WorkspaceUse(
                name,
                lambda: len(ENTRIES),
                lambda service, now_s: 10.0,
                lambda service: {},
            )
            for name in ENTRIES
        }
        # Attempts that run: entry, number, workspace and time of the start.
        self.running = []
        self.cut_off = set()
        # Notices that arrive later, and times of those lost or late, by receiver.
        self.late = []
        self.faults_s = {name: [] for name in ENTRIES}
        self.killed_s = {}

    def notify(self, sender, apply, fault):
        """Apply an event at its entry, and at the others if the network lets it."""
        apply(self.uses[sender])
        for name in set(ENTRIES) - {sender}:
            if fault == "none" and not {name, sender} & self.cut_off:
                self.uses[name].record_notice(self.now_s)
                apply(self.uses[name])
                continue
            self.faults_s[name].append(self.now_s)
            if fault == "late":
                self.late.append((name, apply))

    @rule(
        entry=st.sampled_from(ENTRIES),
        workspace=st.sampled_from([A, B]),
        fault=st.sampled_from(["none", "none", "none", "lost", "late"]),
    )
    def begin(self, entry, workspace, fault):
        """Send an attempt."""
        number, now_s = self.number, self.now_s
        self.number += 1
        self.running.append((entry, number, workspace, now_s))
        self.notify(
            entry,
            lambda use: use.record_started("drafts", workspace, entry, number, now_s),
            fault,
        )

    @rule(
        data=st.data(), fault=st.sampled_from(["none", "none", "none", "lost", "late"])
    )
    def end(self, data, fault):
        """End an attempt."""
        if self.running:
            self.end_one(data.draw(st.sampled_from(self.running)), fault)

    def end_one(self, attempt, fault):
        """End this attempt."""
        self.running.remove(attempt)
        entry, number, *_ = attempt
        now_s = self.now_s
        self.notify(entry, lambda use: use.record_ended(entry, number, now_s), fault)

    @rule()
    def deliver_late(self):
        """Deliver late notices, the last one first."""
        for name, apply in reversed(self.late):
            apply(self.uses[name])
            self.faults_s[name].append(self.now_s)
        self.late.clear()

    @rule(entry=st.sampled_from(ENTRIES))
    def cut_or_heal(self, entry):
        """Cut an entry off from the others, or end that."""
        self.cut_off ^= {entry}

    @rule(entry=st.sampled_from(ENTRIES))
    def kill(self, entry):
        """Kill an entry, which starts again without any attempts."""
        count = sum(attempt[0] == entry for attempt in self.running)
        self.running = [attempt for attempt in self.running if attempt[0] != entry]
        self.uses[entry].forget_entry(entry, self.now_s)
        for name in set(ENTRIES) - {entry}:
            self.killed_s.setdefault((name, entry), []).extend([self.now_s] * count)

    @rule(seconds=st.floats(0.05, 8.0))
    def advance(self, seconds):
        """Let time pass; attempts end by their deadlines, and records expire."""
        self.now_s += seconds
        for attempt in list(self.running):
            if attempt[3] <= self.now_s - MAX_ATTEMPT_S:
                self.end_one(attempt, "none")
        for (name, entry), killed_s in list(self.killed_s.items()):
            if killed_s and killed_s[0] <= self.now_s - RECORD_TTL_S:
                self.uses[name].forget_entry(entry, self.now_s)
                # What the entry has sent since its start is known again from notices.
                started = sum(attempt[0] == entry for attempt in self.running)
                self.faults_s[name].extend([self.now_s] * started)
                del self.killed_s[(name, entry)]
        for use in self.uses.values():
            use.expire(self.now_s)

    @invariant()
    def sums_are_within_the_bound(self):
        """Each entry's sums differ from the truth by what it cannot know."""
        if not hasattr(self, "uses"):
            return
        for name, use in self.uses.items():
            use.record_notice(self.now_s)
            oldest_s = self.now_s - MAX_ATTEMPT_S
            allowed = sum(at_s >= oldest_s for at_s in self.faults_s[name]) + sum(
                len(killed_s)
                for (receiver, _), killed_s in self.killed_s.items()
                if receiver == name
            )
            wrong = 0
            for workspace in (A, B):
                known = use.in_flight("drafts", workspace, self.now_s)
                true = sum(attempt[2] == workspace for attempt in self.running)
                wrong += abs(known - true)
            assert wrong <= allowed
            assert len(use) <= len(self.running) + allowed


TestSharesMachine = SharesMachine.TestCase
TestSharesMachine.settings = settings(
    max_examples=80, stateful_step_count=50, deadline=None
)


def test_margin():
    """A use slightly above the share is within it, so that decisions do not flap."""
    use = make_use({B: 50})
    use.record_notice(0.0)
    start(use, A, int(5 * SHARE_MARGIN))
    assert not use.is_over_share("drafts", A, 0.0)


def test_node_sums_up_the_attempts_in_notices(make_upstream):
    """Part B asks the node, by the workspace's name."""
    identity = RelayIdentity(name="entry-1", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits(), random.Random(1))
    node.apply(changes.UpstreamListed(upstream=make_upstream(slots=4)), 0.0)
    notices = [
        LoadNotice(
            kind=LoadKind.STARTED,
            attempt=number,
            workspace=hash_workspace("firm-one" if number < 9 else "firm-two"),
            upstream_id="up-1",
        )
        for number in range(10)
    ]
    node.attempts.apply_notices("entry-2", notices, 0.0)
    node.admission.use.record_short("drafts", 1.0)
    assert node.is_over_share("drafts", "firm-one", 0.0)
    assert not node.is_over_share("drafts", "firm-two", 0.0)
    ends = [LoadNotice(kind=LoadKind.ENDED, attempt=number) for number in range(7)]
    node.attempts.apply_notices("entry-2", ends, 0.2)
    assert not node.is_over_share("drafts", "firm-one", 0.4)
