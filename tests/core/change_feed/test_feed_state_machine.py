"""Freshness and reach of store changes over entries with faults."""

import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cardamomnotch_core.change_feed.const import MAX_INLINE_BYTES
from cardamomnotch_core.change_feed.feed import ChangeFeed
from cardamomnotch_core.change_feed.models import FeedPart, FeedRequest, StoreChange

from tests.fixtures.feed_simulation import (
    LARGE_VALUE_BYTES,
    MAX_AGE_S,
    FeedSimulation,
    order,
)
from tests.fixtures.positions import at

# Time within which a change must be known at an entry that reaches the store.
APPLY_S = 2.0
# Time after a fault until the bounds hold again, in seconds.
STABLE_S = 3.0
# Age at which an entry stops serving requests with a key.
MAX_USED_AGE_S = 3.8

NAMES = st.integers(0, 6).map("entry-{}".format)


class FeedMachine(RuleBasedStateMachine):
    """Entries of two zones that are cut off, suspended and restarted."""

    @initialize(seed=st.integers(0, 2**20))
    def start(self, seed):
        """Start the entries."""
        self.simulation = FeedSimulation(("a",) * 5 + ("b",) * 2, seed)
        self.simulation.advance(2.0)

    @rule(size=st.sampled_from([20, 300, LARGE_VALUE_BYTES]), count=st.integers(1, 40))
    def write(self, size, count):
        """Write values that are passed on, or that are too large for it."""
        for _ in range(count):
            self.simulation.store.write(self.simulation.now_s, size)
        self.simulation.advance(0.01)

    @rule(seconds=st.floats(0.05, 6.0))
    def advance(self, seconds):
        """Let time pass."""
        self.simulation.advance(seconds)

    @rule(name=NAMES, seconds=st.floats(0.1, 5.0))
    def freeze(self, name, seconds):
        """Suspend a process."""
        self.simulation.freeze(name, seconds)

    @rule(name=NAMES)
    def restart(self, name):
        """Replace a process."""
        self.simulation.restart(name)

    @rule(name=NAMES, is_reachable=st.booleans())
    def cut_store(self, name, is_reachable):
        """Cut an entry off from the store, or end that."""
        self.simulation.set_store_reachable(name, is_reachable)

    @rule(names=st.lists(NAMES, max_size=4), to=NAMES, both=st.booleans())
    def cut_links(self, names, to, both):
        """Lose the datagrams between some entries, one way or both."""
        for name in names:
            self.simulation.cut_links.add((name, to))
            if both:
                self.simulation.cut_links.add((to, name))

    @precondition(lambda self: self.simulation.cut_links)
    @rule()
    def restore_links(self):
        """Lose no more datagrams."""
        self.simulation.cut_links.clear()

    @rule(longest_s=st.sampled_from([0.005, 0.05, 0.4, 3.0]))
    def slow_links(self, longest_s):
        """Delay datagrams, also beyond several requests."""
        self.simulation.link_delay_s = (0.0002, longest_s)

    @rule(longest_s=st.sampled_from([0.1, 0.5]))
    def slow_store(self, longest_s):
        """Delay the store's replies."""
        self.simulation.slow_store(longest_s)

    @rule()
    def restore_store(self):
        """End the delays of the store."""
        self.simulation.restore_store()

    @rule()
    def lose_history(self):
        """Let the store forget its history."""
        self.simulation.store.first_kept = self.simulation.store.revision

    @rule(copy_age_s=st.floats(0.0, 20.0))
    def bring_back_store(self, copy_age_s):
        """Let the store come back from a copy: it gives out revisions again."""
        self.simulation.bring_back_store(copy_age_s)

    @invariant()
    def entries_that_reach_the_store_are_fresh(self):
        """Entries that reach the store know all changes in time."""
        simulation = self.simulation
        needed = simulation.store.position_at(simulation.now_s - APPLY_S)
        for entry in simulation.entries.values():
            stable_since_s = max(
                entry.in_touch_since_s, simulation.store_stable_since_s
            )
            if simulation.now_s - stable_since_s < STABLE_S:
                continue
            assert simulation.age_s(entry) < MAX_USED_AGE_S
            assert order(entry.feed.position) >= order(needed)


TestFeedMachine = FeedMachine.TestCase
TestFeedMachine.settings = settings(
    max_examples=30,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_few_entries_ask_the_store_while_nothing_happens():
    """The calls of a zone do not grow with its entries."""
    calls = {}
    for count in (2, 12, 40):
        simulation = FeedSimulation(("a",) * count, 1)
        simulation.advance(5.0)
        before = sum(entry.calls for entry in simulation.entries.values())
        simulation.advance(20.0)
        calls[count] = sum(e.calls for e in simulation.entries.values()) - before
        assert max(map(simulation.age_s, simulation.entries.values())) < 1.3 * MAX_AGE_S
    assert calls[40] <= 1.1 * calls[2]
    assert calls[12] <= 1.1 * calls[2]


def test_late_reply_of_the_store_repeats_no_older_change():
    """A reply that was overtaken by another entry's changes applies nothing."""
    feed = ChangeFeed("entry-0", "a", MAX_AGE_S)
    feed.record_read(at(10), 0.0)
    written = [
        StoreChange(key="key", position=at(n), value=b"%d" % n) for n in (11, 12)
    ]
    update = feed.handle_part(
        "entry-1",
        FeedPart(token=1, after=at(10), position=at(12), changes=tuple(written)),
    )
    assert [change.position for change in update.changes] == [at(11), at(12)]
    assert feed.record_watched(written[:1], at(11), 0.1) == ()
    assert feed.position == at(12)


def test_reader_that_lacks_too_much_is_told_once():
    """A source repeats only at a request that it cannot pass on the changes."""
    feed = ChangeFeed("entry-0", "a", MAX_AGE_S)
    feed.record_read(at(10), 0.0)
    parts = feed.handle_request(
        "entry-1", "h:1", FeedRequest(token=1, position=at(4)), 0.0
    )
    assert [part.is_gap for part in parts] == [True]
    assert list(feed.pushes(0.01)) == []
    feed.record_watched(
        [StoreChange(key="key", position=at(11), value=b"v")], at(11), 0.1
    )
    assert [part.after for _, part in feed.pushes(0.2)] == [at(10)]


def source_with(changes, position):
    """Return a source of the zone that has watched ``changes``."""
    feed = ChangeFeed("source", "a", MAX_AGE_S)
    feed.record_read(at(10), 0.0)
    feed.record_watched(changes, position, 0.0)
    return feed


def answer(source, reader, token):
    """Return what a source sends to a reader for its current position."""
    request = FeedRequest(token=token, position=reader.position)
    return source.handle_request("reader", "h:1", request, 0.0)


@pytest.mark.parametrize("early", [12, 14], ids=["at its write", "before the other's"])
def test_omitted_value_is_known_whichever_source_a_reader_asks(early):
    """A reader that changes its source midway does not skip an omitted value.

    A source that reads many changes by their keys does not know at which position
    the value was written, only the position up to which it has read.
    """
    small = [
        StoreChange(key=f"key-{n}", position=at(n), value=b"v" * MAX_INLINE_BYTES)
        for n in (11, 13, 15, 16, 17)
    ]
    known_early = StoreChange(key="document", position=at(early), is_omitted=True)
    known_late = StoreChange(key="document", position=at(17), is_omitted=True)
    first = source_with([*small, known_late], at(17))
    second = source_with(
        sorted([*small, known_early], key=lambda change: change.position), at(17)
    )
    reader = ChangeFeed("reader", "a", MAX_AGE_S)
    reader.record_read(at(10), 0.0)
    found = []
    # The first source's later parts are lost.
    for part in answer(first, reader, 1)[:4]:
        found.extend(reader.handle_part("first", part).changes)
    for part in answer(second, reader, 2):
        found.extend(reader.handle_part("second", part).changes)
    assert reader.position == at(17)
    assert "document" in {change.key for change in found}


@pytest.mark.parametrize("seed", range(200))
def test_omitted_values_are_known_whatever_parts_are_lost(seed):
    """A reader of two sources knows each omitted value before it gets past it."""
    random_source = random.Random(seed)
    written = []
    for number in range(11, 11 + random_source.randint(1, 30)):
        is_large = random_source.random() < random_source.choice((0.1, 0.7))
        key = random_source.choice(("document", f"key-{number}", "x" * 180))
        size = 0 if is_large else random_source.choice((0, 300, MAX_INLINE_BYTES))
        written.append((number, key, is_large, size))
    last = written[-1][0]
    sources = []
    for _ in range(2):
        found = []
        for number, key, is_large, size in written:
            # A source that reads by keys names a later position.
            late = random_source.choice((number, number, last))
            position = at(late if is_large else number)
            value = None if is_large else b"v" * size
            found.append(
                StoreChange(
                    key=key, position=position, value=value, is_omitted=is_large
                )
            )
        found.sort(key=lambda change: change.position)
        sources.append(source_with(found, at(last)))
    reader = ChangeFeed("reader", "a", MAX_AGE_S)
    reader.record_read(at(10), 0.0)
    known = {}
    for token in range(300):
        for part in answer(random_source.choice(sources), reader, token):
            if random_source.random() < 0.4:
                continue
            update = reader.handle_part("source", part)
            for change in update.changes if update else ():
                if change.is_omitted:
                    known[change.key] = change.position
            for number, key, is_large, _ in written:
                if is_large and at(number) <= reader.position:
                    assert known[key] >= at(number)
    needs_store = reader.needs_store(0.0)
    assert reader.position == at(last) or needs_store
