"""Ratings pooled over entries by way of the sidecars."""

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
_OTHER = RatingKey("drafter/v2", "quick")
_ONE_BAD = RatingSums(ratings=1, bad=1)


class _Fleet:
    """Entries that exchange heartbeats with one sidecar."""

    def __init__(self, entries):
        self.sidecar = SidecarRatingExchange()
        self.incarnation = "i1"
        self.entries = {name: EntryRatingExchange() for name in entries}
        self.added = defaultdict(RatingSums)
        for _ in range(2):
            self.beat(0.0)

    def beat(self, now_s, versions_out=()):
        for name, entry in self.entries.items():
            totals = entry.totals_for("vm")
            others = self.sidecar.exchange(name, totals, versions_out, now_s)
            told = entry.receive("vm", self.incarnation, others, now_s)
            for key, sums in told.added.items():
                self.added[name, key] = self.added[name, key].plus(sums)


def test_one_entrys_evidence_reaches_the_others():
    """Two heartbeats carry a rating to every entry, and not back to its own."""
    fleet = _Fleet("abc")
    fleet.entries["a"].add_local("vm", _KEY, _ONE_BAD)
    fleet.beat(10.0)
    fleet.beat(11.0)
    assert dict(fleet.added) == {("b", _KEY): _ONE_BAD, ("c", _KEY): _ONE_BAD}


def test_restarted_sidecar_counts_nothing_twice():
    """A sidecar that forgot all hears it again; the entries do not recount."""
    fleet = _Fleet("ab")
    fleet.entries["a"].add_local("vm", _KEY, _ONE_BAD)
    fleet.beat(10.0)
    fleet.beat(11.0)
    fleet.sidecar, fleet.incarnation = SidecarRatingExchange(), "i2"
    for second in range(12, 12 + int(3 * SIDECAR_RESYNC_S)):
        fleet.beat(float(second))
    assert fleet.added["b", _KEY] == _ONE_BAD


def test_new_entry_learns_what_was_rated_before():
    """Earlier ratings are told apart, for estimates and not for alarms."""
    fleet = _Fleet("a")
    fleet.entries["a"].add_local("vm", _KEY, _ONE_BAD)
    fleet.beat(10.0)
    totals = fleet.sidecar.exchange("new", (), (), 11.0)
    told = EntryRatingExchange().receive("vm", "i1", totals, 11.0)
    assert (told.prior, told.added) == ({_KEY: _ONE_BAD}, {})


def test_withdrawal_clears_the_evidence():
    """Nothing of a version marked out is pooled once it is in again."""
    fleet = _Fleet("ab")
    fleet.entries["a"].add_local("vm", _KEY, _ONE_BAD)
    fleet.beat(10.0)
    del fleet.entries["a"]
    fleet.beat(11.0, versions_out=("drafter/v1",))
    assert fleet.sidecar.exchange("new", (), (), 12.0) == ()


def test_silent_entry_is_forgotten():
    """A sidecar keeps no sums of entries that went away long ago."""
    sidecar = SidecarRatingExchange()
    entry = EntryRatingExchange()
    entry.add_local("vm", _KEY, _ONE_BAD)
    sidecar.exchange("a", entry.totals_for("vm"), (), 0.0)
    assert sidecar.exchange("b", (), (), EPOCH_RETENTION_S + 1) == ()


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from("abc"), st.sampled_from((_KEY, _OTHER)), st.booleans()
        ),
        max_size=40,
    )
)
def test_every_entry_hears_all_others_exactly(steps):
    """However ratings and heartbeats interleave, nothing is lost or doubled."""
    fleet = _Fleet("abc")
    own = defaultdict(RatingSums)
    for index, (name, key, beats) in enumerate(steps):
        sums = RatingSums(ratings=1, bad=index % 2)
        fleet.entries[name].add_local("vm", key, sums)
        own[name, key] = own[name, key].plus(sums)
        if beats:
            fleet.beat(10.0 + index)
    fleet.beat(100.0)
    fleet.beat(101.0)
    for name in "abc":
        for key in (_KEY, _OTHER):
            others = RatingSums()
            for other in set("abc") - {name}:
                others = others.plus(own[other, key])
            assert fleet.added[name, key] == others
