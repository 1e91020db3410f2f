"""Stand-in for the key-value store with transactions, leases and watches.

Faults: ``down`` (503), ``delay_s`` (before a call takes effect),
``lose_answer`` (the connection breaks after a write took effect),
``drop_watches`` (watches end), ``lapse_leases`` (all leases expire),
``compacted`` (the history asked for by a watch was compacted).
"""

import asyncio
import base64
import itertools
import time
from typing import Any

import orjson
from aiohttp import web

from .faults import Faults


def _from_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _in_range(key: bytes, request: dict[str, Any]) -> bool:
    start = _from_base64(request["key"])
    if "range_end" not in request:
        return key == start
    end = _from_base64(request["range_end"])
    return start <= key and (end == b"\0" or key < end)


class StoreStandIn:
    """Keeps keys in memory and counts its calls by path."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.revision = 1
        self.entries: dict[bytes, dict[str, Any]] = {}
        # Time to live in s and monotonic end time of each lease.
        self.leases: dict[int, tuple[float, float]] = {}
        # Revision, key and new value (None if deleted) of each change.
        self._events: list[tuple[int, bytes, bytes | None]] = []
        self._changed = asyncio.Event()
        self._lease_ids = itertools.count(1000)

    def create_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=2 * 1_048_576)
        self.faults.add_routes(app)
        for path, handler in (
            ("kv/range", self._range),
            ("kv/txn", self._txn),
            ("kv/deleterange", self._delete_range),
            ("lease/grant", self._grant),
            ("lease/keepalive", self._keep_alive),
            ("lease/revoke", self._revoke),
        ):
            app.router.add_post(f"/v3/{path}", self._wrap(path, handler))
        app.router.add_post("/v3/watch", self._async_watch)
        return app

    def _wrap(self, path: str, handler: Any) -> Any:
        async def handle(request: web.Request) -> web.Response:
            self.faults.count(path)
            data = await request.read()
            self.faults.count("bytes_received", len(data))
            if self.faults.consume("down"):
                return web.Response(status=503)
            if delay_s := self.faults.get("delay_s"):
                await asyncio.sleep(delay_s)
            self._expire_leases()
            try:
                response = handler(orjson.loads(data))
            except KeyError as error:
                return web.json_response({"code": 5, "error": str(error)}, status=404)
            if path != "kv/range" and self.faults.consume("lose_answer"):
                request.transport.abort()
            response["header"] = {"revision": str(self.revision)}
            return web.json_response(response)

        return handle

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        keys = self._keys(body)
        limit = int(body.get("limit", 0) or 0)
        if limit:
            keys = keys[:limit]
        return {
            "kvs": [self._encode_entry(key) for key in keys],
            "count": str(len(keys)),
        }

    def _keys(self, body: dict[str, Any]) -> list[bytes]:
        start = _from_base64(body["key"])
        if "range_end" not in body:
            return [start] if start in self.entries else []
        return sorted(key for key in self.entries if _in_range(key, body))

    def _encode_entry(self, key: bytes) -> dict[str, Any]:
        entry = self.entries[key]
        return {
            "key": _to_base64(key),
            "value": _to_base64(entry["value"]),
            "mod_revision": str(entry["mod_revision"]),
            "lease": str(entry["lease"]),
        }

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._compare(item) for item in body.get("compare", ()))
        requests = body.get("success" if succeeded else "failure", ())
        return {
            "succeeded": succeeded,
            "responses": [self._apply(item) for item in requests],
        }

    def _compare(self, item: dict[str, Any]) -> bool:
        entry = self.entries.get(_from_base64(item["key"]))
        actual = entry["mod_revision"] if entry else 0
        return actual == int(item["mod_revision"])

    def _apply(self, item: dict[str, Any]) -> dict[str, Any]:
        if put := item.get("request_put"):
            self._put(
                _from_base64(put["key"]),
                _from_base64(put.get("value", "")),
                int(put.get("lease", 0) or 0),
            )
            return {"response_put": {}}
        if delete := item.get("request_delete_range"):
            self._delete_range(delete)
            return {"response_delete_range": {}}
        return {"response_range": self._range(item["request_range"])}

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        if lease and lease not in self.leases:
            raise KeyError(f"lease {lease} does not exist")
        self.revision += 1
        self.entries[key] = {
            "value": value,
            "mod_revision": self.revision,
            "lease": lease,
        }
        self.faults.count("bytes_written", len(value))
        self._notify(key, value)

    def _notify(self, key: bytes, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        keys = self._keys(body)
        self.revision += bool(keys)
        for key in keys:
            del self.entries[key]
            self._notify(key, None)
        return {"deleted": str(len(keys))}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = next(self._lease_ids)
        ttl_s = float(body["TTL"])
        self.leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return {"ID": str(lease_id), "TTL": str(int(ttl_s))}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        lease_id = int(body["ID"])
        if lease_id not in self.leases:
            return {"result": {"ID": str(lease_id), "TTL": "0"}}
        ttl_s, _ = self.leases[lease_id]
        self.leases[lease_id] = (ttl_s, time.monotonic() + ttl_s)
        return {"result": {"ID": str(lease_id), "TTL": str(int(ttl_s))}}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self._drop_lease(int(body["ID"]))
        return {}

    def _drop_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        keys = [k for k, entry in self.entries.items() if entry["lease"] == lease_id]
        for key in keys:
            del self.entries[key]
            self.revision += 1
            self._notify(key, None)

    def _expire_leases(self) -> None:
        expire_all = self.faults.consume("lapse_leases")
        now = time.monotonic()
        for lease_id, (_, ends_at) in tuple(self.leases.items()):
            if expire_all or ends_at < now:
                self._drop_lease(lease_id)

    async def _async_watch(self, request: web.Request) -> web.StreamResponse:
        self.faults.count("watch")
        if self.faults.consume("down"):
            return web.Response(status=503)
        create = orjson.loads(await request.read())["create_request"]
        revision = int(create.get("start_revision", self.revision + 1))
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'{"result":{"created":true}}\n')
        if self.faults.consume("compacted"):
            await response.write(b'{"result":{"compact_revision":"9"}}\n')
        while not self.faults.consume("drop_watches") and not self.faults.get("down"):
            changed = self._changed
            for at, changed_key, value in self._events:
                if at >= revision and _in_range(changed_key, create):
                    await response.write(self._event_line(at, changed_key, value))
            if self._events:
                revision = max(revision, self._events[-1][0] + 1)
            try:
                async with asyncio.timeout(0.2):
                    await changed.wait()
            except TimeoutError:
                continue
        return response

    def _event_line(self, revision: int, key: bytes, value: bytes | None) -> bytes:
        kv = {"key": _to_base64(key), "mod_revision": str(revision)}
        if value is None:
            event = {"type": "DELETE", "kv": kv}
        else:
            event = {"kv": {**kv, "value": _to_base64(value)}}
        return orjson.dumps({"result": {"events": [event]}}) + b"\n"
