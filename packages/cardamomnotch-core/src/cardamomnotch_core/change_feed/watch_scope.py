"""Whether a watch covers the large value, the route document."""

from .const import LARGE_VALUE_APART_S


class WatchScope:
    """Chooses between one watch of all keys and watches apart from the large value.

    Answers one load: a large value that changes often. One watch of everything has each
    of its versions, and is given up if these are too large; the watches by prefix that
    follow cost several calls, but as many whatever the size of the value. They are
    used until the large value has not changed for ``LARGE_VALUE_APART_S`` seconds, so
    that no further watch of everything is given up meanwhile.
    """

    def __init__(self) -> None:
        self._apart_until_s = float("-inf")

    def is_apart(self, now_s: float) -> bool:
        """Return whether the large value is read apart from all other keys."""
        return now_s < self._apart_until_s

    def record_large_reply(self, now_s: float) -> None:
        """Record that a watch of all keys was given up."""
        self._apart_until_s = now_s + LARGE_VALUE_APART_S

    def record_large_value_changed(self, now_s: float) -> None:
        """Record a change of the large value that was read apart."""
        self._apart_until_s = now_s + LARGE_VALUE_APART_S
