"""What ratings do to versions in service and in roll-out."""

import random

import attrs
import pytest

from cardamomnotch_core.configuration.changes import MarkChange, apply_change
from cardamomnotch_core.quality.estimator import QualityEstimator
from cardamomnotch_core.quality.models import RatingKey, RatingSums
from cardamomnotch_core.rollout.changes import RolloutShareChange
from cardamomnotch_core.rollout.const import MAX_CHANGE_DELAY_S
from cardamomnotch_core.rollout.monitor import VersionMonitor

from tests.fixtures.decisions import small_lists

_V1 = RatingKey("drafter/v1", "quick")
_BAD = RatingSums(ratings=40, bad=40)
_GOOD = RatingSums(ratings=200, score_sum=190.0)


@pytest.fixture
def monitor():
    """Return a monitor that has seen nothing."""
    return VersionMonitor(QualityEstimator(), random.Random(1))


def _lists_with_share(share):
    configuration = small_lists()
    model = configuration.models[0]
    versions = (attrs.evolve(model.versions[0], rollout_share=share), model.versions[1])
    return attrs.evolve(configuration, models=(attrs.evolve(model, versions=versions),))


def _changes(monitor, now_s=MAX_CHANGE_DELAY_S):
    return [item.change for item in monitor.changes_due(now_s)]


def test_bad_version_is_left_at_once_and_marked_out_once(monitor):
    """The entry stops using it before the store knows, and asks one time."""
    monitor.add(_V1, _BAD, small_lists(), 0.0)
    assert monitor.withdrawn == {"drafter/v1"}
    (change,) = _changes(monitor)
    assert isinstance(change, MarkChange)
    assert (change.name, change.out) == ("drafter/v1", True)
    assert _changes(monitor, 1_000.0) == []


def test_version_marked_in_is_judged_anew(monitor):
    """Once the lists have shown it out, an operator's mark in counts."""
    configuration = small_lists()
    monitor.add(_V1, _BAD, configuration, 0.0)
    monitor.apply_configuration(apply_change(_changes(monitor)[0], configuration))
    monitor.apply_configuration(configuration)
    assert monitor.withdrawn == frozenset()
    assert monitor.level("drafter/v1") == 0


def test_another_entry_that_was_first_spares_the_write(monitor):
    """A mark that is in the lists already is not asked for again."""
    configuration = small_lists()
    monitor.add(_V1, _BAD, configuration, 0.0)
    change = MarkChange(**attrs.asdict(_changes(monitor)[0]))
    other = VersionMonitor(QualityEstimator(), random.Random(2))
    other.add(_V1, _BAD, configuration, 0.0)
    other.apply_configuration(apply_change(change, configuration))
    assert _changes(other) == []


def test_rollout_grows_only_as_ratings_allow(monitor):
    """Good answers double the share, once; without ratings nothing grows."""
    configuration = _lists_with_share(0.05)
    assert _changes(monitor) == []
    monitor.add(_V1, _GOOD, configuration, 0.0)
    (change,) = _changes(monitor)
    assert change == RolloutShareChange(
        version="drafter/v1", from_share=0.05, to_share=0.1
    )
    assert _changes(monitor, 1_000.0) == []


def test_interrupted_rollout_goes_on_from_the_lists(monitor):
    """An entry that knows nothing goes on at the share in the store."""
    configuration = _lists_with_share(0.4)
    monitor.add(_V1, _GOOD, configuration, 0.0)
    grown = apply_change(_changes(monitor)[0], configuration)
    assert grown.models[0].versions[0].rollout_share == 0.8
    monitor.apply_configuration(grown)
    monitor.add(_V1, _GOOD, grown, 10.0)
    whole = apply_change(_changes(monitor, 20.0)[0], grown)
    assert whole.models[0].versions[0].rollout_share == 1.0


def test_late_share_change_does_nothing():
    """A change for a share that is no longer in force is harmless."""
    configuration = _lists_with_share(0.0)
    change = RolloutShareChange(version="drafter/v1", from_share=0.05, to_share=0.1)
    assert apply_change(change, configuration) == configuration


def test_new_share_needs_new_answers(monitor):
    """Answers at the smaller share do not let the next one grow too."""
    configuration = _lists_with_share(0.05)
    monitor.add(_V1, _GOOD, configuration, 0.0)
    grown = apply_change(_changes(monitor)[0], configuration)
    monitor.apply_configuration(grown)
    monitor.add(_V1, RatingSums(ratings=1, score_sum=1.0), grown, 5.0)
    assert _changes(monitor, 1_000.0) == []
