"""Tests of the exchange of ratings between entries through sidecars."""

from collections import defaultdict

from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.quality.models import RatingKey, RatingSums
from cardamomnotch_core.quality.rating_exchange import (
    EPOCH_RETENTION_S,
    SIDECAR_RESYNC_S,
    EntryRatingExchange,
    SidecarRatingExchange,
)

_KEY = RatingKey("drafter/v1", "quick")
_OTHER_KEY = RatingKey("drafter/v2", "quick")
_ONE_BAD_RATING = RatingSums(ratings=1, bad=1)


class _SimulatedEntries:
    """Simulates entries that exchange heartbeats with one sidecar."""

    def __init__(self, entries):
        self.sidecar = SidecarRatingExchange()
        self.incarnation = "i1"
        self.entries = {name: EntryRatingExchange() for name in entries}
        self.added = defaultdict(RatingSums)
        for _ in range(2):
            self.exchange_heartbeats(0.0)

    def exchange_heartbeats(self, now_s, versions_out=()):
        for name, entry in self.entries.items():
            totals = entry.totals_for("vm")
            others = self.sidecar.exchange(name, totals, versions_out, now_s)
            received = entry.receive("vm", self.incarnation, others, now_s)
            for key, sums in received.added.items():
                self.added[name, key] = self.added[name, key].plus(sums)


def test_rating_reaches_all_other_entries():
    """Two heartbeats deliver a rating to all entries but its sender."""
    simulation = _SimulatedEntries("abc")
    simulation.entries["a"].add_local("vm", _KEY, _ONE_BAD_RATING)
    simulation.exchange_heartbeats(10.0)
    simulation.exchange_heartbeats(11.0)
    assert dict(simulation.added) == {
        ("b", _KEY): _ONE_BAD_RATING,
        ("c", _KEY): _ONE_BAD_RATING,
    }


def test_sidecar_restart_counts_no_rating_twice():
    """Totals sent again to a restarted sidecar are not counted again."""
    simulation = _SimulatedEntries("ab")
    simulation.entries["a"].add_local("vm", _KEY, _ONE_BAD_RATING)
    simulation.exchange_heartbeats(10.0)
    simulation.exchange_heartbeats(11.0)
    simulation.sidecar, simulation.incarnation = SidecarRatingExchange(), "i2"
    for second in range(12, 12 + int(3 * SIDECAR_RESYNC_S)):
        simulation.exchange_heartbeats(float(second))
    assert simulation.added["b", _KEY] == _ONE_BAD_RATING


def test_new_entry_receives_prior_ratings():
    """Prior ratings are separate: they count for estimates, not alarms."""
    simulation = _SimulatedEntries("a")
    simulation.entries["a"].add_local("vm", _KEY, _ONE_BAD_RATING)
    simulation.exchange_heartbeats(10.0)
    totals = simulation.sidecar.exchange("new", (), (), 11.0)
    received = EntryRatingExchange().receive("vm", "i1", totals, 11.0)
    assert (received.prior, received.added) == ({_KEY: _ONE_BAD_RATING}, {})


def test_withdrawal_removes_pooled_ratings():
    """Ratings of a version taken out of service are no longer exchanged."""
    simulation = _SimulatedEntries("ab")
    simulation.entries["a"].add_local("vm", _KEY, _ONE_BAD_RATING)
    simulation.exchange_heartbeats(10.0)
    del simulation.entries["a"]
    simulation.exchange_heartbeats(11.0, versions_out=("drafter/v1",))
    assert simulation.sidecar.exchange("new", (), (), 12.0) == ()


def test_totals_of_inactive_entry_expire():
    """A sidecar drops the totals of an entry after the retention time."""
    sidecar = SidecarRatingExchange()
    entry = EntryRatingExchange()
    entry.add_local("vm", _KEY, _ONE_BAD_RATING)
    sidecar.exchange("a", entry.totals_for("vm"), (), 0.0)
    assert sidecar.exchange("b", (), (), EPOCH_RETENTION_S + 1) == ()


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from("abc"), st.sampled_from((_KEY, _OTHER_KEY)), st.booleans()
        ),
        max_size=40,
    )
)
def test_each_entry_receives_all_other_ratings_exactly_once(steps):
    """No rating is lost or counted twice, for any order of heartbeats."""
    simulation = _SimulatedEntries("abc")
    sent = defaultdict(RatingSums)
    for index, (name, key, sends_heartbeat) in enumerate(steps):
        sums = RatingSums(ratings=1, bad=index % 2)
        simulation.entries[name].add_local("vm", key, sums)
        sent[name, key] = sent[name, key].plus(sums)
        if sends_heartbeat:
            simulation.exchange_heartbeats(10.0 + index)
    simulation.exchange_heartbeats(100.0)
    simulation.exchange_heartbeats(101.0)
    for name in "abc":
        for key in (_KEY, _OTHER_KEY):
            others = RatingSums()
            for other in set("abc") - {name}:
                others = others.plus(sent[other, key])
            assert simulation.added[name, key] == others
