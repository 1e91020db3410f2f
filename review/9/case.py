"""Entries that the store had turned away never learn of the newest config.

Six entries in three zones serve a small installation. In each of a few rounds the store
turns away the two entries of one zone for 4.5 s. Meanwhile the operator writes a small
config, and a second later a larger one that takes a key away.
"""

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from harness import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    KEY,
    TENANT,
    Entry,
    Record,
    Store,
    config,
    has_trouble,
    new_folder,
    request_bytes,
    route,
    run_case,
)
from tests.stand_ins.platform_upstream import (
    PlatformUpstreamStandIn,
    SeenRequest,
    Step,
    plain,
)

FOLDER = Path(__file__).resolve().parent
ZONES = ("zone-a", "zone-b", "zone-c")
ENTRIES_PER_ZONE = 2
ENGINES = 12
HEARTBEAT_S = 1.2
REVOKE_S = 5.0
ROUNDS = 5
SETTLE_S = 3.0
TURNED_AWAY_S = 4.5
# Times in it at which the two configs are written.
WRITTEN_AT_S = (1.0, 2.0)
ADDED_ROUTES = 8


def small_config(version: int, keys: list[str], timeout_ms: int) -> dict[str, Any]:
    """Return a config with one route."""
    only = route("read", "idempotent", "desk", timeout_ms=timeout_ms)
    return with_keys(config(version, [only]), keys)


def larger_config(version: int, keys: list[str]) -> dict[str, Any]:
    """Return a config with some more routes."""
    routes = [route("read", "idempotent", "desk")]
    routes += [
        route(f"added-{number}", "idempotent", "desk") for number in range(ADDED_ROUTES)
    ]
    return with_keys(config(version, routes), keys)


def with_keys(document: dict[str, Any], keys: list[str]) -> dict[str, Any]:
    """Set the keys of the tenant."""
    tenants = [{"name": TENANT, "api_keys": keys, "priority": 1}]
    return {**document, "tenants": tenants}


class Case:
    """Entries, engines and the operator."""

    def __init__(self, folder: Path, record: Record) -> None:
        self._record = record
        self.store = Store()
        self.entries = [
            Entry(f"entry-{zone[-1]}-{number}", self.store, folder, zone=zone)
            for zone in ZONES
            for number in range(1, ENTRIES_PER_ZONE + 1)
        ]
        self._run: set[str] = set()
        self._requests = 0

    async def async_play(self) -> int:
        """Play the events; return the exit code."""
        await self.store.async_start()
        self._write(small_config(1, [KEY], 4_000))
        engines = [
            PlatformUpstreamStandIn(f"desk-{number}", self._answer)
            for number in range(ENGINES)
        ]
        for engine in engines:
            await engine.async_start()
        heartbeats = asyncio.create_task(self._async_send_heartbeats(engines))
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            if not await entry.async_wait_ready():
                return EXIT_NOT_RUN
        broken = 0
        for number in range(ROUNDS):
            found = await self._async_play_round(number)
            if found is None:
                return EXIT_NOT_RUN
            broken += bool(found)
        heartbeats.cancel()
        for engine in engines:
            engine.stop()
        self._record.add(f"{broken} of {ROUNDS} rounds broke the rule")
        self._record.add("CONFIG is broken" if broken else "CONFIG holds")
        return EXIT_BROKEN if broken else EXIT_HELD

    async def _async_play_round(self, number: int) -> list[str] | None:
        """Return the entries that let a revoked key's request run; None on failure."""
        version, key = 10 * (number + 1), f"key-{number}"
        self._write(small_config(version, [KEY, key], 4_000))
        await asyncio.sleep(SETTLE_S)
        if len(await self._async_ask_all(key)) != len(self.entries):
            self._record.add(f"{key} is not in force at all entries")
            return None
        turned_away = self._entries_of(ZONES[number % len(ZONES)])
        began_at_s = time.monotonic()
        if has_trouble():
            self.store.rejected_ports.update(one.store_port for one in turned_away)
            names = [entry.name for entry in turned_away]
            self._record.add(f"the store turns away {names} (503)")
        await asyncio.sleep(WRITTEN_AT_S[0])
        self._write(small_config(version + 1, [KEY, key], 4_500))
        self._record.add(f"config {version + 1}, which still has {key}, acknowledged")
        await asyncio.sleep(WRITTEN_AT_S[1] - WRITTEN_AT_S[0])
        self._write(larger_config(version + 2, [KEY]))
        acknowledged_s = time.monotonic()
        self._record.add(f"config {version + 2} without {key} acknowledged")
        await asyncio.sleep(began_at_s + TURNED_AWAY_S - time.monotonic())
        self.store.rejected_ports.clear()
        await asyncio.sleep(acknowledged_s + REVOKE_S + 0.5 - time.monotonic())
        found = await self._async_ask_all(key)
        later_s = time.monotonic() - acknowledged_s
        self._record.add(f"{key}, sent up to {later_s:.1f} s later, ran from: {found}")
        return found

    def _entries_of(self, zone: str) -> list[Entry]:
        letter = zone[-1]
        return [one for one in self.entries if one.name.split("-")[1] == letter]

    async def _async_ask_all(self, key: str) -> list[str]:
        """Return the entries from which a request with ``key`` reached an engine."""
        reached = []
        for entry in self.entries:
            self._requests += 1
            request_id = f"r{self._requests}"
            await self._async_ask(entry, key, request_id)
            if request_id in self._run:
                reached.append(entry.name)
        return reached

    async def _async_ask(self, entry: Entry, key: str, request_id: str) -> None:
        request = request_bytes(
            "/read/one", request_id, key=key, extra="Connection: close\r\n"
        )
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(*entry.caller)
                writer.write(request)
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError) as error:
            self._record.add(f"{entry.name}, {key}: {type(error).__name__}")
            return
        status = answer.split()[1].decode() if answer else "no answer"
        self._record.add(f"{entry.name}, {key}, {request_id}: {status}")

    def _answer(self, request: SeenRequest) -> Iterable[Step]:
        self._run.add(request.headers.get("x-attempt-id", ""))
        return plain(b"answer")(request)

    def _write(self, document: dict[str, Any]) -> None:
        self.store.content.put("op/config", document)

    async def _async_send_heartbeats(
        self, engines: list[PlatformUpstreamStandIn]
    ) -> None:
        """Write the engines' entries, each every 1.2 s."""
        sequence = 0
        while True:
            sequence += 1
            for engine in engines:
                fields = engine.entry(service="desk", slots=6, sequence=sequence)
                self.store.content.put(f"servers/{engine.upstream_id}", fields)
                await asyncio.sleep(HEARTBEAT_S / len(engines))


async def async_main() -> int:
    """Run the case."""
    record = Record(FOLDER)
    with new_folder() as folder:
        case = Case(folder, record)
        try:
            return await case.async_play()
        finally:
            for entry in case.entries:
                entry.end()
            await case.store.async_stop()
            record.write()


if __name__ == "__main__":
    run_case(async_main)
