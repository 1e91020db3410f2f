"""Estimates of quality with their uncertainty."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.configuration.models import Version
from cardamomnotch_core.quality.const import MAX_RATINGS_WEIGHT
from cardamomnotch_core.quality.estimator import QualityEstimator
from cardamomnotch_core.quality.models import RatingKey, RatingSums

_KEY = RatingKey("drafter/v1", "quick")
_VERSION = Version(name="v1", cost_per_1k_tokens=1.0, quality={"quick": 0.9})


def _estimate(book):
    return book.estimate("drafter/v1", _VERSION, "quick")


def _rate(book, score, count):
    book.add(_KEY, RatingSums(ratings=count, score_sum=score * count))


def test_unlisted_class_has_no_estimate():
    """A version without a figure for the class is not guessed at."""
    assert QualityEstimator().estimate("drafter/v1", _VERSION, "tender") is None


@pytest.mark.parametrize("score", [0.5, 1.0])
def test_ratings_overrule_a_wrong_figure(score):
    """Enough ratings carry the estimate from the lists' figure to theirs."""
    book = QualityEstimator()
    _rate(book, score, 800)
    assert abs(_estimate(book).mean - score) < abs(_estimate(book).mean - 0.9)


def test_estimate_follows_a_change():
    """Old ratings lose their weight, so a later change shows."""
    book = QualityEstimator()
    _rate(book, 1.0, 100 * int(MAX_RATINGS_WEIGHT))
    _rate(book, 0.0, 2 * int(MAX_RATINGS_WEIGHT))
    assert _estimate(book).mean < 0.5


def test_forgotten_version_starts_from_the_lists():
    """A version marked in again is judged anew."""
    book = QualityEstimator()
    _rate(book, 0.0, 500)
    book.remove_version("drafter/v1")
    assert _estimate(book) == _estimate(QualityEstimator())


@given(ratings=st.lists(st.floats(0, 1), max_size=60))
def test_bounds_enclose_the_mean(ratings):
    """Bounds lie in 0 to 1 around the mean, and ratings only narrow them."""
    book = QualityEstimator()
    for score in ratings:
        _rate(book, score, 1)
    estimate = _estimate(book)
    assert 0 <= estimate.lower <= estimate.mean <= estimate.upper <= 1
    assert estimate.ratings == len(ratings)
