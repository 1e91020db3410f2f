"""Tests of quality estimates and their confidence bounds."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.configuration.models import Version
from cardamomnotch_core.quality.const import MAX_RATINGS_WEIGHT
from cardamomnotch_core.quality.estimator import QualityEstimator
from cardamomnotch_core.quality.models import RatingKey, RatingSums

_KEY = RatingKey("drafter/v1", "quick")
_VERSION = Version(name="v1", cost_per_1k_tokens=1.0, quality={"quick": 0.9})


def _estimate(estimator):
    return estimator.estimate("drafter/v1", _VERSION, "quick")


def _rate(estimator, score, count):
    estimator.add(_KEY, RatingSums(ratings=count, score_sum=score * count))


def test_class_without_configured_quality_has_no_estimate():
    """No quality is assumed for a class without a configured value."""
    assert QualityEstimator().estimate("drafter/v1", _VERSION, "tender") is None


@pytest.mark.parametrize("score", [0.5, 1.0])
def test_ratings_outweigh_configured_quality(score):
    """Many ratings move the estimate from the configured value to theirs."""
    estimator = QualityEstimator()
    _rate(estimator, score, 800)
    assert abs(_estimate(estimator).mean - score) < abs(_estimate(estimator).mean - 0.9)


def test_recent_ratings_outweigh_old_ones():
    """Old ratings lose weight, so the estimate follows a change."""
    estimator = QualityEstimator()
    _rate(estimator, 1.0, 100 * int(MAX_RATINGS_WEIGHT))
    _rate(estimator, 0.0, 2 * int(MAX_RATINGS_WEIGHT))
    assert _estimate(estimator).mean < 0.5


def test_removed_version_starts_from_configured_quality():
    """A version that returns to service is evaluated anew."""
    estimator = QualityEstimator()
    _rate(estimator, 0.0, 500)
    estimator.remove_version("drafter/v1")
    assert _estimate(estimator) == _estimate(QualityEstimator())


@given(ratings=st.lists(st.floats(0, 1), max_size=60))
def test_bounds_enclose_the_mean(ratings):
    """The bounds lie between 0 and 1 and enclose the mean."""
    estimator = QualityEstimator()
    for score in ratings:
        _rate(estimator, score, 1)
    estimate = _estimate(estimator)
    assert 0 <= estimate.lower <= estimate.mean <= estimate.upper <= 1
    assert estimate.ratings == len(ratings)
