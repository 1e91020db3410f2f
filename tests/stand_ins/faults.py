"""Faults that a test sets by a call."""

import asyncio
from typing import Any

import orjson
from aiohttp import web


class Faults:
    """Named faults; POST /faults sets them, GET /counts reads the counts.

    A fault given as a whole number holds for that many uses.
    """

    def __init__(self) -> None:
        self.active: dict[str, Any] = {}
        self.counts: dict[str, Any] = {}

    def add_routes(self, app: web.Application) -> None:
        """Serve faults and counts."""
        app.router.add_post("/faults", self._async_set)
        app.router.add_get("/counts", self._async_counts)

    def get(self, name: str) -> Any:
        """Return the fault's value, or None."""
        return self.active.get(name)

    def use(self, name: str) -> bool:
        """Return whether the fault strikes now, and count it down."""
        value = self.active.get(name)
        if value is None or value is False:
            return False
        if value is True:
            return True
        if value <= 0:
            return False
        self.active[name] = value - 1
        return True

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a count."""
        self.counts[name] = self.counts.get(name, 0) + amount

    async def _async_set(self, request: web.Request) -> web.Response:
        self.active.update(orjson.loads(await request.read()))
        return web.json_response(self.active)

    async def _async_counts(self, _: web.Request) -> web.Response:
        return web.json_response(self.counts)


async def async_silence() -> None:
    """Keep a connection open without a word."""
    await asyncio.sleep(3600)
