"""Tests of the linear model of a time."""

import random

import pytest

from cardamomnotch_core.relay.upstream_estimates.const import (
    FIRST_TOKEN_DEVIATIONS,
    FIRST_TOKEN_MAXIMUMS,
    FIRST_TOKEN_MINIMUMS,
    FIRST_TOKEN_PRIOR,
)
from cardamomnotch_core.relay.upstream_estimates.regression import (
    CoefficientLimits,
    LinearTime,
)


@pytest.fixture
def times():
    """Return a model of the time to the first token without samples."""
    return LinearTime(
        CoefficientLimits(
            prior=FIRST_TOKEN_PRIOR,
            deviations=FIRST_TOKEN_DEVIATIONS,
            minimums=FIRST_TOKEN_MINIMUMS,
            maximums=FIRST_TOKEN_MAXIMUMS,
        )
    )


def draw_inputs(numbers):
    """Return the inputs of a random request."""
    tokens = numbers.randrange(200, 20_000)
    running = numbers.randrange(20)
    backlog = numbers.choice((0.0, numbers.uniform(0, 800)))
    return (1.0, tokens, tokens * running, running, backlog, backlog / 2)


@pytest.mark.parametrize("rate", [0.0056, 0.014, 0.077], ids=str)
def test_rate_of_a_model_is_learned_from_thirty_requests(times, rate):
    """An entry gets a few requests a second, and a tenth of the answers are late."""
    numbers = random.Random(1)
    truth = (60.0, rate, rate * 0.01, 2.0, 0.9, 0.5)
    for _ in range(30):
        inputs = draw_inputs(numbers)
        observed = sum(a * b for a, b in zip(inputs, truth, strict=True))
        observed *= numbers.uniform(0.85, 1.15)
        if numbers.random() < 0.1:
            observed *= 10
        times.update(inputs, observed)
    for tokens in (500, 15_000):
        expected = times.expected((1.0, tokens, 0.0, 0.0, 0.0, 0.0))
        assert expected == pytest.approx(60 + rate * tokens, rel=0.25)


def test_model_stays_in_its_limits_after_many_odd_observations(times):
    """Rounding errors of a filter can grow until its coefficients diverge."""
    numbers = random.Random(1)
    for _ in range(20_000):
        observed = numbers.choice((0.0, 1.0, 300.0, 1e6))
        times.update(draw_inputs(numbers), observed)
        for value, low, high in zip(
            times.coefficients,
            FIRST_TOKEN_MINIMUMS,
            FIRST_TOKEN_MAXIMUMS,
            strict=True,
        ):
            assert low <= value <= high


def test_changed_times_are_followed(times):
    """Engines get faster or slower with a new release."""
    numbers = random.Random(1)
    for base in (60.0, 120.0):
        for _ in range(400):
            inputs = draw_inputs(numbers)
            times.update(inputs, base + 0.02 * inputs[1] + 0.9 * inputs[4])
    expected = times.expected((1.0, 1_000, 0.0, 0.0, 0.0, 0.0))
    assert expected == pytest.approx(140, rel=0.15)
