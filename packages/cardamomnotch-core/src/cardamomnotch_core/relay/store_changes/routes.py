"""Routing and authorization by the newest version of the routes document."""

from cardamomnotch_protocol.result_codes import ResultCode

from ..const import READY_AGE_FRACTION
from ..exceptions import RefusalError
from ..models import CallerLimits, Route, RouteDocument, Workspace

# Retry-After time while the routes document is missing or out of date, in
# seconds.
_RETRY_STALE_ROUTES_S = 0.5
_DEFAULT_LIMITS = CallerLimits()


class RouteTable:
    """Finds routes and checks API keys by the newest routes document.

    The document's keys may be used for ``max_age_s`` seconds after the store query
    that confirmed it was sent, and what it lacks is refused as unknown for
    ``refusal_max_age_s`` seconds. ``now_s`` is read from a clock that continues while
    the machine is suspended.
    """

    def __init__(
        self, max_age_s: float, refusal_max_age_s: float = float("inf")
    ) -> None:
        self.set_max_age(max_age_s, refusal_max_age_s)
        self._document: RouteDocument | None = None
        # By host, and by the length of the path prefix from the longest on.
        self._by_host: dict[str, dict[int, dict[str, Route]]] = {}
        self._confirmed_at_s = float("-inf")
        # Version that some entry has had in force.
        self._required_version = 0

    @property
    def document(self) -> RouteDocument | None:
        """Return the active document, or None before the first one."""
        return self._document

    @property
    def caller_limits(self) -> CallerLimits:
        """Return callers' limits; defaults before the first document."""
        return self._document.limits if self._document else _DEFAULT_LIMITS

    @property
    def version(self) -> int:
        """Return the active version, or 0 before the first document."""
        return self._document.version if self._document else 0

    @property
    def confirmed_at_s(self) -> float:
        """Return when the last query that confirmed the document was sent."""
        return self._confirmed_at_s

    def set_max_age(
        self, max_age_s: float, refusal_max_age_s: float = float("inf")
    ) -> None:
        """Set the maximum ages at which its keys are used, and others refused."""
        self._max_age_s = max_age_s
        self._refusal_max_age_s = min(max_age_s, refusal_max_age_s)

    def apply(self, document: RouteDocument) -> bool:
        """Use ``document`` if it is newer; return whether it is."""
        if document.version <= self.version:
            return False
        by_host: dict[str, dict[int, dict[str, Route]]] = {}
        by_length = sorted(
            document.routes, key=lambda route: len(route.path_prefix), reverse=True
        )
        for route in by_length:
            prefixes = by_host.setdefault(route.host.lower(), {})
            same_length = prefixes.setdefault(len(route.path_prefix), {})
            same_length.setdefault(route.path_prefix, route)
        self._document = document
        self._by_host = by_host
        return True

    @property
    def is_lost(self) -> bool:
        """Return whether another entry has had a newer document in force.

        If the store has nothing newer, it has lost that document in a restore.
        """
        return self.version < self._required_version

    def require_version(self, version: int) -> None:
        """Confirm no document that is older than ``version`` from now on."""
        self._required_version = max(self._required_version, version)

    def confirm(self, asked_at_s: float) -> None:
        """Record that a query sent at ``asked_at_s`` found nothing newer."""
        if self.is_lost:
            return
        self._confirmed_at_s = max(self._confirmed_at_s, asked_at_s)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the document is recent enough to be used."""
        return self._is_confirmed(now_s, self._max_age_s)

    def _is_confirmed(self, now_s: float, max_age_s: float) -> bool:
        return self._document is not None and now_s - self._confirmed_at_s <= max_age_s

    def is_recently_confirmed(self, now_s: float) -> bool:
        """Return whether the document was confirmed recently.

        Turns false some time before the document must no longer be used, so
        that callers can be sent to other entries before that.
        """
        return self._is_confirmed(now_s, self._max_age_s * READY_AGE_FRACTION)

    def find(self, host: str, path: str, now_s: float) -> Route:
        """Return the route with the longest matching path prefix.

        Raises RefusalError if no route matches: NOT_READY if the document is
        missing or too old to tell, UNKNOWN_ROUTE otherwise.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for length, routes in self._by_host.get(name.lower(), {}).items():
            route = routes.get(path[:length])
            if route is not None:
                return route
        self._require_confirmed(now_s, self._refusal_max_age_s)
        raise RefusalError(
            ResultCode.UNKNOWN_ROUTE, "no route matches the request's host and path"
        )

    def authorize(
        self, route: Route, key: str | None, now_s: float
    ) -> Workspace | None:
        """Return the workspace of the API key ``key``.

        Returns None if the request needs no key and has no known one. Raises
        RefusalError if a required key is missing or unknown, or if the
        document is missing or too old to tell.
        """
        if self._document is None:
            raise RefusalError(
                ResultCode.NOT_READY,
                "the routes document is not loaded yet",
                _RETRY_STALE_ROUTES_S,
            )
        workspaces = self._document.workspaces
        if workspaces is None or route.is_public:
            return workspaces.get(key) if workspaces and key else None
        workspace = workspaces.get(key) if key is not None else None
        if workspace is not None:
            self._require_confirmed(now_s, self._max_age_s)
            return workspace
        self._require_confirmed(now_s, self._refusal_max_age_s)
        if key is None:
            raise RefusalError(ResultCode.MISSING_KEY, "the request has no API key")
        raise RefusalError(ResultCode.UNKNOWN_KEY, "the API key is unknown")

    def _require_confirmed(self, now_s: float, max_age_s: float) -> None:
        if not self._is_confirmed(now_s, max_age_s):
            raise RefusalError(
                ResultCode.NOT_READY,
                "the routes document is out of date: the store is unreachable",
                _RETRY_STALE_ROUTES_S,
            )
