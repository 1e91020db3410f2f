"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import copy
from typing import Any

import attrs
import orjson
from aiohttp import web

from .faults import Faults, async_never_respond

_PAGE_SIZE = 3


@attrs.define
class _Item:
    """A stored item; ``created`` is the revision that created it."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def as_json(self) -> dict[str, Any]:
        value = base64.b64encode(self.value).decode()
        return {**attrs.asdict(self), "value": value}


@attrs.define
class StoreState:
    """What a copy of the store holds."""

    items: dict[str, _Item] = attrs.field(factory=dict)
    events: list[dict[str, Any]] = attrs.field(factory=list)
    revision: int = 100
    # Watches after an earlier revision get 410.
    first_kept: int = 0
    leases: set[int] = attrs.field(factory=set)
    last_lease: int = 7000


class PlatformStoreStandIn:
    """Keeps items, watches and leases; leases expire by ``expire_lease`` only.

    It can come back from a copy of its state: ``era``, which every reply states if it
    is not None, rises by one then, and revisions and leases are given out again.

    Faults: ``busy`` (503 without effect), ``limited`` (429 without effect),
    ``reset`` (the connection is reset without effect), ``silent`` (no
    response), ``lost`` (the connection is reset after a write took effect),
    ``gone`` (410: the history was compacted) and ``garbled`` (a response that
    is not JSON).
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: list[str] = []
        # Value of the header; text that is no number is sent as it is.
        self.era: int | str | None = 1
        self._state = StoreState()
        self._changed = asyncio.Event()

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=[self._fault_middleware])
        app.router.add_get("/kv-key", self._async_key)
        app.router.add_get("/kv-range", self._async_range)
        app.router.add_get("/kv-watch", self._async_watch)
        app.router.add_post("/kv-txn", self._async_transaction)
        app.router.add_post("/kv-lease", self._async_lease)
        app.router.add_post("/kv-keep/{lease}", self._async_keep_alive)
        app.router.add_delete("/kv-lease-end/{lease}", self._async_end_lease)
        self.faults.add_routes(app)
        return app

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write an item as an operator or upstream does; return its revision.

        ``value`` is encoded as JSON unless it is bytes.
        """
        raw = value if isinstance(value, bytes) else orjson.dumps(value)
        self._state.revision += 1
        created = (
            self._state.items[key].created
            if key in self._state.items
            else self._state.revision
        )
        item = _Item(key, raw, self._state.revision, created, lease)
        self._state.items[key] = item
        self._record_event(item.as_json())
        return self._state.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self._state.items.pop(key, None) is None:
            return
        self._state.revision += 1
        self._record_event(
            {"key": key, "revision": self._state.revision, "tombstone": True}
        )

    def value(self, key: str) -> Any:
        """Return the decoded value of an item; None if there is none."""
        item = self._state.items.get(key)
        return orjson.loads(item.value) if item else None

    def revision(self, key: str) -> int:
        """Return the revision of an item; 0 if there is none."""
        item = self._state.items.get(key)
        return item.revision if item else 0

    def expire_lease(self, lease: int) -> None:
        """Expire a lease and delete its items."""
        self._state.leases.discard(lease)
        for item in tuple(self._state.items.values()):
            if item.lease == lease:
                self.delete(item.key)

    def expire_leases(self) -> None:
        """Expire all leases and delete their items."""
        for lease in tuple(self._state.leases):
            self.expire_lease(lease)

    def drop_history(self) -> None:
        """Discard all past events: the next watch, and each from before, gets 410."""
        self._state.events.clear()
        self._state.first_kept = self._state.revision
        self._wake_watches()
        self.faults.active["gone"] = 1

    def copy(self) -> StoreState:
        """Return a copy of what the store holds now."""
        return copy.deepcopy(self._state)

    def restore(self, state: StoreState) -> None:
        """Come back from a copy: what was written since is gone, leases too."""
        self._state = copy.deepcopy(state)
        self.era += 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_event(self, event: dict[str, Any]) -> None:
        self._state.events.append(event)
        self._wake_watches()

    @web.middleware
    async def _fault_middleware(self, request: web.Request, handler: Any) -> Any:
        if request.path == "/faults":
            return await handler(request)
        self.calls.append(f"{request.method} {request.path}")
        if self.faults.consume("busy"):
            return self._state_era(web.Response(status=503))
        if self.faults.consume("limited"):
            return self._state_era(web.Response(status=429))
        if self.faults.consume("silent"):
            await async_never_respond()
        if self.faults.consume("reset"):
            request.transport.abort()
            return web.Response()
        era = self.era
        response = await handler(request)
        if era != self.era:
            # The connection does not survive the store's restore.
            request.transport.abort()
        self._state_era(response)
        if self.faults.consume("garbled"):
            return web.Response(body=b"{not json")
        if request.method == "POST" and self.faults.consume("lost"):
            request.transport.abort()
        return response

    def _state_era(self, response: web.Response) -> web.Response:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _async_key(self, request: web.Request) -> web.Response:
        item = self._state.items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response(
            {**item.as_json(), "current_rev": self._state.revision}
        )

    async def _async_range(self, request: web.Request) -> web.Response:
        prefix = request.query["path_prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key for key in self._state.items if key.startswith(prefix) and key > after
        )
        return web.json_response(
            {
                "items": [
                    self._state.items[key].as_json() for key in keys[:_PAGE_SIZE]
                ],
                "has_more": len(keys) > _PAGE_SIZE,
                "current_rev": self._state.revision,
            }
        )

    async def _async_watch(self, request: web.Request) -> web.Response:
        prefix = request.query["path_prefix"]
        after = int(request.query["after"])
        if self.faults.consume("gone"):
            return web.json_response({"error": "compacted"}, status=410)
        events = self._events_after(prefix, after)
        if not events:
            wait_s = int(request.query["wait_ms"]) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            events = self._events_after(prefix, after)
        if not self._state.first_kept <= after <= self._state.revision:
            return web.json_response({"error": "compacted"}, status=410)
        return web.json_response(
            {"events": events, "current_rev": self._state.revision}
        )

    def _events_after(self, prefix: str, revision: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._state.events
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]

    async def _async_transaction(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        expected = body["expected_revision"]
        if any(self.revision(row["key"]) != row["revision"] for row in expected):
            keys = [row["key"] for row in expected]
            current = [
                self._state.items[key] for key in keys if key in self._state.items
            ]
            return web.json_response(
                {"items": [item.as_json() for item in current]}, status=412
            )
        leases = {write["lease"] for write in body["writes"]}
        if leases - self._state.leases - {0}:
            return web.json_response({}, status=404)
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return web.json_response({"revision": self._state.revision})

    async def _async_lease(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        self._state.last_lease += 1
        lease = self._state.last_lease
        self._state.leases.add(lease)
        return web.json_response({"lease": lease, "ttl_ms": body["ttl_ms"]})

    async def _async_keep_alive(self, request: web.Request) -> web.Response:
        if int(request.match_info["lease"]) not in self._state.leases:
            return web.json_response({}, status=404)
        return web.json_response({"ttl_ms": 6000})

    async def _async_end_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        status = 200 if lease in self._state.leases else 404
        self.expire_lease(lease)
        return web.json_response({}, status=status)
