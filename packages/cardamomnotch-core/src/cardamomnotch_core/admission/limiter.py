"""Concurrency limit of one upstream."""

from cardamomnotch_protocol.models import Load


class ConcurrencyLimiter:
    """Counts attempts in flight against a limit."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._in_flight: dict[str, int] = {}

    @property
    def load(self) -> Load:
        """Return the load as told to entries."""
        return Load(
            in_flight=len(self._in_flight),
            limit=self._limit,
            tokens_in_flight=sum(self._in_flight.values()),
        )

    def admit(self, attempt_id: str, expected_tokens: int) -> bool:
        """Count the attempt if there is room, and return whether there is."""
        if len(self._in_flight) >= self._limit:
            return False
        self._in_flight[attempt_id] = expected_tokens
        return True

    def release(self, attempt_id: str) -> None:
        """Stop counting the attempt."""
        self._in_flight.pop(attempt_id, None)
