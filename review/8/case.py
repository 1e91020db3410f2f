"""A frozen entry wakes and reports an earlier rollout as completed.

Two entries, one of which freezes for 3.5 s: the one that wrote to the store under a
condition last. Meanwhile the other one reverts the bad version, and the operator orders
the same version once more. The store's writes are acknowledged as its page says.
"""

import asyncio
import signal
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import attrs
from harness import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
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
SERVICE, OLD, NEW = "desk", "v1", "v2"
DURATION_S = 16.0
FREEZE_S = 3.5
# Times after the first order: the freeze begins, and the version turns bad.
FREEZE_AT_S, BAD_AT_S = 12.4, 12.5
# The operator orders again so long after "reverted".
ORDER_AGAIN_AFTER_S = 0.5
NEW_ENGINES_DRAIN_AFTER_S = 3.0
BAD_SHARE = 0.5
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
REQUESTS_PER_S = {"entry-a-1": 20.0, "entry-c-1": 20.0}
STATUS_KEY = f"status/rollout/{SERVICE}"


@attrs.define
class Arrival:
    """A request as it reached an engine."""

    request_id: str
    version: str
    at_s: float
    is_bad: bool


class Installation:
    """Engines, operator and requesters."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.entries = {
            "entry-a-1": Entry("entry-a-1", self.store, folder, zone="zone-a"),
            "entry-c-1": Entry("entry-c-1", self.store, folder, zone="zone-c"),
        }
        self.engines: dict[str, PlatformUpstreamStandIn] = {}
        self.arrivals: list[Arrival] = []
        self.answers: list[tuple[str, int]] = []
        self.is_bad = False
        self.statuses: list[tuple[float, dict[str, Any]]] = []
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_add_engine(self, name: str, version: str) -> None:
        """Start an engine and register it."""

        def behave(request: SeenRequest) -> Iterable[Step]:
            request_id = request.headers.get("x-attempt-id", "")
            bad_so_far = sum(one.version == NEW for one in self.arrivals)
            fails = version == NEW and self.is_bad and bad_so_far % 2 == 0
            self.arrivals.append(Arrival(request_id, version, time.monotonic(), fails))
            return plain(b"fail", 500)(request) if fails else plain(b"ok")(request)

        engine = PlatformUpstreamStandIn(name, behave)
        await engine.async_start()
        self.engines[name] = engine
        self.register(name, version)

    def register(self, name: str, version: str, state: str = "ready") -> None:
        """Write an engine's registration."""
        zone = "zone-a" if name.endswith("1") else "zone-c"
        entry = self.engines[name].entry(
            service=SERVICE, version=version, state=state, slots=6, zone=zone
        )
        self.store.content.put(f"servers/{name}", entry)

    def remove(self, name: str) -> None:
        """Stop an engine, and remove its registration."""
        self.engines.pop(name).crash()
        self.store.content.delete(f"servers/{name}")

    async def async_drain(self, names: list[str], version: str) -> None:
        """Let engines leave, as the pages say."""
        for name in names:
            self.register(name, version, "draining")
        await asyncio.sleep(3.0)
        for name in names:
            self.remove(name)

    def order(self) -> float:
        """Order the rollout of the new version; return when."""
        self.store.content.put(
            f"op/rollout/{SERVICE}",
            {"service": SERVICE, "target": NEW, "duration_s": DURATION_S},
        )
        self.record.add(f"operator orders {SERVICE} to {NEW}, {DURATION_S} s")
        return time.monotonic()

    async def async_watch_status(self) -> None:
        """Note each state that is written."""
        last = None
        while True:
            revision = self.store.content.revision(STATUS_KEY)
            if revision != last and revision:
                last = revision
                value = self.store.content.value(STATUS_KEY)
                self.statuses.append((time.monotonic(), value))
                self.record.add(f"{STATUS_KEY} is {value}")
            await asyncio.sleep(0.02)

    async def async_wait_status(
        self, state: str, since_s: float, limit_s: float
    ) -> bool:
        """Return whether a state is written in time."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if any(
                at_s >= since_s and value["state"] == state
                for at_s, value in self.statuses
            ):
                return True
            await asyncio.sleep(0.02)
        return False

    async def async_request(self, entry: Entry) -> None:
        """Send one request, and note its answer."""
        self._number += 1
        request_id = f"{entry.name}-{self._number}"
        status = 0
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(*entry.caller)
                writer.write(
                    request_bytes(
                        f"/read/{request_id}",
                        request_id,
                        deadline_ms=1500,
                        extra=f"Session: s{self._number}\r\nConnection: close\r\n",
                    )
                )
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.read()
                status = int(head.split()[1])
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        self.answers.append((request_id, status))

    async def async_send(self, name: str) -> None:
        """Send requests to one entry."""
        loop = asyncio.get_running_loop()
        while True:
            task = loop.create_task(self.async_request(self.entries[name]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S[name])


async def async_play(system: Installation) -> int:
    """Play the events; return the exit code."""
    record, store = system.record, system.store
    await store.async_start()
    store.content.put("op/config", config(1, [route("read", "idempotent", SERVICE)]))
    for name in ("old-1", "old-2"):
        await system.async_add_engine(name, OLD)
    for name in ("new-1", "new-2"):
        await system.async_add_engine(name, NEW)
    for entry in system.entries.values():
        entry.start()
    for entry in system.entries.values():
        if not await entry.async_wait_ready():
            record.add(f"{entry.name} does not get ready")
            return EXIT_NOT_RUN
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(system.async_watch_status())]
    tasks += [loop.create_task(system.async_send(name)) for name in system.entries]
    await asyncio.sleep(1.0)

    first_s = system.order()
    await asyncio.sleep(max(0.0, first_s + FREEZE_AT_S - time.monotonic()))
    _, port, _ = next(
        one for one in reversed(store.conditional_writes) if one[0] == STATUS_KEY
    )
    frozen = next(one for one in system.entries.values() if one.store_port == port)
    record.add(f"{frozen.name} wrote to the store under a condition last")
    if has_trouble():
        frozen.send_signal(signal.SIGSTOP)
        record.add(f"{frozen.name} freezes")
    tasks.append(loop.create_task(async_wake(frozen, record)))
    await asyncio.sleep(max(0.0, first_s + BAD_AT_S - time.monotonic()))
    system.is_bad = True
    record.add(f"half of the answers of {NEW} fail from now on")
    if not await system.async_wait_status("reverted", first_s, 5.0):
        record.add("the first rollout is not reverted in time")
        return EXIT_NOT_RUN
    await asyncio.sleep(ORDER_AGAIN_AFTER_S)
    await system.async_add_engine("again-1", NEW)
    await system.async_add_engine("again-2", NEW)
    again_s = system.order()
    tasks.append(loop.create_task(async_leave(system)))
    tasks.append(loop.create_task(async_stop_old(system, again_s)))
    await asyncio.sleep(DURATION_S)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(0.3)
    return judge(system, again_s, frozen)


async def async_wake(entry: Entry, record: Record) -> None:
    """Wake the frozen entry."""
    await asyncio.sleep(FREEZE_S)
    if has_trouble():
        record.add(f"{entry.name} wakes")
        entry.send_signal(signal.SIGCONT)


async def async_leave(system: Installation) -> None:
    """Drain the engines of the reverted rollout, some seconds after its end."""
    await asyncio.sleep(NEW_ENGINES_DRAIN_AFTER_S)
    await system.async_drain(["new-1", "new-2"], NEW)


async def async_stop_old(system: Installation, since_s: float) -> None:
    """Stop the old engines when the second rollout is completed, as the pages say."""
    if await system.async_wait_status("completed", since_s, 60.0):
        system.record.add(f"the platform stops the engines of {OLD}")
        system.remove("old-1")
        system.remove("old-2")


def judge(system: Installation, again_s: float, frozen: Entry) -> int:
    """Check EXPOSURE for the second order; return the exit code.

    Only what the entry that was never disturbed has sent counts as exposure.
    """
    record = system.record
    counted = [
        one for one in system.arrivals if again_s <= one.at_s <= again_s + DURATION_S
    ]
    to_new = [one for one in counted if one.version == NEW]
    bad = sum(not one.request_id.startswith(frozen.name) for one in to_new)
    limit = EXPOSURE_SHARE * len(counted) + EXPOSURE_SLACK
    failed = sum(status >= 500 or not status for _, status in system.answers)
    record.add(f"requests sent: {len(system.answers)}, without success: {failed}")
    record.add(
        f"from the second order to its end {len(counted)} requests reached {SERVICE},"
        f" {len(to_new)} of them the bad version; {bad} of these from the entry that"
        f" was never disturbed; EXPOSURE allows {limit:.0f}"
    )
    is_broken = bad > limit
    record.add("EXPOSURE is broken" if is_broken else "EXPOSURE holds")
    return EXIT_BROKEN if is_broken else EXIT_HELD


async def async_main() -> int:
    """Run the case."""
    record = Record(FOLDER)
    with new_folder() as folder:
        system = Installation(folder, record)
        try:
            return await async_play(system)
        finally:
            for entry in system.entries.values():
                entry.end()
            for engine in system.engines.values():
                engine.stop()
            await system.store.async_stop()
            record.write()


if __name__ == "__main__":
    run_case(async_main)
