"""Stand-in for the rate-limited weight store.

Fault: ``rate_per_s`` (reads granted per second; more get 429).
"""

import time

from aiohttp import web

from .faults import Faults

_DEFAULT_RATE_PER_S = 2.0


class WeightStoreStandIn:
    """Grants reads of model weights up to a rate."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._granted_at: list[float] = []

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        self.faults.add_routes(app)
        app.router.add_get("/weights/{model}/{version}", self._async_get)
        return app

    async def _async_get(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        rate = self.faults.get("rate_per_s") or _DEFAULT_RATE_PER_S
        self._granted_at = [at for at in self._granted_at if at > now - 1.0]
        if len(self._granted_at) >= rate:
            self.faults.count("refused")
            return web.Response(status=429, headers={"Retry-After": "1"})
        self._granted_at.append(now)
        self.faults.count("granted")
        return web.json_response({"weights": request.match_info["version"]})
