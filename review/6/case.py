"""A few requests with many short prompt parts, and entries outgrow their memory.

Each request is legal in size: its head has less than 16,384 bytes, and its
X-Prefix-Hash lists 2,300 parts. They are sent to two entries in turn, beside ordinary
streams. A process that exceeds its memory is killed and started again, as the platform
does, until each entry has ended three times.
"""

import asyncio
import signal
from collections.abc import Iterable
from pathlib import Path

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
    LAST_CHUNK,
    PlatformUpstreamStandIn,
    SeenRequest,
    Send,
    Step,
    Wait,
    chunk,
    event,
    head,
)

FOLDER = Path(__file__).resolve().parent
# The memory of an edge machine of the site, in MB and in KB.
MEMORY_MB = 150
MEMORY_KB = MEMORY_MB * 1_024
MAX_HEADER_BYTES = 16_384
ENGINES = 6
STREAMS_PER_S = 5.0
MANY_PARTS, REQUESTS_WITH_MANY_PARTS = 2_300, 48
FIRST_AFTER_S, PAUSE_S, REST_S = 3.0, 1.0, 3.0
RESTART_AFTER_S = 1.0
# "on a tenth of the machines in use (two at least) ... three times in the day".
ENDS = 3


@attrs.define
class Counts:
    """How ordinary streams have ended."""

    sent: int = 0
    complete: int = 0
    refused: int = 0
    cut: int = 0


def answer(request: SeenRequest) -> Iterable[Step]:
    """Stream 30 events in two seconds."""
    yield Send(head(request, Transfer_Encoding="chunked", X_Confidence="90"))
    for number in range(1, 31):
        yield Send(chunk(event(number)))
        yield Wait(0.06)
    yield Send(LAST_CHUNK)


def stream_request(name: str, parts: str, tokens: int) -> bytes:
    """Return a request for a stream."""
    return request_bytes(
        f"/draft/{name}",
        name,
        b"question",
        extra=f"X-Model: m\r\nX-Token-Counts: {tokens},120\r\n"
        f"Connection: close\r\nX-Prefix-Hash: {parts}\r\n",
    )


async def async_request(entry: Entry, request: bytes, counts: Counts) -> None:
    """Send a request on a connection of its own, and count how it ends."""
    counts.sent += 1
    received = b""
    try:
        async with asyncio.timeout(16.0):
            reader, writer = await asyncio.open_connection(*entry.caller)
            writer.write(request)
            while data := await reader.read(65_536):
                received += data
            writer.close()
    except (OSError, TimeoutError):
        counts.cut += 1
        return
    if received.startswith(b"HTTP/1.1 200") and received.endswith(LAST_CHUNK):
        counts.complete += 1
    elif received and not received.startswith(b"HTTP/1.1 200"):
        counts.refused += 1
    else:
        counts.cut += 1


class Case:
    """The entries, and what they are sent."""

    def __init__(self, folder: Path, record: Record) -> None:
        self._record = record
        self.store = Store()
        self.entries = [
            Entry(name, self.store, folder, memory_mb=MEMORY_MB)
            for name in ("entry-a-1", "entry-a-2")
        ]
        self._ordinary, self._others = Counts(), Counts()
        self._requests: set[asyncio.Task[None]] = set()
        self._ends: dict[str, list[int]] = {entry.name: [] for entry in self.entries}

    async def async_play(self) -> int:
        """Play the events; return the exit code."""
        await self.store.async_start()
        routes = [route("draft", "streaming", "drafts", resumable=True)]
        self.store.content.put("op/config", config(1, routes))
        for number in range(ENGINES):
            engine = PlatformUpstreamStandIn(f"engine-{number}", answer)
            await engine.async_start()
            registration = engine.entry(service="drafts", slots=64)
            self.store.content.put(f"servers/engine-{number}", registration)
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            if not await entry.async_wait_ready():
                return EXIT_NOT_RUN
        tasks = [
            asyncio.create_task(self._async_send_ordinary()),
            asyncio.create_task(self._async_watch_memory()),
        ]
        self._note("at the start")
        await asyncio.sleep(FIRST_AFTER_S)
        for number in range(REQUESTS_WITH_MANY_PARTS):
            if all(len(ends) >= ENDS for ends in self._ends.values()):
                break
            request = self._request_with_many_parts(number)
            if request.index(b"\r\n\r\n") > MAX_HEADER_BYTES:
                return EXIT_NOT_RUN
            entry = self._next_entry(number)
            if entry is not None:
                self._send(entry, request, self._others)
            await asyncio.sleep(PAUSE_S)
            self._note(f"after request {number + 1}, {len(request)} bytes")
        await asyncio.sleep(REST_S)
        for task in tasks:
            task.cancel()
        await asyncio.wait(self._requests, timeout=5.0)
        self._record.add(f"ordinary streams: {self._ordinary}")
        self._record.add(f"requests with many parts: {self._others}")
        for name, ends in self._ends.items():
            self._record.add(
                f"{name} ended {len(ends)} times, with {ends} KB of {MEMORY_KB} KB"
            )
        is_broken = all(len(ends) >= ENDS for ends in self._ends.values())
        self._record.add("Fault: memory" if is_broken else "Fault holds")
        return EXIT_BROKEN if is_broken else EXIT_HELD

    def _next_entry(self, number: int) -> Entry | None:
        """Return one of the running entries, in turn; none if none runs."""
        running = [entry for entry in self.entries if entry.memory_kb()]
        return running[number % len(running)] if running else None

    def _request_with_many_parts(self, number: int) -> bytes:
        if not has_trouble():
            parts = f"aa:350,{number + 4096:x}:1110"
            return stream_request(f"m{number}", parts, 1460)
        first = number * MANY_PARTS + 4096
        parts = ",".join(f"{first + part:x}:1" for part in range(MANY_PARTS))
        return stream_request(f"m{number}", parts, MANY_PARTS)

    def _send(self, entry: Entry, request: bytes, counts: Counts) -> None:
        task = asyncio.create_task(async_request(entry, request, counts))
        self._requests.add(task)

    async def _async_send_ordinary(self) -> None:
        number = 0
        while True:
            for entry in self.entries:
                number += 1
                parts = f"aa:350,{number + 65536:x}:1110"
                request = stream_request(f"s{number}", parts, 1460)
                self._send(entry, request, self._ordinary)
            await asyncio.sleep(1 / STREAMS_PER_S)

    async def _async_watch_memory(self) -> None:
        """Kill a process that exceeds its memory, and start it again a little later."""
        while True:
            for entry in self.entries:
                memory_kb = entry.memory_kb()
                if memory_kb > MEMORY_KB:
                    self._ends[entry.name].append(memory_kb)
                    self._record.add(
                        f"{entry.name} has {memory_kb} KB, over its {MEMORY_KB} KB;"
                        " the platform kills it"
                    )
                    entry.send_signal(signal.SIGKILL)
                    entry.process.wait()
                    restart = asyncio.create_task(self._async_restart(entry))
                    self._requests.add(restart)
            await asyncio.sleep(0.02)

    async def _async_restart(self, entry: Entry) -> None:
        await asyncio.sleep(RESTART_AFTER_S)
        entry.start()

    def _note(self, when: str) -> None:
        memory = {entry.name: entry.memory_kb() for entry in self.entries}
        self._record.add(f"memory {when}, in KB: {memory}")


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
