"""Stand-in for the platform's metadata store, after PROTOCOL.md and the news.

It can be away for a moment and come back from a copy, as the news page says: what was
written since the copy is gone, and so are the leases granted since; revisions go back;
a watch after a revision that it does not have gets 410; ``Store-Era`` rises by one.
"""

import asyncio
import base64
import copy
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from .http import Message, encode_json, read_message

_PAGE_ITEMS = 500


class Item:
    """A stored item."""

    def __init__(self, value: bytes, revision: int, created: int, lease: int) -> None:
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def fields(self, key: str) -> dict:
        """Return the item as the protocol spells it."""
        return {
            "key": key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class State:
    """What a copy of the store holds."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.events: list[dict] = []
        self.revision = 1000
        # Lease time in seconds, and the end of the lease, by lease.
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 7000


class Store:
    """Listens on loopback; ``log`` is called with a line for each thing of note."""

    def __init__(self, log: Callable[[str], None]) -> None:
        self._log = log
        self._state = State()
        self._first_revision = self._state.revision
        self.era = 1
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()
        self._expiry: asyncio.Task | None = None

    @property
    def revision(self) -> int:
        """Return the store's revision."""
        return self._state.revision

    @property
    def is_up(self) -> bool:
        """Return whether the store takes calls."""
        return self._server is not None

    @property
    def keys(self) -> list[str]:
        """Return the keys of all items."""
        return sorted(self._state.items)

    async def start(self) -> None:
        """Listen, at the same address as before if there was one."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        if self._expiry is None:
            self._expiry = asyncio.create_task(self._expire())

    def copy(self) -> State:
        """Return a copy of what the store holds now."""
        return copy.deepcopy(self._state)

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def come_back(self, state: State) -> None:
        """Come back from a copy. Its leases run anew from now on."""
        now_s = time.monotonic()
        self._state = state
        self._state.leases = {
            lease: (ttl_s, now_s + ttl_s) for lease, (ttl_s, _) in state.leases.items()
        }
        self.era += 1
        await self.start()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write an item; return the revision."""
        state = self._state
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        state.revision += 1
        known = state.items.get(key)
        created = known.created if known else state.revision
        item = Item(raw, state.revision, created, lease)
        state.items[key] = item
        self._add_event(item.fields(key))
        return state.revision

    def delete(self, key: str) -> None:
        """Delete an item."""
        state = self._state
        if state.items.pop(key, None) is not None:
            state.revision += 1
            event = {"key": key, "revision": state.revision, "tombstone": True}
            self._add_event(event)

    def _add_event(self, event: dict) -> None:
        self._state.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if self._server is None:
                continue
            now_s = time.monotonic()
            for lease, (_, until_s) in tuple(self._state.leases.items()):
                if until_s < now_s:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._state.leases.pop(lease, None)
        for key, item in tuple(self._state.items.items()):
            if item.lease == lease:
                self.delete(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, fields = await self._answer(request)
                writer.write(encode_json(status, fields, {"Store-Era": str(self.era)}))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        method, target, _ = request.start.split(" ")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        match method, url.path.split("/")[1:]:
            case "GET", ["kv-key"]:
                return self._read(query["key"])
            case "GET", ["kv-range"]:
                return self._list(query.get("path_prefix", ""), query.get("after", ""))
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return self._commit(body)
            case "POST", ["kv-lease"]:
                return self._grant(body["ttl_ms"])
            case "POST", ["kv-keep", lease]:
                return self._renew(int(lease))
            case "DELETE", ["kv-lease-end", lease]:
                status = 200 if int(lease) in self._state.leases else 404
                self._end_lease(int(lease))
                return status, {}
        return 400, {}

    def _read(self, key: str) -> tuple[int, dict]:
        item = self._state.items.get(key)
        if item is None:
            return 404, {"current_rev": self._state.revision}
        return 200, {**item.fields(key), "current_rev": self._state.revision}

    def _list(self, prefix: str, after: str) -> tuple[int, dict]:
        items = self._state.items
        keys = [key for key in sorted(items) if key.startswith(prefix) and key > after]
        return 200, {
            "items": [items[key].fields(key) for key in keys[:_PAGE_ITEMS]],
            "has_more": len(keys) > _PAGE_ITEMS,
            "current_rev": self._state.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query.get("path_prefix", ""), int(query["after"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if not self._first_revision <= after <= self._state.revision:
                self._log(f"watch after revision {after} got 410")
                return 410, {}
            events = [
                event
                for event in self._state.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._state.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict) -> tuple[int, dict]:
        items = self._state.items
        expected = body.get("expected_revision") or []
        writes, deletes = body.get("writes") or [], body.get("deletes") or []
        keys = [row["key"] for row in expected]
        if any(
            (items[row["key"]].revision if row["key"] in items else 0)
            != row["revision"]
            for row in expected
        ):
            current = [items[key].fields(key) for key in keys if key in items]
            return 412, {"items": current}
        touched = [*(write["key"] for write in writes), *deletes]
        if any(key.startswith(("op/", "servers/")) for key in touched):
            return 403, {}
        if {write.get("lease", 0) for write in writes} - {0, *self._state.leases}:
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in deletes:
            self.delete(key)
        return 200, {"revision": self._state.revision}

    def _grant(self, ttl_ms: int) -> tuple[int, dict]:
        state = self._state
        state.last_lease += 1
        ttl_s = max(1000, ttl_ms) / 1000
        state.leases[state.last_lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": state.last_lease, "ttl_ms": int(ttl_s * 1000)}

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self._state.leases:
            return 404, {}
        ttl_s, _ = self._state.leases[lease]
        self._state.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
