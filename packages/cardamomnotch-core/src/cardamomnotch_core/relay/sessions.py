"""Which version answered a session last, while it goes on."""

from collections import OrderedDict

from .const import MAX_ATTEMPT_S, MAX_SESSIONS, SESSION_END_MARGIN_S
from .models import Upstream


class SessionVersions:
    """Remembers the version of sessions that this entry or another serves.

    A session goes on while a request of it runs, and for ``ttl_s`` after.
    """

    def __init__(self, ttl_s: float) -> None:
        self._ttl_s = ttl_s
        # Version, and until when the session goes on.
        self._sessions: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def set_ttl(self, ttl_s: float) -> None:
        """Change how long a session goes on after a request."""
        self._ttl_s = ttl_s

    def record_started(self, upstream: Upstream, session: str, now_s: float) -> None:
        """Note that a request of the session, if it has one, runs at ``upstream``."""
        self._note(upstream, session, now_s + MAX_ATTEMPT_S)

    def record_ended(self, upstream: Upstream, session: str, now_s: float) -> None:
        """Note that the session's last request has ended at ``upstream``."""
        self._note(upstream, session, now_s + self._ttl_s + SESSION_END_MARGIN_S)

    def version(self, service: str, session: str, now_s: float) -> str:
        """Return the version that the session goes on with; empty if none."""
        version, until_s = self._sessions.get((service, session), ("", 0.0))
        return version if now_s < until_s else ""

    def _note(self, upstream: Upstream, session: str, until_s: float) -> None:
        if not session:
            return
        key = (upstream.service, session)
        self._sessions[key] = (upstream.version, until_s)
        self._sessions.move_to_end(key)
        while len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
