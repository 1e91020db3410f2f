"""Comparison of the answer times of two versions."""

import pytest

from cardamomnotch_core.relay.rollouts.answer_times import (
    AnswerTimes,
    chance_of_slowness,
)


def times(*ratios):
    """Return a histogram of answers with these ratios."""
    histogram = AnswerTimes()
    for ratio in ratios:
        histogram.record(ratio)
    return histogram


OLD = times(*[0.6] * 90, *[0.9] * 8, *[1.5] * 2)


@pytest.mark.parametrize(
    ("new", "likely"),
    [
        (times(*[0.6] * 5, *[4.8] * 5), False),
        (times(*[0.6] * 5, *[1.9] * 5), False),
        (times(*[0.9] * 10), True),
        (times(*[1.3] * 10), True),
        (times(*[0.6] * 97, *[1.5] * 3), True),
        (times(*[0.6] * 9, 1.5), True),
        (times(), True),
    ],
    ids=[
        "half eight times as slow",
        "half three times as slow",
        "a little slower",
        "almost twice as slow",
        "as fast",
        "one slow answer",
        "none",
    ],
)
def test_part_of_slow_answers_is_found(new, likely):
    """Only a clearly larger share of slow answers is unlikely by chance."""
    assert (chance_of_slowness(new, OLD) > 1e-2) is likely


def test_few_old_answers_allow_no_comparison():
    """A version is not compared with fewer than twenty old answers."""
    assert chance_of_slowness(times(*[8.0] * 20), times(*[0.6] * 19)) == 1.0
    assert chance_of_slowness(times(*[8.0] * 20), times(*[0.6] * 20)) < 1e-4


def test_a_few_answers_behind_one_long_prompt_accuse_nobody():
    """A version is not compared before it has eight answers."""
    assert chance_of_slowness(times(*[8.0] * 7), OLD) == 1.0
    assert chance_of_slowness(times(*[8.0] * 8), OLD) < 1e-4


def test_old_version_that_is_as_slow_hides_nothing_and_accuses_nobody():
    """Answers that are slow on both versions are no evidence."""
    slow = times(*[0.6] * 50, *[8.0] * 50)
    assert chance_of_slowness(slow, slow) == 1.0


def test_large_counts_are_compared():
    """The comparison works for a long rollout of a busy service."""
    old, new = AnswerTimes(), AnswerTimes()
    old.counts[1], old.counts[4] = 10**9, 10**7
    new.counts[1], new.counts[4] = 10**8, 10**6
    assert chance_of_slowness(new, old) == 1.0
    new.counts[4] = 2 * 10**7
    assert chance_of_slowness(new, old) < 1e-4


def test_histogram_of_another_build_is_refused():
    """A histogram with other buckets cannot be added."""
    with pytest.raises(ValueError, match="buckets"):
        AnswerTimes(counts=[1, 2])
