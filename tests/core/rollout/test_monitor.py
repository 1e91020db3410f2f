"""Tests of withdrawal and rollout of versions by their ratings."""

import random

import attrs
import pytest

from cardamomnotch_core.configuration.changes import OutOfServiceChange, apply_change
from cardamomnotch_core.quality.estimator import QualityEstimator
from cardamomnotch_core.quality.models import RatingKey, RatingSums
from cardamomnotch_core.rollout.changes import RolloutShareChange
from cardamomnotch_core.rollout.const import MAX_CHANGE_DELAY_S
from cardamomnotch_core.rollout.monitor import VersionMonitor

from tests.fixtures.routing_harness import small_configuration

_V1_KEY = RatingKey("drafter/v1", "quick")
_BAD_RATINGS = RatingSums(ratings=40, bad=40)
_GOOD_RATINGS = RatingSums(ratings=200, score_sum=190.0)


@pytest.fixture
def monitor():
    """Return a monitor without any ratings."""
    return VersionMonitor(QualityEstimator(), random.Random(1))


def _configuration_with_share(share):
    configuration = small_configuration()
    model = configuration.models[0]
    versions = (attrs.evolve(model.versions[0], rollout_share=share), model.versions[1])
    return attrs.evolve(configuration, models=(attrs.evolve(model, versions=versions),))


def _due_changes(monitor, now_s=MAX_CHANGE_DELAY_S):
    return [item.change for item in monitor.changes_due(now_s)]


def test_bad_version_is_withdrawn_with_one_change_request(monitor):
    """The entry stops using the version at once and requests one change."""
    monitor.add(_V1_KEY, _BAD_RATINGS, small_configuration(), 0.0)
    assert monitor.withdrawn == {"drafter/v1"}
    (change,) = _due_changes(monitor)
    assert isinstance(change, OutOfServiceChange)
    assert (change.name, change.out) == ("drafter/v1", True)
    assert _due_changes(monitor, 1_000.0) == []


def test_version_back_in_service_is_evaluated_anew(monitor):
    """An operator can return a version that was taken out of service."""
    configuration = small_configuration()
    monitor.add(_V1_KEY, _BAD_RATINGS, configuration, 0.0)
    monitor.apply_configuration(apply_change(_due_changes(monitor)[0], configuration))
    monitor.apply_configuration(configuration)
    assert monitor.withdrawn == frozenset()
    assert monitor.alarm_level("drafter/v1") == 0


def test_change_made_by_another_entry_is_not_requested(monitor):
    """A version that is already out of service is not marked again."""
    configuration = small_configuration()
    monitor.add(_V1_KEY, _BAD_RATINGS, configuration, 0.0)
    change = OutOfServiceChange(**attrs.asdict(_due_changes(monitor)[0]))
    other = VersionMonitor(QualityEstimator(), random.Random(2))
    other.add(_V1_KEY, _BAD_RATINGS, configuration, 0.0)
    other.apply_configuration(apply_change(change, configuration))
    assert _due_changes(other) == []


def test_rollout_share_increases_once_per_step(monitor):
    """Good ratings double the share once; without ratings it stays."""
    configuration = _configuration_with_share(0.05)
    assert _due_changes(monitor) == []
    monitor.add(_V1_KEY, _GOOD_RATINGS, configuration, 0.0)
    (change,) = _due_changes(monitor)
    assert change == RolloutShareChange(
        version="drafter/v1", from_share=0.05, to_share=0.1
    )
    assert _due_changes(monitor, 1_000.0) == []


def test_restarted_entry_continues_rollout_at_configured_share(monitor):
    """An entry without state continues at the configured share."""
    configuration = _configuration_with_share(0.4)
    monitor.add(_V1_KEY, _GOOD_RATINGS, configuration, 0.0)
    increased = apply_change(_due_changes(monitor)[0], configuration)
    assert increased.models[0].versions[0].rollout_share == 0.8
    monitor.apply_configuration(increased)
    monitor.add(_V1_KEY, _GOOD_RATINGS, increased, 10.0)
    completed = apply_change(_due_changes(monitor, 20.0)[0], increased)
    assert completed.models[0].versions[0].rollout_share == 1.0


def test_outdated_share_change_has_no_effect():
    """A change from a share that is no longer active is ignored."""
    configuration = _configuration_with_share(0.0)
    change = RolloutShareChange(version="drafter/v1", from_share=0.05, to_share=0.1)
    assert apply_change(change, configuration) == configuration


def test_new_share_requires_new_ratings(monitor):
    """Ratings at the smaller share do not count for the next increase."""
    configuration = _configuration_with_share(0.05)
    monitor.add(_V1_KEY, _GOOD_RATINGS, configuration, 0.0)
    increased = apply_change(_due_changes(monitor)[0], configuration)
    monitor.apply_configuration(increased)
    monitor.add(_V1_KEY, RatingSums(ratings=1, score_sum=1.0), increased, 5.0)
    assert _due_changes(monitor, 1_000.0) == []
