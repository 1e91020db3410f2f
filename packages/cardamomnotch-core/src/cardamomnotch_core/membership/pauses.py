"""Noticing that the process itself has been paused."""

from .const import PAUSED_AFTER_S


class PauseWatch:
    """Doubts what is known once the timer has missed its time."""

    def __init__(self) -> None:
        self._tick_at_s: float | None = None
        self._woken_at_s: float | None = None

    def tick(self, now_s: float) -> bool:
        """Note that the timer is due; return whether a pause has just ended."""
        paused = self.is_overdue(now_s)
        self._tick_at_s = now_s
        if paused:
            self._woken_at_s = now_s
        return paused

    def in_doubt(self, now_s: float) -> bool:
        """Return whether nobody has answered a question since the last pause."""
        return self._woken_at_s is not None or self.is_overdue(now_s)

    def confirm(self, asked_at_s: float) -> None:
        """Note the answer to a question that was asked at ``asked_at_s``."""
        if self.is_overdue(asked_at_s):
            # It was asked after the pause, though before the timer was due.
            self._tick_at_s = asked_at_s
            self._woken_at_s = None
        elif self._woken_at_s is not None and asked_at_s >= self._woken_at_s:
            self._woken_at_s = None

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the timer has missed its time until ``now_s``."""
        return self._tick_at_s is not None and now_s - self._tick_at_s > PAUSED_AFTER_S
