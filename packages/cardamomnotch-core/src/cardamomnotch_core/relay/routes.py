"""Routes by host and longest path prefix, of the newest version only."""

from cardamomnotch_protocol.result_codes import ResultCode

from .const import READY_AGE_FRACTION
from .exceptions import RefusalError
from .models import CallerLimits, Route, RouteDocument, Workspace

# When to come back to a process that has not heard from the store, in seconds.
_RETRY_STALE_ROUTES_S = 0.5
_DEFAULT_LIMITS = CallerLimits()


class RouteTable:
    """Answers what may run by the newest version of the operators' document.

    What is known may be used up to ``max_age_s`` seconds after the question
    that confirmed it was sent; ``now_s`` is a clock that counts suspension.
    """

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._document: RouteDocument | None = None
        self._by_host: dict[str, list[Route]] = {}
        self._confirmed_at_s = float("-inf")

    @property
    def document(self) -> RouteDocument | None:
        """Return the version in force, if any is known."""
        return self._document

    @property
    def caller_limits(self) -> CallerLimits:
        """Return what callers may send; the default until a version is known."""
        return self._document.limits if self._document else _DEFAULT_LIMITS

    @property
    def version(self) -> int:
        """Return the number of the version in force; 0: none is known."""
        return self._document.version if self._document else 0

    @property
    def confirmed_at_s(self) -> float:
        """Return when the last question that confirmed the version was sent."""
        return self._confirmed_at_s

    def set_max_age(self, max_age_s: float) -> None:
        """Change how old what is known may be when it is used."""
        self._max_age_s = max_age_s

    def apply(self, document: RouteDocument) -> bool:
        """Put ``document`` in force if it is newer; return whether it is."""
        if document.version <= self.version:
            return False
        by_host: dict[str, list[Route]] = {}
        for route in document.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._document = document
        self._by_host = by_host
        return True

    def confirm(self, asked_at_s: float) -> None:
        """Note that a question sent at ``asked_at_s`` found nothing newer."""
        self._confirmed_at_s = max(self._confirmed_at_s, asked_at_s)

    def is_fresh(self, now_s: float) -> bool:
        """Return whether what is known may still be used."""
        return (
            self._document is not None
            and now_s - self._confirmed_at_s <= self._max_age_s
        )

    def is_recently_confirmed(self, now_s: float) -> bool:
        """Return whether the last confirmation came as it should.

        False some time before what is known may no longer be used, so that
        callers can be sent elsewhere meanwhile.
        """
        age_s = now_s - self._confirmed_at_s
        return (
            self._document is not None and age_s <= self._max_age_s * READY_AGE_FRACTION
        )

    def find(self, host: str, path: str, now_s: float) -> Route:
        """Return the route of a request.

        Raises RefusalError; a route counts as unknown only if what is known
        is fresh.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        self._require_confirmed(now_s)
        raise RefusalError(ResultCode.UNKNOWN_ROUTE, "no route matches")

    def authorize(
        self, route: Route, key: str | None, now_s: float
    ) -> Workspace | None:
        """Return the workspace whose key is ``key``.

        None stands for a request that needs no key. Raises RefusalError.
        """
        if self._document is None:
            raise RefusalError(
                ResultCode.NOT_READY, "no routes yet", _RETRY_STALE_ROUTES_S
            )
        workspaces = self._document.workspaces
        if workspaces is None or route.is_public:
            return workspaces.get(key) if workspaces and key else None
        self._require_confirmed(now_s)
        if key is None:
            raise RefusalError(ResultCode.MISSING_KEY, "no API key")
        workspace = workspaces.get(key)
        if workspace is None:
            raise RefusalError(ResultCode.UNKNOWN_KEY, "unknown API key")
        return workspace

    def _require_confirmed(self, now_s: float) -> None:
        if not self.is_fresh(now_s):
            raise RefusalError(
                ResultCode.NOT_READY, "cannot reach the store", _RETRY_STALE_ROUTES_S
            )
