"""Refused requests, and until when their callers were asked to stay away."""

from collections import OrderedDict

from .const import MAX_REFUSED_KEPT


class EarlyReturns:
    """Remembers refused requests, so that a retry before its time gains nothing."""

    def __init__(self) -> None:
        self._until_s: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._until_s)

    def record_refused(self, fingerprint: str, until_s: float) -> None:
        """Record that a request was asked to stay away until ``until_s``."""
        if not fingerprint:
            return
        self._until_s[fingerprint] = until_s
        self._until_s.move_to_end(fingerprint)
        while len(self._until_s) > MAX_REFUSED_KEPT:
            self._until_s.popitem(last=False)

    def is_early(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request is back before it was asked to come."""
        until_s = self._until_s.get(fingerprint)
        if until_s is None:
            return False
        if now_s >= until_s:
            del self._until_s[fingerprint]
            return False
        return True
