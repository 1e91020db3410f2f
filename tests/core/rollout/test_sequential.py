"""Tests of the bad-version test and the share-increase test."""

import math
import random
import statistics

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.quality.models import RatingSums
from cardamomnotch_core.rollout.const import (
    DAYS_PER_FALSE_ALARM,
    DEFAULT_BAD_SHARE,
    INCREASE_BAD_SHARE,
    INCREASE_ERROR_PROBABILITY,
    RATINGS_PER_DAY,
)
from cardamomnotch_core.rollout.sequential import (
    ALARM_THRESHOLD,
    BadVersionTest,
    ShareIncreaseTest,
)

_SEEDS = 200


def _count_answers_until_alarm(seed, share, good_answers_before=0):
    random_source = random.Random(seed)
    test = BadVersionTest()
    test.add(RatingSums(ratings=good_answers_before))
    for count in range(1, 10_000):
        test.add(RatingSums(ratings=1, bad=int(random_source.random() < share)))
        if test.is_alarm_raised:
            return count
    return math.inf


@pytest.mark.parametrize(
    ("share", "max_answers"), [(0.3, 60), (1.0, 10)], ids=["30 %", "100 %"]
)
def test_bad_version_is_detected_within_limit(share, max_answers):
    """The median number of answers until detection is within the limit."""
    counts = [_count_answers_until_alarm(seed, share) for seed in range(_SEEDS)]
    assert statistics.median(counts) <= max_answers


def test_version_that_becomes_bad_is_detected():
    """Detection is as fast after long good service as for a new version."""
    counts = [_count_answers_until_alarm(seed, 0.3, 100_000) for seed in range(_SEEDS)]
    assert statistics.median(counts) <= 60


def test_threshold_bounds_false_alarm_rate():
    """The union bound on the false alarms of a day is within the limit."""
    tested_shares = 4
    chance_a_day = RATINGS_PER_DAY * tested_shares * math.exp(-ALARM_THRESHOLD)
    assert chance_a_day <= 1 / DAYS_PER_FALSE_ALARM * 1.0001


def test_measured_false_alarms_stay_within_bound(monkeypatch):
    """With a lower threshold, alarms stay below answers / exp(threshold)."""
    answers, runs = 200, 400
    monkeypatch.setattr(
        "cardamomnotch_core.rollout.sequential.ALARM_THRESHOLD",
        math.log(answers * 4 * 10),
    )
    alarms = 0
    for seed in range(runs):
        random_source = random.Random(seed)
        test = BadVersionTest()
        for _ in range(answers):
            bad = random_source.random() < DEFAULT_BAD_SHARE
            test.add(RatingSums(ratings=1, bad=int(bad)))
            if test.is_alarm_raised:
                alarms += 1
                break
    assert alarms <= runs / 10


@given(batches=st.lists(st.lists(st.booleans(), max_size=20), max_size=20))
def test_batches_never_raise_alarm_level(batches):
    """Batches never reach a higher alarm level than single answers."""
    single, batched = BadVersionTest(), BadVersionTest()
    for batch in batches:
        batched.add(RatingSums(ratings=len(batch), bad=sum(batch)))
        for bad in batch:
            single.add(RatingSums(ratings=1, bad=int(bad)))
        assert batched.alarm_level <= single.alarm_level + 1e-9


def test_bad_version_rarely_passes_increase_test():
    """A version at the tested bad share passes within the error bound."""
    passed = 0
    for seed in range(_SEEDS):
        random_source = random.Random(seed)
        test = ShareIncreaseTest()
        for _ in range(2_000):
            test.add(
                RatingSums(
                    ratings=1, bad=int(random_source.random() < INCREASE_BAD_SHARE)
                )
            )
            if test.is_passed:
                passed += 1
                break
    assert passed <= _SEEDS * INCREASE_ERROR_PROBABILITY + 3 * math.sqrt(
        _SEEDS * INCREASE_ERROR_PROBABILITY
    )


def test_good_version_passes_increase_test():
    """A version with one bad answer in two hundred passes the test."""
    test = ShareIncreaseTest()
    test.add(RatingSums(ratings=200, bad=1))
    assert test.is_passed
    assert not ShareIncreaseTest().is_passed
