"""Rollout statistics over many entries: early verdicts, few writes to the store."""

import random

import attrs
import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes

from tests.fixtures.positions import at

STEP_S = 0.1
# Minimum intervals between two records of an entry, if they are urgent and if not.
WRITE_INTERVAL_S, RENEWAL_INTERVAL_S = 0.7, 4.0
ORDER = changes.RolloutOrdered(
    order=RolloutOrder(service="drafts", target="v2", duration_s=24.0), order_id=at(5)
)
LARGE = (16, 14, 12, 12, 14)


@attrs.define(eq=False, slots=False)
class Play:
    """Entries that get answers of a rollout and exchange their statistics."""

    zones: tuple[int, ...]
    requests_per_s: float = 160.0
    bad_share: float = 0.0
    lost_datagrams: float = 0.0
    seed: int = 0
    now_s: float = 0.0
    writes: int = 0
    answers: int = 0
    bad: int = 0
    # When the last of the entries knew that the version is bad.
    found_at_s: float = float("inf")
    nodes: dict[str, RelayNode] = attrs.field(factory=dict)
    _written: dict[str, tuple[float, changes.EntryRecord]] = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        """Start the entries."""
        self._random = random.Random(self.seed)
        for zone, size in enumerate(self.zones):
            for number in range(size):
                self.start(f"entry-{zone}-{number}", f"zone-{zone}")

    def start(self, name, zone):
        """Start an entry, or its next process."""
        identity = RelayIdentity(
            name=name, zone=zone, incarnation=f"{self.now_s}", address=f"{name}:1"
        )
        node = RelayNode(identity, RelayLimits())
        node.feed.record_read(at(1), self.now_s)
        node.apply(ORDER, self.now_s)
        for other in self.nodes.values():
            if other.identity.name != name:
                self._introduce(other, node)
        for entry, (_, record) in self._written.items():
            if entry in (name, *self.nodes):
                node.apply(changes.EntryReported(record=record), self.now_s)
        self.nodes[name] = node

    def _introduce(self, one, two):
        for node, other in ((one, two), (two, one)):
            record = attrs.evolve(other.entry_record(self.now_s), rollouts={})
            node.apply(changes.EntryReported(record=record), self.now_s)

    def run(self, seconds):
        """Let time pass, with requests."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            self._answer_requests()
            for node in self.nodes.values():
                self._exchange(node)
                self._write(node)
            rollouts = [node.versions.get("drafts") for node in self.nodes.values()]
            found = [rollout.evaluate(self.now_s) for rollout in rollouts]
            if all(found):
                self.found_at_s = min(self.found_at_s, self.now_s)

    def _answer_requests(self):
        for _ in range(round(self.requests_per_s * STEP_S)):
            rollout = self._random.choice(list(self.nodes.values())).versions.get(
                "drafts"
            )
            is_new = self._random.random() < rollout.share(self.now_s)
            is_bad = is_new and self._random.random() < self.bad_share
            rollout.record_answer("v2" if is_new else "v1", is_bad)
            self.answers += 1
            self.bad += is_bad

    def _exchange(self, node):
        for address, request in node.feed.requests(self.now_s):
            for part in self._to(address, lambda to, r=request: self._ask(to, node, r)):
                node.feed.handle_part(address.partition(":")[0], part)
        addresses, message = node.rollout_reports.take_due(self.now_s) or ((), None)
        for address in addresses:
            self._to(address, lambda to: to.rollout_reports.apply(message, self.now_s))

    def _ask(self, to, sender, request):
        return to.feed.handle_request(
            sender.identity.name, sender.identity.address, request, self.now_s
        )

    def _to(self, address, deliver):
        node = self.nodes.get(address.partition(":")[0])
        if node is None or self._random.random() < self.lost_datagrams:
            return ()
        return deliver(node)

    def _write(self, node):
        record = node.entry_record(self.now_s)
        written_at_s, written = self._written.get(
            record.entry, (-9.0, attrs.evolve(record, rollouts={}))
        )
        is_urgent = record.is_urgent_after(written)
        interval_s = WRITE_INTERVAL_S if is_urgent else RENEWAL_INTERVAL_S
        if record == written or self.now_s - written_at_s < interval_s:
            return
        self.writes += 1
        self._written[record.entry] = self.now_s, record
        for other in self.nodes.values():
            other.apply(changes.EntryReported(record=record), self.now_s)

    def counted(self):
        """Return how many answers each entry knows of, of all entries."""
        counts = []
        for node in self.nodes.values():
            new, old = node.versions.get("drafts").combined_stats(self.now_s)
            counts.append(new.answers + old.answers)
        return counts


@pytest.mark.parametrize("lost", [0.0, 0.3])
@pytest.mark.parametrize("zones", [LARGE, (2, 2, 1), (45,) * 3], ids=str)
def test_writes_of_a_rollout_grow_with_the_zones(zones, lost):
    """All entries know of a bad version early, with one writer for each zone."""
    play = Play(zones, bad_share=0.5, lost_datagrams=lost)
    play.run(6.0)
    assert play.found_at_s <= 3.0
    assert play.bad < 50
    # A zone whose datagrams are lost may have a second writer for a while.
    writers = len(zones) * (1 if not lost else 2)
    assert play.writes <= writers * (6.0 / WRITE_INTERVAL_S + 1)


@pytest.mark.parametrize("zones", [LARGE, (2, 2, 1)], ids=str)
def test_answers_are_counted_once_while_sources_are_replaced(zones):
    """No answer counts twice, and few are missing, when first sources go."""
    play = Play(zones, lost_datagrams=0.1)
    for _ in range(4):
        play.run(3.0)
        firsts = [
            node.identity.name
            for node in play.nodes.values()
            if node.feed.is_first_source(play.now_s)
        ]
        assert max(play.counted()) <= play.answers
        lost = play.nodes.pop(firsts[0])
        play.run(2.0)
        play.start(lost.identity.name, lost.identity.zone)
    play.requests_per_s = 0.0
    play.run(RENEWAL_INTERVAL_S + 1.0)
    assert max(play.counted()) <= play.answers
    # An entry loses what it has not sent yet, of up to two seconds.
    assert min(play.counted()) >= 0.8 * play.answers


def test_restarted_source_restores_its_own_answers():
    """A restarted source restores its own answers; its zone's arrive again."""
    play = Play((3,), requests_per_s=30.0)
    play.run(8.5)
    (first,) = [n for n in play.nodes.values() if n.feed.is_first_source(play.now_s)]
    play.start(first.identity.name, first.identity.zone)
    rollout = play.nodes[first.identity.name].versions.get("drafts")
    own = rollout.new.answers + rollout.old.answers
    assert 0.2 * play.answers <= own <= 0.4 * play.answers
    assert rollout.started_at_s <= RENEWAL_INTERVAL_S
