"""A budget that limits retries to a share of first attempts."""

from .const import MAX_AVAILABLE_RETRIES, RETRIES_PER_FIRST_ATTEMPT


class RetryBudget:
    """Allows a fraction of a retry for each first attempt."""

    def __init__(self) -> None:
        self._available = MAX_AVAILABLE_RETRIES

    @property
    def available(self) -> float:
        """Return how many retries are available now."""
        return self._available

    def record_first_attempt(self) -> None:
        """Count a first attempt, which adds a fraction of a retry."""
        self._available = min(
            MAX_AVAILABLE_RETRIES, self._available + RETRIES_PER_FIRST_ATTEMPT
        )

    def try_spend(self) -> bool:
        """Use one retry if available, and return whether it was."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
