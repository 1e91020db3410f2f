"""Stand-in for a plain booking service.

Faults: ``crash_after_effect`` (the connection breaks after the booking),
``silent_after_effect`` (no response after the booking), ``crossed`` (the
response carries another request's id), ``delay_s`` (before the booking).
"""

import asyncio
import itertools

import orjson
from aiohttp import web

from .faults import Faults, async_never_respond


class PlainServiceStandIn:
    """Reserves crates; every call makes a new reservation."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.reservations: list[dict[str, str]] = []
        self._numbers = itertools.count(1)

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        self.faults.add_routes(app)
        app.router.add_post("/reservations", self._async_reserve)
        app.router.add_get("/reservations", self._async_list)
        app.router.add_get("/stock", self._async_stock)
        return app

    async def _async_reserve(self, request: web.Request) -> web.StreamResponse:
        body = orjson.loads(await request.read() or b"{}")
        request_id = request.headers.get("X-Request-Id", "")
        if delay_s := self.faults.get("delay_s"):
            await asyncio.sleep(delay_s)
        number = next(self._numbers)
        self.reservations.append(
            {
                "number": str(number),
                "request_id": request_id,
                "key": request.headers.get("Idempotency-Key", ""),
                "batch": str(body.get("batch", "")),
            }
        )
        self.faults.count("effects")
        if self.faults.consume("crash_after_effect"):
            request.transport.abort()
        if self.faults.consume("silent_after_effect"):
            await async_never_respond()
        echoed_id = "another-request" if self.faults.consume("crossed") else request_id
        return web.json_response(
            {"reservation": number, "batch": body.get("batch")},
            status=201,
            headers={"X-Request-Id": echoed_id},
        )

    async def _async_list(self, _: web.Request) -> web.Response:
        return web.json_response({"reservations": self.reservations})

    async def _async_stock(self, request: web.Request) -> web.Response:
        self.faults.count("reads")
        return web.json_response({"crates": 120})
