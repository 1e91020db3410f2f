"""Faults of a stand-in, which a test sets by an HTTP call."""

import asyncio
from typing import Any

import orjson
from aiohttp import web


class Faults:
    """Faults and counters of a stand-in, by name.

    POST /faults sets faults and GET /counts returns the counters. A fault
    that is set to an integer applies to that many calls, one that is set to
    true applies until it is cleared.
    """

    def __init__(self) -> None:
        self.active: dict[str, Any] = {}
        self.counts: dict[str, Any] = {}

    def add_routes(self, app: web.Application) -> None:
        """Add the routes /faults and /counts to an application."""
        app.router.add_post("/faults", self._async_set)
        app.router.add_get("/counts", self._async_counts)

    def get(self, name: str) -> Any:
        """Return the value of a fault, or None if it is not set."""
        return self.active.get(name)

    def consume(self, name: str) -> bool:
        """Return whether the fault applies to this call; decrement its count."""
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
        """Increase a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount

    async def _async_set(self, request: web.Request) -> web.Response:
        self.active.update(orjson.loads(await request.read()))
        return web.json_response(self.active)

    async def _async_counts(self, _: web.Request) -> web.Response:
        return web.json_response(self.counts)


async def async_never_respond() -> None:
    """Keep the connection of the current request open without a response."""
    await asyncio.sleep(3600)
