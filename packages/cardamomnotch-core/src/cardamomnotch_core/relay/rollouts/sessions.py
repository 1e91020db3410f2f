"""Versions that active sessions use."""

from collections import OrderedDict

from ..const import MAX_ATTEMPT_S
from ..models import Upstream
from .const import MAX_SESSIONS, SESSION_END_MARGIN_S


class SessionVersions:
    """Stores the version last used by each session, at this or another entry.

    A session is active while one of its requests runs, and for ``ttl_s``
    seconds after its last request.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        # Version and end of the session, by service and session id.
        self._sessions: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def set_ttl(self, ttl_s: float) -> None:
        """Set how long a session stays active after its last request."""
        self._ttl_s = ttl_s

    def record_started(self, upstream: Upstream, session: str, now_s: float) -> None:
        """Record that a request of the session has started at ``upstream``.

        Does nothing if ``session`` is empty.
        """
        self._extend(upstream, session, now_s + MAX_ATTEMPT_S)

    def record_ended(self, upstream: Upstream, session: str, now_s: float) -> None:
        """Record that a request of the session has ended at ``upstream``.

        Does nothing if ``session`` is empty.
        """
        self._extend(upstream, session, now_s + self._ttl_s + SESSION_END_MARGIN_S)

    def version(self, service: str, session: str, now_s: float) -> str:
        """Return the session's version; empty if it is not active."""
        version, until_s = self._sessions.get((service, session), ("", 0.0))
        return version if now_s < until_s else ""

    def _extend(self, upstream: Upstream, session: str, until_s: float) -> None:
        if not session:
            return
        key = (upstream.service, session)
        self._sessions[key] = (upstream.version, until_s)
        self._sessions.move_to_end(key)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
