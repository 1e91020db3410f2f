"""Detection of pauses of this process."""

from .const import PAUSED_AFTER_S


class PauseDetector:
    """Detects pauses of the process from late timer events.

    After a pause, what the process knew before needs confirmation by the
    answer to a request that was sent after the pause.
    """

    def __init__(self) -> None:
        self._last_tick_s: float | None = None
        self._resumed_at_s: float | None = None

    def tick(self, now_s: float) -> bool:
        """Record a timer event; return whether a pause has just ended."""
        paused = self.is_overdue(now_s)
        self._last_tick_s = now_s
        if paused:
            self._resumed_at_s = now_s
        return paused

    def needs_confirmation(self, now_s: float) -> bool:
        """Return whether no request sent since the last pause was answered."""
        return self._resumed_at_s is not None or self.is_overdue(now_s)

    def confirm(self, asked_at_s: float) -> None:
        """Record the answer to a request that was sent at ``asked_at_s``."""
        if self.is_overdue(asked_at_s):
            # The request was sent after the pause, but before the first timer
            # event after it.
            self._last_tick_s = asked_at_s
            self._resumed_at_s = None
        elif self._resumed_at_s is not None and asked_at_s >= self._resumed_at_s:
            self._resumed_at_s = None

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the timer event is overdue at ``now_s``."""
        return (
            self._last_tick_s is not None and now_s - self._last_tick_s > PAUSED_AFTER_S
        )
