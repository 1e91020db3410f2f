"""Stand-in for the platform's VM list; POST /vms replaces it.

Faults: ``down`` (503), ``lag_s`` (a new list becomes visible after this delay).
"""

import hashlib
import time
from typing import Any

import orjson
from aiohttp import web

from .faults import Faults


class VmListStandIn:
    """Serves the VM list with an ETag."""

    def __init__(self, vms: list[dict[str, Any]]) -> None:
        self.faults = Faults()
        self._versions: list[tuple[float, list[dict[str, Any]]]] = [(0.0, vms)]

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        self.faults.add_routes(app)
        app.router.add_get("/vms", self._async_get)
        app.router.add_post("/vms", self._async_set)
        return app

    def replace(self, vms: list[dict[str, Any]]) -> None:
        """Replace the list; ``vms`` become visible after ``lag_s``."""
        self._versions.append((time.monotonic(), vms))

    async def _async_get(self, request: web.Request) -> web.Response:
        self.faults.count("reads")
        if self.faults.consume("down"):
            return web.Response(status=503)
        visible_at = time.monotonic() - (self.faults.get("lag_s") or 0.0)
        vms = [vms for at, vms in self._versions if at <= visible_at][-1]
        body = orjson.dumps({"vms": vms})
        etag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304, headers={"ETag": etag})
        return web.Response(
            body=body, content_type="application/json", headers={"ETag": etag}
        )

    async def _async_set(self, request: web.Request) -> web.Response:
        self.replace(orjson.loads(await request.read())["vms"])
        return web.json_response({})
