"""Detection of outages of the store."""

from .const import MIN_CONFIRMATION_STEP_S


class OutageDetector:
    """Tells an outage of the store from replies that take long.

    In an outage no call is answered: the first one that succeeds afterwards was sent
    long after the last reply had arrived. All times are in seconds.
    """

    def __init__(self) -> None:
        self._asked_at_s = float("-inf")
        self._replied_at_s: float | None = None

    def record_reply(self, asked_at_s: float, now_s: float) -> float:
        """Return how long no call was answered before this entry's own, in seconds.

        ``asked_at_s`` is when the call was sent that is answered now.
        """
        previous_s = self._replied_at_s
        self._asked_at_s = max(self._asked_at_s, asked_at_s)
        self._replied_at_s = now_s
        return max(0.0, asked_at_s - previous_s) if previous_s is not None else 0.0

    def record_confirmation(self, asked_at_s: float, now_s: float) -> float:
        """Return the same for a call of another entry that passes its reply on.

        In an outage entries repeat the last confirmation, with ages that differ by
        the delays on the way.
        """
        if asked_at_s - self._asked_at_s < MIN_CONFIRMATION_STEP_S:
            return 0.0
        return self.record_reply(asked_at_s, now_s)
