"""A budget that bounds retries to a share of the traffic."""

from .const import MAX_SAVED_RETRIES, RETRY_SHARE


class RetryBudget:
    """Each first attempt earns a part of a retry."""

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    @property
    def available(self) -> float:
        """Return how many retries may be made now."""
        return self._saved

    def record_first_attempt(self) -> None:
        """Note a first attempt."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def try_spend(self) -> bool:
        """Use one retry, and return whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
