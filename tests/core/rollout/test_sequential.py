"""The test for bad versions and the test that lets a roll-out grow."""

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


def _answers_until_alarm(seed, share, good_before=0):
    source = random.Random(seed)
    test = BadVersionTest()
    test.add(RatingSums(ratings=good_before))
    for count in range(1, 10_000):
        test.add(RatingSums(ratings=1, bad=int(source.random() < share)))
        if test.is_alarmed:
            return count
    return math.inf


@pytest.mark.parametrize(
    ("share", "most"), [(0.3, 60), (1.0, 10)], ids=["30 %", "100 %"]
)
def test_bad_version_is_found_within_its_answers(share, most):
    """Half of the bad versions or more are found within the stated answers."""
    counts = [_answers_until_alarm(seed, share) for seed in range(_SEEDS)]
    assert statistics.median(counts) <= most


def test_long_good_service_does_not_hide_a_turn():
    """A version that turns bad is found as fast as a new one."""
    counts = [_answers_until_alarm(seed, 0.3, 100_000) for seed in range(_SEEDS)]
    assert statistics.median(counts) <= 60


def test_threshold_keeps_the_stated_false_alarms():
    """Union bound over a day's answers and the shares looked for."""
    tests = 4
    chance_a_day = RATINGS_PER_DAY * tests * math.exp(-ALARM_THRESHOLD)
    assert chance_a_day <= 1 / DAYS_PER_FALSE_ALARM * 1.0001


def test_false_alarms_stay_under_the_bound(monkeypatch):
    """With the threshold lowered, alarms stay under answers / exp(threshold)."""
    answers, runs = 200, 400
    monkeypatch.setattr(
        "cardamomnotch_core.rollout.sequential.ALARM_THRESHOLD",
        math.log(answers * 4 * 10),
    )
    alarms = 0
    for seed in range(runs):
        source = random.Random(seed)
        test = BadVersionTest()
        for _ in range(answers):
            bad = source.random() < DEFAULT_BAD_SHARE
            test.add(RatingSums(ratings=1, bad=int(bad)))
            if test.is_alarmed:
                alarms += 1
                break
    assert alarms <= runs / 10


@given(batches=st.lists(st.lists(st.booleans(), max_size=20), max_size=20))
def test_batches_never_raise_the_level(batches):
    """Pooled counts alarm no sooner than the same answers one at a time."""
    single, batched = BadVersionTest(), BadVersionTest()
    for batch in batches:
        batched.add(RatingSums(ratings=len(batch), bad=sum(batch)))
        for bad in batch:
            single.add(RatingSums(ratings=1, bad=int(bad)))
        assert batched.level <= single.level + 1e-9


def test_growth_rarely_passes_a_bad_version():
    """A version at the bad share passes no more often than stated."""
    passed = 0
    for seed in range(_SEEDS):
        source = random.Random(seed)
        test = ShareIncreaseTest()
        for _ in range(2_000):
            test.add(
                RatingSums(ratings=1, bad=int(source.random() < INCREASE_BAD_SHARE))
            )
            if test.is_passed:
                passed += 1
                break
    assert passed <= _SEEDS * INCREASE_ERROR_PROBABILITY + 3 * math.sqrt(
        _SEEDS * INCREASE_ERROR_PROBABILITY
    )


def test_growth_passes_a_good_version():
    """Some hundred good answers are enough."""
    test = ShareIncreaseTest()
    test.add(RatingSums(ratings=200, bad=1))
    assert test.is_passed
    assert not ShareIncreaseTest().is_passed
