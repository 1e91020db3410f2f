"""Stand-in for the service that rates answers.

Faults: ``down`` (503), ``delay_s`` (before the response), ``scores`` (scores
by version).
"""

import asyncio

import orjson
from aiohttp import web

from .faults import Faults

_DEFAULT_SCORE = 0.9


class RatingStandIn:
    """Returns a fixed score for each version's answers."""

    def __init__(self) -> None:
        self.faults = Faults()

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=8 * 1_048_576)
        self.faults.add_routes(app)
        app.router.add_post("/ratings", self._async_rate)
        return app

    async def _async_rate(self, request: web.Request) -> web.Response:
        self.faults.count("ratings")
        if self.faults.consume("down"):
            return web.Response(status=503)
        if delay_s := self.faults.get("delay_s"):
            await asyncio.sleep(delay_s)
        body = orjson.loads(await request.read())
        scores = self.faults.get("scores") or {}
        score = scores.get(body.get("version"), _DEFAULT_SCORE)
        return web.json_response({"score": score})
