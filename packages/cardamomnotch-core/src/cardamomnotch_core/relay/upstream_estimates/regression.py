"""A linear model of a time that follows its observations."""

import math
from collections.abc import Sequence

import attrs

from .const import (
    EXCESS_EXPONENT,
    FORGETTING_SHARE,
    MAX_TRUSTED_ERROR,
    OBSERVATION_DEVIATION,
)


@attrs.frozen(kw_only=True)
class CoefficientLimits:
    """Coefficients before there are samples, and the range of each."""

    prior: tuple[float, ...]
    deviations: tuple[float, ...]
    minimums: tuple[float, ...]
    maximums: tuple[float, ...]


class LinearTime:
    """Learns a time as a sum of inputs times coefficients.

    A Kalman filter on the relative error (Kalman 1960) whose coefficients are a
    random walk, so that old observations are forgotten. Observations with a large
    error have limited weight (Huber 1964).
    """

    def __init__(
        self, limits: CoefficientLimits, coefficients: Sequence[float] = ()
    ) -> None:
        self._limits = limits
        self.coefficients = tuple(coefficients) or limits.prior
        self._variances = tuple(value * value for value in limits.deviations)
        self._covariance = [
            [variance if row == column else 0.0 for column in range(len(limits.prior))]
            for row, variance in enumerate(self._variances)
        ]

    def expected(self, inputs: Sequence[float]) -> float:
        """Return the expected time for ``inputs``, in the unit of the samples."""
        return sum(map(_multiply, inputs, self.coefficients))

    def update(self, inputs: Sequence[float], observed: float) -> None:
        """Update the coefficients with an observed time."""
        expected = max(1.0, self.expected(inputs))
        error = observed / expected - 1.0
        scaled = [value / expected for value in inputs]
        gains = [sum(map(_multiply, row, scaled)) for row in self._covariance]
        excess = abs(math.log(max(1e-3, observed / expected))) / MAX_TRUSTED_ERROR
        noise = OBSERVATION_DEVIATION**2 * max(1.0, excess) ** EXCESS_EXPONENT
        total = sum(map(_multiply, gains, scaled)) + noise
        limits = self._limits
        self.coefficients = tuple(
            min(high, max(low, value + gain * error / total))
            for value, gain, low, high in zip(
                self.coefficients, gains, limits.minimums, limits.maximums, strict=True
            )
        )
        for number, (row, gain) in enumerate(zip(self._covariance, gains, strict=True)):
            share = gain / total
            row[:] = [
                value - share * other for value, other in zip(row, gains, strict=True)
            ]
            variance = self._variances[number]
            row[number] = min(variance, row[number] + variance * FORGETTING_SHARE)


def _multiply(first: float, second: float) -> float:
    return first * second
