"""Comparison of the answer times of two versions."""

import bisect
import math

import attrs

# Lower bounds of the buckets after the first, as ratios of the time to the
# first byte to the expected time: half octaves from 0.5 to 16.
_BUCKET_BOUNDS = tuple(2 ** (step / 2) for step in range(-2, 9))
# Ratio from which an answer is slow enough to be reported at once.
SLOW_RATIO = 2.0

# Answers are slow at ratios that at most this share of the old version's
# answers reaches, and that are this many times its median.
_MAX_OLD_SLOW_SHARE = 0.2
_MIN_SLOWDOWN = 2.0
# Minimum numbers of answers for a comparison: one long prompt delays several
# answers of an upstream.
_MIN_NEW_ANSWERS = 8
_MIN_OLD_ANSWERS = 20
# Smallest difference between the shares of slow answers that matters.
_MIN_SLOW_SHARE_EXCESS = 0.08
# Relative size below which further terms of a sum are left out.
_NEGLIGIBLE = 1e-9


@attrs.define
class AnswerTimes:
    """Histogram of answer times relative to the expected ones."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(_BUCKET_BOUNDS) + 1))

    @counts.validator
    def _check_counts(self, attribute: attrs.Attribute, value: list[int]) -> None:
        if len(value) != len(_BUCKET_BOUNDS) + 1:
            raise ValueError(f"{attribute.name} has {len(value)} buckets")

    @property
    def total(self) -> int:
        """Return the number of answers."""
        return sum(self.counts)

    @property
    def median_bound(self) -> float:
        """Return the upper bound of the median's bucket."""
        remaining = self.total / 2
        for count, bound in zip(self.counts, _BUCKET_BOUNDS, strict=False):
            remaining -= count
            if remaining <= 0:
                return bound
        return math.inf

    def record(self, ratio: float) -> None:
        """Count an answer by the ratio of its time to the expected one."""
        self.counts[bisect.bisect_right(_BUCKET_BOUNDS, ratio)] += 1

    def add(self, other: "AnswerTimes") -> None:
        """Add the answers of ``other``."""
        self.counts = [
            mine + theirs
            for mine, theirs in zip(self.counts, other.counts, strict=True)
        ]

    def slow_answers(self, ratio: float = SLOW_RATIO) -> int:
        """Return the number of answers at or above ``ratio``, a bucket bound."""
        return sum(self.counts[bisect.bisect_right(_BUCKET_BOUNDS, ratio) :])


def chance_of_slowness(new: AnswerTimes, old: AnswerTimes) -> float:
    """Return the probability that chance makes the new version look as slow.

    The versions are compared by the share of slow answers instead of the mean
    time, so that a version of which only a part of the answers is slow is
    found as well. Returns 1.0 if the share is not larger by much, or if there
    are too few answers.
    """
    new_total, old_total = new.total, old.total
    if new_total < _MIN_NEW_ANSWERS or old_total < _MIN_OLD_ANSWERS:
        return 1.0
    chance = 1.0
    smallest_bound = _MIN_SLOWDOWN * old.median_bound
    for bound in _BUCKET_BOUNDS:
        if bound < smallest_bound:
            continue
        old_slow, new_slow = old.slow_answers(bound), new.slow_answers(bound)
        excess = new_slow / new_total - old_slow / old_total
        if (
            old_slow <= _MAX_OLD_SLOW_SHARE * old_total
            and excess >= _MIN_SLOW_SHARE_EXCESS
        ):
            chance = min(chance, _probability(new_slow, new_total, old_slow, old_total))
    return chance


def _probability(new_slow: int, new_total: int, old_slow: int, old_total: int) -> float:
    """Return the probability of at least ``new_slow`` slow new answers by chance.

    This is Fisher's exact test: the slow answers are drawn at random from all.
    """
    slow = new_slow + old_slow
    all_ways = _log_combinations(new_total + old_total, slow)
    probability = 0.0
    for count in range(new_slow, min(new_total, slow) + 1):
        if slow - count > old_total:
            continue
        term = math.exp(
            _log_combinations(new_total, count)
            + _log_combinations(old_total, slow - count)
            - all_ways
        )
        probability += term
        if term < probability * _NEGLIGIBLE:
            break
    return probability


def _log_combinations(total: int, count: int) -> float:
    return (
        math.lgamma(total + 1) - math.lgamma(count + 1) - math.lgamma(total - count + 1)
    )
