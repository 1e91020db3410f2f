"""A stand-in of the users' metadata store, with its faults."""

import asyncio
import base64
import itertools
from typing import Any

import attrs
import orjson
from aiohttp import web

from .faults import Faults, async_silence

_PAGE = 3


@attrs.define
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def as_json(self) -> dict[str, Any]:
        value = base64.b64encode(self.value).decode()
        return {**attrs.asdict(self), "value": value}


class PlatformStoreStandIn:
    """Items, watches and leases; leases end only by ``expire_lease``.

    Faults: ``busy`` (503, nothing done), ``limited`` (429), ``reset``,
    ``silent``, ``lost`` (a write is done and not answered), ``gone`` (the
    history is dropped) and ``garbled`` (an answer that is not JSON).
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: list[str] = []
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 100
        self._leases: set[int] = set()
        self._lease_ids = itertools.count(7000)
        self._changed = asyncio.Event()

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=[self._fault_middleware])
        app.router.add_get("/kv-key", self._async_key)
        app.router.add_get("/kv-range", self._async_range)
        app.router.add_get("/kv-watch", self._async_watch)
        app.router.add_post("/kv-txn", self._async_txn)
        app.router.add_post("/kv-lease", self._async_lease)
        app.router.add_post("/kv-keep/{lease}", self._async_keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._async_end)
        self.faults.add_routes(app)
        return app

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write an item as JSON, as the operator or an upstream does."""
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        self._revision += 1
        created = self._items[key].created if key in self._items else self._revision
        item = _Item(key, raw, self._revision, created, lease)
        self._items[key] = item
        self._note(item.as_json())
        return self._revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._note({"key": key, "revision": self._revision, "tombstone": True})

    def value(self, key: str) -> Any:
        """Return the decoded value of an item; None if there is none."""
        item = self._items.get(key)
        return orjson.loads(item.value) if item else None

    def revision(self, key: str) -> int:
        """Return the revision of an item; 0 if there is none."""
        item = self._items.get(key)
        return item.revision if item else 0

    def expire_lease(self, lease: int) -> None:
        """Let a lease lapse, with its items."""
        self._leases.discard(lease)
        for item in tuple(self._items.values()):
            if item.lease == lease:
                self.delete(item.key)

    def expire_leases(self) -> None:
        """Let all leases lapse."""
        for lease in tuple(self._leases):
            self.expire_lease(lease)

    def drop_history(self) -> None:
        """Forget all events."""
        self._events.clear()
        self.faults.active["gone"] = 1

    def _note(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _fault_middleware(self, request: web.Request, handler: Any) -> Any:
        if request.path == "/faults":
            return await handler(request)
        self.calls.append(f"{request.method} {request.path}")
        if self.faults.use("busy"):
            return web.Response(status=503)
        if self.faults.use("limited"):
            return web.Response(status=429)
        if self.faults.use("silent"):
            await async_silence()
        if self.faults.use("reset"):
            request.transport.abort()
            return web.Response()
        response = await handler(request)
        if self.faults.use("garbled"):
            return web.Response(body=b"{not json")
        if request.method == "POST" and self.faults.use("lost"):
            request.transport.abort()
        return response

    async def _async_key(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**item.as_json(), "current_rev": self._revision})

    async def _async_range(self, request: web.Request) -> web.Response:
        prefix = request.query["path_prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > after
        )
        return web.json_response(
            {
                "items": [self._items[key].as_json() for key in keys[:_PAGE]],
                "has_more": len(keys) > _PAGE,
                "current_rev": self._revision,
            }
        )

    async def _async_watch(self, request: web.Request) -> web.Response:
        if self.faults.use("gone"):
            return web.json_response({"error": "compacted"}, status=410)
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        found = self._after(prefix, after)
        if not found:
            wait_s = int(request.query["wait_ms"]) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            found = self._after(prefix, after)
        return web.json_response({"events": found, "current_rev": self._revision})

    def _after(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]

    async def _async_txn(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        expected = body["expected_revision"]
        if any(self.revision(row["key"]) != row["revision"] for row in expected):
            keys = [row["key"] for row in expected]
            found = [self._items[key] for key in keys if key in self._items]
            return web.json_response(
                {"items": [item.as_json() for item in found]}, status=412
            )
        leases = {write["lease"] for write in body["writes"]}
        if leases - self._leases - {0}:
            return web.json_response({}, status=404)
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return web.json_response({"revision": self._revision})

    async def _async_lease(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        lease = next(self._lease_ids)
        self._leases.add(lease)
        return web.json_response({"lease": lease, "ttl_ms": body["ttl_ms"]})

    async def _async_keep(self, request: web.Request) -> web.Response:
        if int(request.match_info["lease"]) not in self._leases:
            return web.json_response({}, status=404)
        return web.json_response({"ttl_ms": 6000})

    async def _async_end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        status = 200 if lease in self._leases else 404
        self.expire_lease(lease)
        return web.json_response({}, status=status)
