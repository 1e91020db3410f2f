"""Client of the store."""

import asyncio
import base64
import logging
import math
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import orjson

from ..exceptions import CompactedError, LeaseExpiredError, StoreError
from .budget import StoreBudget
from .models import Lease, StoreEntry, StoreView, WriteResult

_LOGGER = logging.getLogger(__name__)
_TIMEOUT_S = 2.0
# The published API's number for something that is not there.
_CODE_NOT_FOUND = 5


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _key_to_base64(key: str) -> str:
    return _to_base64(key.encode())


def _range_end(prefix: str) -> str:
    """Return the first key after all keys that start with ``prefix``."""
    raw = bytearray(prefix.encode())
    if not raw:
        # The published API's sign for "up to the last key".
        return _to_base64(b"\0")
    raw[-1] += 1
    return _to_base64(bytes(raw))


def _range_of(prefix: str) -> dict[str, str]:
    return {"key": _key_to_base64(prefix or "\0"), "range_end": _range_end(prefix)}


def _put_of(key: str, value: bytes, lease_id: int) -> dict[str, Any]:
    return {
        "request_put": {
            "key": _key_to_base64(key),
            "value": _to_base64(value),
            "lease": str(lease_id),
        }
    }


def _entry_from_json(item: dict[str, Any], *, is_deleted: bool = False) -> StoreEntry:
    return StoreEntry(
        key=base64.b64decode(item["key"]).decode(),
        value=base64.b64decode(item.get("value", "")),
        mod_revision=int(item.get("mod_revision", 0)),
        lease_id=int(item.get("lease", 0)),
        is_deleted=is_deleted,
    )


def _entries_of(answer: dict[str, Any]) -> tuple[StoreEntry, ...]:
    return tuple(_entry_from_json(item) for item in answer.get("kvs", []))


def _entry_of(key: str, answer: dict[str, Any]) -> StoreEntry:
    entries = _entries_of(answer)
    return entries[0] if entries else StoreEntry(key=key)


class StoreClient:
    """A KeyValueStore that also lists by parts and keeps watches open.

    Every method raises StoreError if the answer did not come; a write may
    have taken effect all the same.
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
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._budget = budget
        self._calls: dict[str, int] = {}

    @property
    def refused(self) -> dict[str, int]:
        """Return how many calls the budget has kept back, by kind."""
        return self._budget.refused if self._budget else {}

    @property
    def calls(self) -> dict[str, int]:
        """Return how many calls were made, by kind."""
        return dict(self._calls)

    async def async_get(self, key: str) -> StoreEntry:
        """Return the entry of ``key``; absent keys have ``mod_revision`` 0."""
        answer = await self._async_call("kv/range", {"key": _key_to_base64(key)})
        return _entry_of(key, answer)

    async def async_list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> tuple[StoreEntry, ...]:
        """Return the entries under ``prefix`` from key ``start`` on, in order."""
        body = {
            "key": _key_to_base64(start or prefix),
            "range_end": _range_end(prefix),
            "limit": str(limit),
        }
        answer = await self._async_call("kv/range", body)
        return _entries_of(answer)

    async def async_read(self, prefix: str) -> StoreView:
        """Return all entries under ``prefix``, and the revision to go on from."""
        answer = await self._async_call("kv/range", _range_of(prefix))
        return StoreView(
            entries=_entries_of(answer),
            revision=int(answer["header"]["revision"]),
        )

    async def async_wait_for_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> StoreView:
        """Return the changes under ``prefix`` after ``revision``.

        Waits up to ``wait_s`` seconds for one. Raises CompactedError if the
        store no longer knows them.
        """
        try:
            async with asyncio.timeout(wait_s):
                async for entries in self._async_events(
                    _range_of(prefix), revision + 1
                ):
                    reached = max(entry.mod_revision for entry in entries)
                    return StoreView(entries=entries, revision=reached)
        except TimeoutError:
            # Nothing has changed.
            return StoreView(entries=(), revision=revision)
        raise StoreError("watch: the store has closed it")

    async def async_put(self, key: str, value: bytes, *, lease_id: int = 0) -> None:
        """Write ``value``, whatever is there.

        Raises LeaseExpiredError if the lease has lapsed.
        """
        await self._async_call("kv/txn", {"success": [_put_of(key, value, lease_id)]})

    async def async_put_if(
        self, key: str, value: bytes, mod_revision: int, *, lease_id: int = 0
    ) -> WriteResult:
        """Write ``value`` if ``key`` is still at ``mod_revision``.

        A ``mod_revision`` of 0 asks that the key is absent.
        """
        put = _put_of(key, value, lease_id)
        return await self._async_transaction(key, mod_revision, put)

    async def async_delete(self, key: str) -> None:
        """Delete ``key``, if it is there."""
        await self._async_call("kv/deleterange", {"key": _key_to_base64(key)})

    async def async_delete_prefix(self, prefix: str, end: str = "") -> None:
        """Delete the keys under ``prefix``, up to but without ``end``."""
        range_end = _key_to_base64(end) if end else _range_end(prefix)
        body = {"key": _key_to_base64(prefix), "range_end": range_end}
        await self._async_call("kv/deleterange", body)

    async def async_grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        body = {"TTL": str(math.ceil(ttl_s))}
        answer = await self._async_call("lease/grant", body)
        return Lease(lease_id=int(answer["ID"]), ttl_s=float(answer["TTL"]))

    async def async_renew_lease(self, lease_id: int) -> float:
        """Return the seconds that the lease now has; 0 if it has lapsed."""
        answer = await self._async_call("lease/keepalive", {"ID": str(lease_id)})
        return float(answer.get("result", {}).get("TTL", 0))

    async def async_revoke_lease(self, lease_id: int) -> None:
        """Give the lease back, with the keys that hang on it."""
        await self._async_call("lease/revoke", {"ID": str(lease_id)})

    async def async_watch(
        self, key: str, from_revision: int
    ) -> AsyncIterator[StoreEntry]:
        """Yield the changes of ``key`` from store revision ``from_revision`` on.

        Ends when the store closes the stream; raises StoreError if it breaks.
        """
        keys = {"key": _key_to_base64(key)}
        async for entries in self._async_events(keys, from_revision):
            for entry in entries:
                yield entry

    async def _async_events(
        self, keys: dict[str, str], from_revision: int
    ) -> AsyncIterator[tuple[StoreEntry, ...]]:
        body = {"create_request": {**keys, "start_revision": str(from_revision)}}
        self._count("watch")
        timeout = aiohttp.ClientTimeout(total=None, connect=2.0)
        try:
            async with self._session.post(
                f"{self._url}/v3/watch", data=orjson.dumps(body), timeout=timeout
            ) as response:
                if response.status != 200:
                    raise StoreError(f"watch: status {response.status}")
                async for line in response.content:
                    if entries := _events_of(line):
                        yield entries
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreError(f"watch: {type(error).__name__}") from error

    async def _async_transaction(
        self, key: str, mod_revision: int, success: dict[str, Any]
    ) -> WriteResult:
        body = {
            "compare": [
                {
                    "key": _key_to_base64(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(mod_revision),
                }
            ],
            "success": [success],
            "failure": [{"request_range": {"key": _key_to_base64(key)}}],
        }
        answer = await self._async_call("kv/txn", body)
        revision = int(answer["header"]["revision"])
        if answer.get("succeeded", False):
            return WriteResult(succeeded=True, revision=revision)
        current = _entry_of(key, answer["responses"][0]["response_range"])
        return WriteResult(succeeded=False, revision=revision, current=current)

    async def _async_call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self._count(path)
        try:
            async with self._session.post(
                f"{self._url}/v3/{path}", data=orjson.dumps(body), timeout=self._timeout
            ) as response:
                data = await response.read()
            if response.status == 404 and _is_not_found(data):
                raise LeaseExpiredError(f"{path}: the lease has lapsed")
            if response.status != 200:
                raise StoreError(f"{path}: status {response.status}")
            return orjson.loads(data)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreError(f"{path}: {type(error).__name__}") from error
        except orjson.JSONDecodeError as error:
            raise StoreError(f"{path}: answer is not JSON") from error

    def _count(self, kind: str) -> None:
        if self._budget is not None:
            self._budget.take(kind)
        self._calls[kind] = self._calls.get(kind, 0) + 1


def _is_not_found(data: bytes) -> bool:
    return orjson.loads(data).get("code") == _CODE_NOT_FOUND


def _events_of(line: bytes) -> tuple[StoreEntry, ...]:
    if not line.strip():
        return ()
    result = orjson.loads(line).get("result", {})
    if result.get("compact_revision"):
        raise CompactedError("watch: the store has dropped its history")
    return tuple(
        _entry_from_json(event["kv"], is_deleted=event.get("type") == "DELETE")
        for event in result.get("events", [])
    )
