"""Client of the key-value store's JSON API, version 3."""

import asyncio
import base64
import logging
import math
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import orjson

from cardamomnotch_protocol.store_position import StorePosition
from cardamomnotch_protocol.timeouts import longest_reply_s

from ..exceptions import CompactedError, LeaseExpiredError, StoreError
from .budget import StoreBudget
from .models import NO_CONDITIONS, Lease, StoreEntry, StorePage, StoreView, WriteResult

_LOGGER = logging.getLogger(__name__)
_TIMEOUT_S = 2.0
# Code in the body of an error reply: the lease or key does not exist.
_CODE_NOT_FOUND = 5


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _key_to_base64(key: str) -> str:
    return _to_base64(key.encode())


def _range_end(prefix: str) -> str:
    """Return the base64 form of the first key after all with ``prefix``."""
    raw = bytearray(prefix.encode())
    if not raw:
        # A range end of one zero byte means "up to the last key" in the API.
        return _to_base64(b"\0")
    raw[-1] += 1
    return _to_base64(bytes(raw))


def _prefix_range(prefix: str) -> dict[str, str]:
    return {"key": _key_to_base64(prefix or "\0"), "range_end": _range_end(prefix)}


def _put_operation(key: str, value: bytes, lease_id: int) -> dict[str, Any]:
    return {
        "request_put": {
            "key": _key_to_base64(key),
            "value": _to_base64(value),
            "lease": str(lease_id),
        }
    }


def _decode_entry(item: dict[str, Any], *, is_deleted: bool = False) -> StoreEntry:
    return StoreEntry(
        key=base64.b64decode(item["key"]).decode(),
        value=base64.b64decode(item.get("value", "")),
        mod_revision=int(item.get("mod_revision", 0)),
        lease_id=int(item.get("lease", 0)),
        is_deleted=is_deleted,
    )


def _decode_entries(reply: dict[str, Any]) -> tuple[StoreEntry, ...]:
    return tuple(_decode_entry(item) for item in reply.get("kvs", []))


def _decode_first_entry(key: str, reply: dict[str, Any]) -> StoreEntry:
    entries = _decode_entries(reply)
    return entries[0] if entries else StoreEntry(key=key)


class StoreClient:
    """A KeyValueStore that also lists page by page and watches single keys.

    Every method raises StoreError if the call fails; a write may have taken
    effect nevertheless.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float = _TIMEOUT_S,
        budget: StoreBudget | None = None,
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(
            total=longest_reply_s(timeout_s),
            sock_connect=timeout_s,
            sock_read=timeout_s,
        )
        self._budget = budget
        self._calls: dict[str, int] = {}

    @property
    def era(self) -> int:
        """Return 0: this store does not come back from copies."""
        return 0

    @property
    def refused(self) -> dict[str, int]:
        """Return the number of calls that the budget rejected, by kind."""
        return self._budget.refused if self._budget else {}

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls made, by kind."""
        return dict(self._calls)

    async def async_get(self, key: str) -> StoreEntry:
        """Return the entry of ``key``; absent keys have ``mod_revision`` 0."""
        reply = await self._async_call("kv/range", {"key": _key_to_base64(key)})
        return _decode_first_entry(key, reply)

    async def async_list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> tuple[StoreEntry, ...]:
        """Return the entries under ``prefix`` from key ``start`` on, by key.

        A ``limit`` of 0 returns all of them.
        """
        body = {
            "key": _key_to_base64(start or prefix),
            "range_end": _range_end(prefix),
            "limit": str(limit),
        }
        reply = await self._async_call("kv/range", body)
        return _decode_entries(reply)

    async def async_read(self, prefix: str) -> StoreView:
        """Return the entries under ``prefix`` and the position of the read."""
        reply = await self._async_call("kv/range", _prefix_range(prefix))
        return StoreView(
            entries=_decode_entries(reply),
            position=StorePosition(0, int(reply["header"]["revision"])),
        )

    async def async_read_page(
        self, prefix: str, after: str, extra_wait_s: float = 0.0
    ) -> StorePage:
        """Return all entries under ``prefix`` whose keys follow ``after``."""
        view = await self.async_read(prefix)
        entries = tuple(entry for entry in view.entries if entry.key > after)
        return StorePage(entries=entries, position=view.position)

    async def async_wait_for_changes(
        self,
        prefix: str,
        after: StorePosition,
        wait_s: float,
        *,
        max_bytes: float = math.inf,
    ) -> StoreView:
        """Return the changes under ``prefix`` after the position ``after``.

        Waits up to ``wait_s`` seconds for a change; without one the entries
        are empty. Raises CompactedError if the store has compacted them. The store
        sends each change on its own, so ``max_bytes`` is not needed.
        """
        try:
            async with asyncio.timeout(wait_s):
                async for entries in self._async_events(
                    _prefix_range(prefix), after.revision + 1
                ):
                    last = max(entry.position for entry in entries)
                    return StoreView(entries=entries, position=last)
        except TimeoutError:
            # No change came within ``wait_s``.
            return StoreView(entries=(), position=after)
        raise StoreError("store closed the watch before a change came")

    async def async_put(self, key: str, value: bytes, *, lease_id: int = 0) -> None:
        """Write ``value`` regardless of the key's current value.

        Raises LeaseExpiredError if the lease has expired.
        """
        await self._async_call(
            "kv/txn", {"success": [_put_operation(key, value, lease_id)]}
        )

    async def async_put_if(
        self,
        key: str,
        value: bytes,
        mod_revision: int,
        *,
        lease_id: int = 0,
        era: int | None = None,
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> WriteResult:
        """Write ``value`` if ``key`` is still at ``mod_revision``.

        A ``mod_revision`` of 0 requires that the key is absent. The keys of
        ``unchanged`` must be at their revisions too.
        """
        put = _put_operation(key, value, lease_id)
        return await self._async_transaction(key, mod_revision, put, unchanged)

    async def async_delete(self, key: str) -> None:
        """Delete ``key`` if it exists."""
        await self._async_call("kv/deleterange", {"key": _key_to_base64(key)})

    async def async_delete_prefix(self, prefix: str, end: str = "") -> None:
        """Delete the keys under ``prefix``, up to ``end`` exclusively."""
        range_end = _key_to_base64(end) if end else _range_end(prefix)
        body = {"key": _key_to_base64(prefix), "range_end": range_end}
        await self._async_call("kv/deleterange", body)

    async def async_grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease of about ``ttl_s`` seconds."""
        body = {"TTL": str(math.ceil(ttl_s))}
        reply = await self._async_call("lease/grant", body)
        return Lease(lease_id=int(reply["ID"]), ttl_s=float(reply["TTL"]))

    async def async_renew_lease(self, lease_id: int) -> float:
        """Return the lease's new lifetime in seconds; 0 if it has expired."""
        reply = await self._async_call("lease/keepalive", {"ID": str(lease_id)})
        return float(reply.get("result", {}).get("TTL", 0))

    async def async_revoke_lease(self, lease_id: int) -> None:
        """Revoke the lease; the store deletes the keys attached to it."""
        await self._async_call("lease/revoke", {"ID": str(lease_id)})

    async def async_watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[StoreEntry]:
        """Yield the changes of ``key`` from ``from_revision`` on, inclusively.

        Ends when the store closes the stream; raises StoreError if the
        connection fails.
        """
        key_range = {"key": _key_to_base64(key)}
        async for entries in self._async_events(key_range, from_revision):
            for entry in entries:
                yield entry

    async def _async_events(
        self, key_range: dict[str, str], from_revision: int
    ) -> AsyncIterator[tuple[StoreEntry, ...]]:
        body = {"create_request": {**key_range, "start_revision": str(from_revision)}}
        await self._async_count_call("watch")
        timeout = aiohttp.ClientTimeout(total=None, connect=2.0)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", data=orjson.dumps(body), timeout=timeout
            ) as response:
                if response.status != 200:
                    raise StoreError(
                        f"store watch failed: HTTP status {response.status}"
                    )
                async for line in response.content:
                    if entries := _decode_events(line):
                        yield entries
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreError(f"store watch failed: {type(error).__name__}") from error
        except orjson.JSONDecodeError as error:
            raise StoreError("store watch failed: an event is not JSON") from error

    async def _async_transaction(
        self,
        key: str,
        mod_revision: int,
        success: dict[str, Any],
        unchanged: Mapping[str, int] = NO_CONDITIONS,
    ) -> WriteResult:
        body = {
            "compare": [
                {
                    "key": _key_to_base64(compared),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(revision),
                }
                for compared, revision in {**unchanged, key: mod_revision}.items()
            ],
            "success": [success],
            "failure": [{"request_range": {"key": _key_to_base64(key)}}],
        }
        reply = await self._async_call("kv/txn", body)
        revision = int(reply["header"]["revision"])
        if reply.get("succeeded", False):
            return WriteResult(succeeded=True, revision=revision)
        current = _decode_first_entry(key, reply["responses"][0]["response_range"])
        return WriteResult(succeeded=False, revision=revision, current=current)

    async def _async_call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        await self._async_count_call(path)
        try:
            async with self._session.post(
                f"{self._url}/v3/{path}", data=orjson.dumps(body), timeout=self._timeout
            ) as response:
                data = await response.read()
            if response.status == 404 and _is_not_found_reply(data):
                raise LeaseExpiredError(
                    f"store call {path} failed: the lease has expired"
                )
            if response.status != 200:
                raise StoreError(
                    f"store call {path} failed: HTTP status {response.status}"
                )
            return orjson.loads(data)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreError(
                f"store call {path} failed: {type(error).__name__}"
            ) from error
        except orjson.JSONDecodeError as error:
            raise StoreError(
                f"store call {path} failed: the reply is not JSON"
            ) from error

    async def _async_count_call(self, kind: str) -> None:
        if self._budget is not None:
            await self._budget.async_spend(kind)
        self._calls[kind] = self._calls.get(kind, 0) + 1


def _is_not_found_reply(data: bytes) -> bool:
    return orjson.loads(data).get("code") == _CODE_NOT_FOUND


def _decode_events(line: bytes) -> tuple[StoreEntry, ...]:
    if not line.strip():
        return ()
    result = orjson.loads(line).get("result", {})
    if result.get("compact_revision"):
        raise CompactedError("store watch failed: the store has compacted the changes")
    return tuple(
        _decode_entry(event["kv"], is_deleted=event.get("type") == "DELETE")
        for event in result.get("events", [])
    )
